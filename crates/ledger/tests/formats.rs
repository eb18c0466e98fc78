//! The forms of messages on the wire and of records on disk: each text is read and written again unchanged.
//!
//! Hosts of different releases share a fleet, and files outlive a release: names in the code may change, these may not.

use pearfork_ledger::raft::{PersistentState, Record};
use pearfork_ledger::Message;
use serde::de::DeserializeOwned;
use serde::Serialize;

const TABLE: &str = r#"{"lendable":970000000,"joined":2,"versions":1,"members":{"1":{"host":0,"nonce":7}},"lent":{"limit/archive":{"1":{"part":5,"at":1}}}}"#;

fn assert_unchanged<T: Serialize + DeserializeOwned>(texts: &[String]) {
    for text in texts {
        let value: T = serde_json::from_str(text).unwrap_or_else(|e| panic!("{text}: {e}"));
        assert_eq!(serde_json::to_string(&value).unwrap(), *text);
    }
}

fn raft(payload: &str) -> String {
    format!(r#"{{"raft":{{"term":3,"what":{payload}}}}}"#)
}

fn answer(said: &str) -> String {
    format!(r#"{{"answer":{{"nonce":7,"seq":1,"said":{said}}}}}"#)
}

#[test]
fn messages_between_voters_keep_their_form() {
    let entry = r#"{"term":3,"changes":[{"join":{"host":1,"nonce":7}},{"lend":{"to":1,"budget":"limit/archive","part":5,"after":0}},{"forget":{"who":2}}]}"#;
    assert_unchanged::<Message>(&[
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
fn messages_between_hosts_and_voters_keep_their_form() {
    let want = r#"{"budget":"limit/archive","demand":8,"least":2,"turn_ms":0,"using":5,"at":1}"#;
    let ask = |incarnation: &str| {
        format!(
            r#"{{"ask":{{"host":1,"nonce":7,"incarnation":{incarnation},"seq":1,"leaving":false,"wants":[{want}]}}}}"#
        )
    };
    let grant = r#"{"budget":"limit/archive","part":5,"at":1,"target":4}"#;
    assert_unchanged::<Message>(&[
        r#"{"hello":{"version":1,"fleet":"f","settings":"0","host":1}}"#.to_owned(),
        r#"{"refused":"why"}"#.to_owned(),
        ask("null"),
        ask("1"),
        answer(&format!(r#"{{"lease":{{"incarnation":1,"grants":[{grant}]}}}}"#)),
        r#"{"ask":{"host":1,"nonce":7,"incarnation":1,"seq":2,"leaving":false,"wants":[],"base":{"term":3,"seq":1,"revision":4}}}"#.to_owned(),
        answer(&format!(
            r#"{{"lease":{{"incarnation":1,"grants":[{grant}],"withdrawn":["limit/b"],"changes_since":4,"position":{{"term":3,"revision":5}}}}}}"#
        )),
        answer(r#"{"refused":"unsynchronized"}"#),
        answer(r#"{"refused":{"not_leader":1}}"#),
        answer(r#"{"refused":{"not_leader":null}}"#),
        answer(r#"{"refused":"unknown"}"#),
        answer(r#"{"refused":"superseded"}"#),
    ]);
}

#[test]
fn records_on_disk_keep_their_form() {
    assert_unchanged::<Record>(&[
        r#"{"promise":{"term":3,"voted":1}}"#.to_owned(),
        r#"{"promise":{"term":3,"voted":null}}"#.to_owned(),
        r#"{"entry":{"index":1,"entry":{"term":3,"changes":[]}}}"#.to_owned(),
    ]);
    assert_unchanged::<PersistentState>(&[format!(
        r#"{{"term":3,"voted":1,"base":[4,2],"book":{TABLE},"entries":[{{"term":3,"changes":[]}}]}}"#
    )]);
}
