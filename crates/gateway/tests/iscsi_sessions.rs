//! Sessions of iSCSI clients: access by initiator name, digests, a LUN reset across sessions; and nodes that
//! are plain iSCSI targets.

mod common;
use common::*;
use pearfork_iscsi::{InitiatorConfig, InitiatorError, LoginStatus};
use pearfork_net::{ConnectError, Connection, ConnectionEvent, StreamTap};
use pearfork_scsi::{encode_lun, status, MediaCommand, MediaOp, SenseKey};
use pearfork_stand::FakeClusterSpec;

/// Settings without a keyed class and without the protocol extension toward nodes.
fn settings_without_extension() -> String {
    let text =
        SETTINGS.replace("effect = \"keyed\"\ngroup = \"shard\"\nwindow = \"1.2s\"", "effect = \"safe\"");
    text.replace("[rules]", "[transport]\nextension = false\n\n[rules]")
}

#[test]
fn plain_iscsi_targets_serve_as_nodes() {
    let env = TestEnv::with(1, &FakeClusterSpec::default(), &settings_without_extension());
    let initiator = env.initiator(0, 0);
    for n in 0..40u64 {
        let lba = n * 1_001;
        assert_eq!(initiator.write(lba, 8, n as u8).status, status::GOOD);
        assert_eq!(initiator.read(lba, 8).data.to_bytes(), vec![n as u8; 4096]);
    }
    assert_eq!(initiator.execute(MediaOp::Flush, 0, 0, Vec::new()).status, status::GOOD);
}

#[test]
fn only_listed_initiators_may_log_in_to_a_target() {
    let listed = SETTINGS.replacen(
        "plan = \"prioritaire\"\n",
        "plan = \"prioritaire\"\ninitiators = [\"iqn.2026-12.org.example:asker\"]\n",
        1,
    );
    let env = TestEnv::with(1, &FakeClusterSpec::default(), &listed);
    assert_eq!(env.initiator(0, 0).read(0, 1).status, status::GOOD);
    let login = |name: &str, target: &str| {
        let config = InitiatorConfig {
            name: name.to_owned(),
            target: Some(target.to_owned()),
            isid: [0x80, 0, 0, 0, 0, 9],
            digests: true,
            extension: false,
        };
        Connection::<CommandId>::open(env.hosts[0].address(), config, TIMEOUT, StreamTap::default(), |_| {})
    };
    let login_error = |r: Result<_, ConnectError>| match r {
        Err(ConnectError::Login { source: InitiatorError::Login(status), .. }) => status,
        Err(e) => panic!("{e}"),
        Ok(_) => panic!("the login succeeded"),
    };
    let (notes, stranger) = ("iqn.2026-12.org.pearfork:notes", "iqn.2026-12.org.example:stranger");
    assert_eq!(login_error(login(stranger, notes)), LoginStatus::FORBIDDEN);
    assert_eq!(login_error(login(stranger, "iqn.2026-12.org.pearfork:nothing")), LoginStatus::NOT_FOUND);
    assert!(login(stranger, "iqn.2026-12.org.pearfork:exports").is_ok());
}

#[test]
fn sessions_with_digests_read_and_write() {
    let env = TestEnv::new(1);
    let (sender, events) = std::sync::mpsc::channel();
    let config = InitiatorConfig {
        name: "iqn.2026-12.org.example:careful".to_owned(),
        target: Some(env.settings.volumes[0].target.clone()),
        isid: [0x80, 0, 0, 0, 0, 2],
        digests: true,
        extension: false,
    };
    let on_event = move |e: ConnectionEvent<CommandId>| drop(sender.send(e));
    let connection =
        Connection::open(env.hosts[0].address(), config, TIMEOUT, StreamTap::default(), on_event).unwrap();
    for (op, data) in [(MediaOp::Write, vec![8u8; 300 * 512]), (MediaOp::Read, Vec::new())] {
        let media = MediaCommand { op, lba: 5, blocks: 300, fua: false, group: 0 };
        let read_len = media.data_in_length(512) as u32;
        let command = pearfork_iscsi::Command {
            lun: 0,
            cdb: media.to_cdb(),
            read_len,
            data: data.into(),
            metadata: None,
        };
        connection.submit(CommandId(1), command).map_err(|_| "not sent").unwrap();
        let Ok(ConnectionEvent::Completed(_, done)) = events.recv_timeout(TIMEOUT) else {
            panic!("no completion")
        };
        assert_eq!((done.status, done.data.len()), (status::GOOD, read_len as usize));
    }
}

#[test]
fn a_lun_reset_aborts_the_tasks_of_all_sessions_and_notifies_the_others_once() {
    let env =
        TestEnv::with(1, &FakeClusterSpec { unit_work: ms(400), ..FakeClusterSpec::default() }, SETTINGS);
    let (resetting, other) = (
        env.initiator(0, 0),
        TestInitiator::open(env.hosts[0].address(), &env.recorder, 0, &env.settings, 0, 2).unwrap(),
    );
    other.submit(MediaOp::Read, 0, 8, Vec::new());
    wait_until("the read at the host", || {
        env.hosts[0].class_counts().unwrap().iter().map(|c| c.taken).sum::<u64>() == 1
    });
    resetting.connection.send_task_management(5, encode_lun(0));
    wait_until("the read to be abandoned", || {
        env.hosts[0].class_counts().unwrap().iter().map(|c| c.abandoned).sum::<u64>() == 1
    });
    let notified = other.execute(MediaOp::Read, 64, 8, Vec::new());
    assert_eq!(status_and_sense(&notified), (status::CHECK_CONDITION, SenseKey::UnitAttention as u8));
    assert_eq!(other.read(64, 8).status, status::GOOD);
    assert_eq!(
        resetting.read(64, 8).status,
        status::GOOD,
        "the session that requested the reset is not notified"
    );
}
