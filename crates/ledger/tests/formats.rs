//! Encodings of messages on the wire and of records on disk: each text is decoded and encoded again without a
//! change.
//!
//! Hosts of different releases share a fleet, and files outlive a release: identifiers in the code may
//! change, the encoded names may not.

use pearfork_ledger::raft::{PersistentState, Record};
use pearfork_ledger::Message;
use serde::de::DeserializeOwned;
use serde::Serialize;

const TABLE: &str = r#"{"lendable":970000000,"joined":2,"versions":1,"members":{"1":{"host":0,"nonce":7}},"lent":{"limit/archive":{"1":{"part":5,"at":1}}}}"#;

fn assert_round_trip<T: Serialize + DeserializeOwned>(texts: &[String]) {
    for text in texts {
        let value: T = serde_json::from_str(text).unwrap_or_else(|e| panic!("{text}: {e}"));
        assert_eq!(serde_json::to_string(&value).unwrap(), *text);
    }
}

fn raft(payload: &str) -> String {
    format!(r#"{{"raft":{{"term":3,"what":{payload}}}}}"#)
}

fn response(outcome: &str) -> String {
    format!(r#"{{"answer":{{"nonce":7,"seq":1,"said":{outcome}}}}}"#)
}

#[test]
fn messages_between_voters_keep_their_encoding() {
    let entry = r#"{"term":3,"changes":[{"join":{"host":1,"nonce":7}},{"lend":{"to":1,"budget":"limit/archive","part":5,"after":0}},{"forget":{"who":2}}]}"#;
    assert_round_trip::<Message>(&[
        raft(r#"{"pre_vote":{"last":4,"last_term":2}}"#),
        raft(r#"{"pre_voted":true}"#),
        raft(r#"{"vote":{"last":4,"last_term":2}}"#),
        raft(r#"{"voted":false}"#),
        raft(&format!(
            r#"{{"append":{{"previous":4,"previous_term":2,"entries":[{entry}],"commit":4,"beat":9}}}}"#
        )),
        raft(&format!(r#"{{"install":{{"index":4,"index_term":2,"book":{TABLE},"beat":9}}}}"#)),
        raft(r#"{"appended":{"fits":true,"index":4,"beat":9}}"#),
    ]);
}

#[test]
fn messages_between_hosts_and_voters_keep_their_encoding() {
    let budget_request = r#"{"budget":"limit/archive","demand":8,"least":2,"turn_ms":0,"using":5,"at":1}"#;
    let request = |incarnation: &str| {
        format!(
            r#"{{"ask":{{"host":1,"nonce":7,"incarnation":{incarnation},"seq":1,"leaving":false,"wants":[{budget_request}]}}}}"#
        )
    };
    let grant = r#"{"budget":"limit/archive","part":5,"at":1,"target":4}"#;
    assert_round_trip::<Message>(&[
        r#"{"hello":{"version":1,"fleet":"f","settings":"0","host":1}}"#.to_owned(),
        r#"{"refused":"why"}"#.to_owned(),
        request("null"),
        request("1"),
        response(&format!(r#"{{"lease":{{"incarnation":1,"grants":[{grant}]}}}}"#)),
        r#"{"ask":{"host":1,"nonce":7,"incarnation":1,"seq":2,"leaving":false,"wants":[],"base":{"term":3,"seq":1,"revision":4}}}"#.to_owned(),
        response(&format!(
            r#"{{"lease":{{"incarnation":1,"grants":[{grant}],"withdrawn":["limit/b"],"changes_since":4,"position":{{"term":3,"revision":5}}}}}}"#
        )),
        response(r#"{"refused":"unsynchronized"}"#),
        response(r#"{"refused":{"not_leader":1}}"#),
        response(r#"{"refused":{"not_leader":null}}"#),
        response(r#"{"refused":"unknown"}"#),
        response(r#"{"refused":"superseded"}"#),
    ]);
}

#[test]
fn records_on_disk_keep_their_encoding() {
    assert_round_trip::<Record>(&[
        r#"{"promise":{"term":3,"voted":1}}"#.to_owned(),
        r#"{"promise":{"term":3,"voted":null}}"#.to_owned(),
        r#"{"entry":{"index":1,"entry":{"term":3,"changes":[]}}}"#.to_owned(),
    ]);
    assert_round_trip::<PersistentState>(&[format!(
        r#"{{"term":3,"voted":1,"base":[4,2],"book":{TABLE},"entries":[{{"term":3,"changes":[]}}]}}"#
    )]);
}
