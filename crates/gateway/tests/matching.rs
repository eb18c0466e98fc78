//! Reloads of the matching rules of a running host, by call and by SIGHUP.

mod common;

use common::{ms, status_and_sense, wait_until, TestEnv, TestInitiator, SETTINGS};
use pearfork_host::settings::HostSettings;
use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

const CLIENTS: u64 = 3;
const REQUESTS: u64 = 300;

#[test]
fn rules_reloaded_under_load_lose_no_request_and_each_request_keeps_its_class() {
    let env = TestEnv::new(1);
    // The same reads are small under one set of rules, and large and with another key under the other.
    let other =
        SETTINGS.replacen("class \"small-read\" if bytes <= 64KiB;", "class \"small-read\" if fua;", 1);
    let other = other.replacen(
        "class \"large-read\" otherwise;",
        "class \"large-read\" otherwise;\nkey = lba / 4096;",
        1,
    );
    let both_settings =
        [HostSettings::from_toml(SETTINGS).unwrap(), HostSettings::from_toml(&other).unwrap()];
    let other_classes =
        HostSettings::from_toml(&SETTINGS.replacen("aim = \"150ms\"", "aim = \"160ms\"", 1)).unwrap();
    let (is_over, answered, served) = (AtomicBool::new(false), AtomicU64::new(0), AtomicU64::new(0));
    let reload_count = std::thread::scope(|s| {
        let run_client = |client: u64| {
            let (host, isid) = (&env.hosts[0], client as u8 + 1);
            let initiator =
                TestInitiator::open(host.address(), &env.recorder, 0, &env.settings, 0, isid).unwrap();
            for n in 0..REQUESTS {
                let lba = (n * 8 + client * 20_000) % 100_000;
                let done = if n % 3 == 0 { initiator.write(lba, 8, n as u8) } else { initiator.read(lba, 8) };
                // If the machine pauses, the scheduler may refuse a request, which is a final answer too.
                answered.fetch_add(1, Ordering::Relaxed);
                served.fetch_add(u64::from(status_and_sense(&done) == (0, 0)), Ordering::Relaxed);
            }
        };
        let clients: Vec<_> = (0..CLIENTS).map(|c| s.spawn(move || run_client(c))).collect();
        let reloads = s.spawn(|| {
            let mut n = 0;
            while !is_over.load(Ordering::Relaxed) {
                env.hosts[0].update_matching(&both_settings[n % 2]).unwrap();
                assert!(
                    env.hosts[0].update_matching(&other_classes).is_err(),
                    "changed classes must be rejected"
                );
                n += 1;
                std::thread::sleep(ms(2));
            }
            n
        });
        let done: Vec<_> = clients.into_iter().map(|c| c.join()).collect();
        is_over.store(true, Ordering::Relaxed);
        assert!(done.into_iter().all(|d| d.is_ok()));
        reloads.join().unwrap()
    });
    assert!(reload_count > 10, "{reload_count} reloads");
    assert_eq!(answered.into_inner(), CLIENTS * REQUESTS);
    assert!(served.into_inner() > REQUESTS);
    let counts = env.hosts[0].class_counts().unwrap();
    assert_eq!(counts.iter().map(|c| c.taken).sum::<u64>(), CLIENTS * REQUESTS);
    for (name, c) in env.settings.class_names.iter().zip(&counts) {
        assert_eq!(
            c.taken,
            c.served + c.refused + c.failed,
            "{name}: each request ends in the class that it was accepted in"
        );
    }
    let taken = |name: &str| counts[env.settings.class_names.iter().position(|c| c == name).unwrap()].taken;
    assert!(taken("small-read") > 0 && taken("large-read") > 0, "both sets of rules must be used");
    env.assert_rules_kept();
}

#[test]
fn sighup_reloads_valid_rules_and_keeps_the_previous_ones_on_an_error() {
    let unused_address =
        || std::net::TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).unwrap().to_string();
    let folder = std::env::temp_dir().join(format!("pearfork-sighup-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let (settings, rules) = (folder.join("host.toml"), folder.join("host.rules"));
    let quickstart = include_str!("../../../examples/quickstart.toml");
    let (head, rest) = quickstart.split_once("rules = '''\n").unwrap();
    let (valid, tail) = rest.split_once("'''").unwrap();
    let text = format!("{head}file = \"host.rules\"{tail}")
        .replace("127.0.0.1:9300", &unused_address())
        .replace("127.0.0.1:9180", &unused_address());
    std::fs::write(&settings, text).unwrap();
    std::fs::write(&rules, valid).unwrap();
    let mut child = Command::new(env!("CARGO_BIN_EXE_pearfork-gateway"))
        .args(["serve", "--json=false", "--listen", "127.0.0.1:0", "--config"])
        .arg(&settings)
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let (sender, lines) = std::sync::mpsc::channel();
    let streams: [Box<dyn std::io::Read + Send>; 2] =
        [Box::new(child.stdout.take().unwrap()), Box::new(child.stderr.take().unwrap())];
    for stream in streams {
        let sender = sender.clone();
        std::thread::spawn(move || {
            BufReader::new(stream).lines().map_while(Result::ok).try_for_each(|l| sender.send(l))
        });
    }
    let wait_for_output = |text: &str| {
        wait_until(text, || lines.try_iter().any(|l| l.contains(text)));
    };
    let send_sighup = || {
        let kill = Command::new("kill").args(["-HUP", &child.id().to_string()]).status();
        assert!(kill.unwrap().success());
    };
    wait_for_output("health, metrics");
    std::fs::write(&rules, valid.replace("64KiB", "32KiB")).unwrap();
    send_sighup();
    wait_for_output("matching rules reloaded");
    std::fs::write(&rules, valid.replace("64KiB", "64")).unwrap();
    send_sighup();
    wait_for_output("matching rules not reloaded, the previous ones stay in force");
    wait_for_output("a size is compared with a number");
    std::fs::remove_file(&rules).unwrap();
    send_sighup();
    wait_for_output("match.file host.rules");
    child.kill().unwrap();
    child.wait().unwrap();
    std::fs::remove_dir_all(&folder).unwrap();
}
