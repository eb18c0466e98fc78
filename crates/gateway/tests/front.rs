//! What clients meet at the front: who may log in, resets across sessions, nodes that are plain iSCSI targets.

mod common;
use common::*;
use pearfork_iscsi::{InitiatorConfig, InitiatorError, LoginStatus};
use pearfork_net::{ConnectError, Connection, ConnectionEvent, TapRef};
use pearfork_scsi::{lun_field, status, Media, MediaOp, SenseKey};
use pearfork_stand::FakeClusterSpec;

fn keyless() -> String {
    // No class is keyed, and nothing of the extension is offered to nodes.
    let text = HOSTS.replace("effect = \"keyed\"\ngroup = \"shard\"\nwindow = \"1.2s\"", "effect = \"safe\"");
    text.replace("[rules]", "[transport]\nextension = false\n\n[rules]")
}

#[test]
fn nodes_may_be_plain_iscsi_targets() {
    let w = World::with(1, &FakeClusterSpec::default(), &keyless());
    let a = w.asker(0, 0);
    for n in 0..40u64 {
        let lba = n * 1_001;
        assert_eq!(a.write(lba, 8, n as u8).status, status::GOOD);
        assert_eq!(a.read(lba, 8).data.to_bytes(), vec![n as u8; 4096]);
    }
    assert_eq!(a.ask(MediaOp::Flush, 0, 0, Vec::new()).status, status::GOOD);
}

#[test]
fn only_listed_initiators_get_in_and_see_the_target() {
    let listed = HOSTS.replacen(
        "plan = \"prioritaire\"\n",
        "plan = \"prioritaire\"\ninitiators = [\"iqn.2026-12.org.example:asker\"]\n",
        1,
    );
    let w = World::with(1, &FakeClusterSpec::default(), &listed);
    assert_eq!(w.asker(0, 0).read(0, 1).status, status::GOOD);
    let login = |name: &str, target: &str| {
        let config = InitiatorConfig {
            name: name.to_owned(),
            target: Some(target.to_owned()),
            isid: [0x80, 0, 0, 0, 0, 9],
            digests: true,
            extension: false,
        };
        Connection::<Number>::open(w.hosts[0].address(), config, LONG, TapRef::default(), |_| {})
    };
    let refused = |r: Result<_, ConnectError>| match r {
        Err(ConnectError::Login { source: InitiatorError::Login(s), .. }) => s,
        Err(e) => panic!("{e}"),
        Ok(_) => panic!("let in"),
    };
    let (notes, stranger) = ("iqn.2026-12.org.pearfork:notes", "iqn.2026-12.org.example:stranger");
    assert_eq!(refused(login(stranger, notes)), LoginStatus::FORBIDDEN);
    assert_eq!(refused(login(stranger, "iqn.2026-12.org.pearfork:nothing")), LoginStatus::NOT_FOUND);
    assert!(login(stranger, "iqn.2026-12.org.pearfork:exports").is_ok());
}

#[test]
fn digests_are_kept_both_ways_through_the_gateway() {
    let w = World::new(1);
    let (to, events) = std::sync::mpsc::channel();
    let config = InitiatorConfig {
        name: "iqn.2026-12.org.example:careful".to_owned(),
        target: Some(w.plan.volumes[0].target.clone()),
        isid: [0x80, 0, 0, 0, 0, 2],
        digests: true,
        extension: false,
    };
    let tell = move |e: ConnectionEvent<Number>| drop(to.send(e));
    let c = Connection::open(w.hosts[0].address(), config, LONG, TapRef::default(), tell).unwrap();
    for (op, data) in [(MediaOp::Write, vec![8u8; 300 * 512]), (MediaOp::Read, Vec::new())] {
        let m = Media { op, lba: 5, blocks: 300, fua: false, group: 0 };
        let read_len = m.data_in(512) as u32;
        let command =
            pearfork_iscsi::Command { lun: 0, cdb: m.to_cdb(), read_len, data: data.into(), ext: None };
        c.submit(Number(1), command).map_err(|_| "not sent").unwrap();
        let Ok(ConnectionEvent::Done(_, done)) = events.recv_timeout(LONG) else { panic!("no answer") };
        assert_eq!((done.status, done.data.len()), (status::GOOD, read_len as usize));
    }
}

#[test]
fn a_reset_of_a_unit_ends_the_tasks_of_all_sessions_and_the_others_are_told_once() {
    let w = World::with(1, &FakeClusterSpec { unit_work: ms(400), ..FakeClusterSpec::default() }, HOSTS);
    let (a, b) = (w.asker(0, 0), Asker::open(w.hosts[0].address(), &w.recorder, 0, &w.plan, 0, 2).unwrap());
    b.send(MediaOp::Read, 0, 8, Vec::new());
    eventually("the read at the host", || {
        w.hosts[0].class_counts().unwrap().iter().map(|c| c.taken).sum::<u64>() == 1
    });
    a.connection.manage(5, lun_field(0));
    eventually("its end", || {
        w.hosts[0].class_counts().unwrap().iter().map(|c| c.abandoned).sum::<u64>() == 1
    });
    let told = b.ask(MediaOp::Read, 64, 8, Vec::new());
    assert_eq!(ended(&told), (status::CHECK_CONDITION, SenseKey::UnitAttention as u8));
    assert_eq!(b.read(64, 8).status, status::GOOD);
    assert_eq!(a.read(64, 8).status, status::GOOD, "who asked for it needs no telling");
}
