//! Example frames of the wire format's documentation, round trips, and invalid input.

use super::*;
use pearfork::{AttemptResult, Event};

fn hex(text: &str) -> Vec<u8> {
    let digits: Vec<u8> = text.bytes().filter(u8::is_ascii_hexdigit).collect();
    digits.chunks(2).map(|p| u8::from_str_radix(std::str::from_utf8(p).unwrap(), 16).unwrap()).collect()
}

fn frame(count: u32, records: &[u8]) -> Vec<u8> {
    let mut out = count.to_le_bytes().to_vec();
    out.extend((12 + records.len() as u32).to_le_bytes());
    out.extend(1000.0f64.to_le_bytes());
    out.extend(5u32.to_le_bytes());
    out.extend(records);
    out
}

fn run_adapter(input: &[u8]) -> Result<Vec<u8>, String> {
    let mut out = Vec::new();
    run(&mut &input[..], &mut out).map(|()| out)
}

fn decode(record: &str) -> Result<Input, String> {
    let bytes = hex(record);
    let full = frame(1, &bytes);
    let mut batch = wire::Batch::parse(&full[8..], 1)?;
    let decoded = batch.next_record()?.unwrap().decode(None)?;
    batch.next_record()?;
    Ok(decoded)
}

const SUBMIT: &str =
    "f203 2f000000 0300 c4913a5d 0000 0000 640ad2557c3bf091 0000000020e6c040 107cf3d901648e2b \
                      00000040 00000000 00004040 01";
const FLEET: &str = "1a04 3d000000 0300 2900000000000000 02 02000000 \
                     0000 0000000000000000 0000 01 0000 074a1203 0000803f \
                     0000 0000000000d4b740 0000 01 0000 f211902c 0000c03f";
const RESPONSE: &str = "e803 23000000 0300 c4913a5d 00 0000 0000000000803240 5600 074a1203 01 0300 02 \
                        0000404000006841";

#[test]
fn the_reply_to_an_empty_batch_carries_its_number() {
    let batch = hex("00000000 0c000000 00000000206ec040 01000000");
    assert_eq!(run_adapter(&batch).unwrap(), hex("00000000 04000000 01000000"));
    assert!(run_adapter(&[]).unwrap().is_empty());
}

#[test]
fn documented_events_are_decoded() {
    let Input::Event(Event::Request(q)) = decode(SUBMIT).unwrap() else { panic!() };
    assert_eq!((q.id, q.units, q.shard, q.volume_hosts), (0x5d3a_91c4, 2.0, Some(0), 3.0));
    assert_eq!(q.valid_until_ms, 8652.25);
    let Input::Event(Event::NodeList(kind, e)) = decode(FLEET).unwrap() else { panic!() };
    assert_eq!((kind, e.len(), e[0].node), (pearfork::ListKind::Cached, 2, 0x0312_4a07));
    assert_eq!((e[1].started_ms, e[1].node), (6100.0, 0x2c90_11f2));
    let Input::Event(Event::AttemptEnded(o)) = decode(RESPONSE).unwrap() else { panic!() };
    assert_eq!(
        (o.result, o.request_ended, o.elapsed_ms, o.other_hosts_units),
        (AttemptResult::Served, true, 18.5, 3.0)
    );
    assert_eq!(o.used_percent, Some(85.0));
    let ring = decode("2404 0a000000 0300 4d00000000000000").unwrap();
    assert_eq!(ring, Input::Event(Event::Timer { label: 77 }));
    assert_eq!(
        decode("0604 06000000 0500 192b6f0e").unwrap(),
        Input::Event(Event::Abandoned { id: 0x0e6f_2b19 })
    );
}

#[test]
fn documented_actions_are_encoded() {
    let mut reply = Reply::new(12);
    reply.action(
        3,
        &Action::Send {
            id: 0x5d3a_91c4,
            node: 0x0312_4a07,
            timeout_ms: 80.0,
            write_deadline_ms: f64::INFINITY,
        },
    );
    reply.action(3, &Action::SetTimer { at_ms: 8912.25, label: 77 });
    reply.action(5, &Action::Log("two servers known".to_owned()));
    reply.action(3, &Action::SendMessage { to: None, bytes: b"hi 7".to_vec() });
    let head = "04000000 5d000000 0c000000";
    let body = "e803 12000000 0300 c4913a5d 074a1203 0000000000005440 1004 12000000 0300 000000002068c140 \
                4d00000000000000 3804 15000000 0500 1100 74776f2073657276657273206b6e6f776e \
                2e04 0a000000 0300 ffff 0400 68692037";
    let got = reply.finish();
    assert_eq!(got[12..], hex(body));
    assert_eq!(got[8..12], hex(head)[8..12]);
    assert_eq!(got[..4], hex(head)[..4]);
    assert_eq!(u32::from_le_bytes([got[4], got[5], got[6], got[7]]) as usize, got.len() - 8);
}

#[test]
fn errors_name_the_invalid_input() {
    assert!(run_adapter(&hex("0000")).unwrap_err().contains("header"));
    assert!(run_adapter(&hex("00000000 0c000000 0000")).unwrap_err().contains("body"));
    assert!(run_adapter(&frame(1, &hex("ffff 02000000 0300")))
        .unwrap_err()
        .contains("unknown event code 65535"));
    let long = format!("{} 00", SUBMIT.replace("2f000000", "30000000"));
    assert!(run_adapter(&frame(1, &hex(&long))).unwrap_err().contains("Submit: 1 bytes too many"));
    let short = SUBMIT.replace("2f000000", "2e000000");
    assert!(run_adapter(&frame(1, &hex(&short)[..hex(&short).len() - 1])).unwrap_err().contains("Submit"));
    assert!(run_adapter(&frame(2, &hex(SUBMIT))).is_err());
    assert!(run_adapter(&frame(0, &hex(SUBMIT))).unwrap_err().contains("too many"));
}

#[test]
fn invalid_settings_are_an_internal_error_that_names_the_key() {
    for (params, key) in [
        ("{", "settings are not valid JSON"),
        ("{}", "Classes"),
        (r#"{"Classes":[{"Effect":"safe","GoalTimeMs":-5}]}"#, "Classes[0].GoalTimeMs"),
    ] {
        let mut record = hex("3804");
        record.extend((2 + 8 + 4 + params.len() as u32).to_le_bytes());
        record.extend(3u16.to_le_bytes());
        record.extend(9u64.to_le_bytes());
        record.extend((params.len() as u32).to_le_bytes());
        record.extend(params.as_bytes());
        let out = run_adapter(&frame(1, &record)).unwrap();
        assert_eq!(out[12..14], 1090u16.to_le_bytes());
        assert!(String::from_utf8_lossy(&out).contains(key), "{key}");
    }
}
