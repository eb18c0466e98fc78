//! Matching rules exchanged under a running host, by call and by SIGHUP.

mod common;

use common::{ended, eventually, ms, Asker, World, HOSTS};
use pearfork_host::settings::HostSettings;
use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

const CLIENTS: u64 = 3;
const REQUESTS: u64 = 300;

#[test]
fn rules_exchanged_under_load_lose_no_request_and_each_ends_as_the_class_it_came_as() {
    let world = World::new(1);
    // The same reads are small by one set of rules and large by the other, under another key.
    let other = HOSTS.replacen("class \"small-read\" if bytes <= 64KiB;", "class \"small-read\" if fua;", 1);
    let other = other.replacen(
        "class \"large-read\" otherwise;",
        "class \"large-read\" otherwise;\nkey = lba / 4096;",
        1,
    );
    let plans = [HostSettings::from_toml(HOSTS).unwrap(), HostSettings::from_toml(&other).unwrap()];
    let elsewhere =
        HostSettings::from_toml(&HOSTS.replacen("aim = \"150ms\"", "aim = \"160ms\"", 1)).unwrap();
    let (over, answered, served) = (AtomicBool::new(false), AtomicU64::new(0), AtomicU64::new(0));
    let exchanges = std::thread::scope(|s| {
        let ask = |client: u64| {
            let (host, isid) = (&world.hosts[0], client as u8 + 1);
            let asker = Asker::open(host.address(), &world.recorder, 0, &world.plan, 0, isid).unwrap();
            for n in 0..REQUESTS {
                let lba = (n * 8 + client * 20_000) % 100_000;
                let done = if n % 3 == 0 { asker.write(lba, 8, n as u8) } else { asker.read(lba, 8) };
                // On a machine that pauses the module may refuse one; that is an answer too.
                answered.fetch_add(1, Ordering::Relaxed);
                served.fetch_add(u64::from(ended(&done) == (0, 0)), Ordering::Relaxed);
            }
        };
        let clients: Vec<_> = (0..CLIENTS).map(|c| s.spawn(move || ask(c))).collect();
        let exchange = s.spawn(|| {
            let mut n = 0;
            while !over.load(Ordering::Relaxed) {
                world.hosts[0].update_matching(&plans[n % 2]).unwrap();
                assert!(world.hosts[0].update_matching(&elsewhere).is_err(), "another class is not taken");
                n += 1;
                std::thread::sleep(ms(2));
            }
            n
        });
        let done: Vec<_> = clients.into_iter().map(|c| c.join()).collect();
        over.store(true, Ordering::Relaxed);
        assert!(done.into_iter().all(|d| d.is_ok()));
        exchange.join().unwrap()
    });
    assert!(exchanges > 10, "{exchanges} exchanges");
    assert_eq!(answered.into_inner(), CLIENTS * REQUESTS);
    assert!(served.into_inner() > REQUESTS);
    let counts = world.hosts[0].class_counts().unwrap();
    assert_eq!(counts.iter().map(|c| c.taken).sum::<u64>(), CLIENTS * REQUESTS);
    for (name, c) in world.plan.class_names.iter().zip(&counts) {
        assert_eq!(c.taken, c.served + c.refused + c.failed, "{name}: each ended as what it came as");
    }
    let of = |name: &str| counts[world.plan.class_names.iter().position(|c| c == name).unwrap()].taken;
    assert!(of("small-read") > 0 && of("large-read") > 0, "both sets were used");
    world.assert_rules();
}

#[test]
fn sighup_takes_good_rules_and_keeps_the_old_ones_with_a_reason() {
    let free =
        || std::net::TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).unwrap().to_string();
    let folder = std::env::temp_dir().join(format!("pearfork-sighup-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let (settings, rules) = (folder.join("host.toml"), folder.join("host.rules"));
    let quickstart = include_str!("../../../examples/quickstart.toml");
    let (head, rest) = quickstart.split_once("rules = '''\n").unwrap();
    let (good, tail) = rest.split_once("'''").unwrap();
    let text = format!("{head}file = \"host.rules\"{tail}")
        .replace("127.0.0.1:9300", &free())
        .replace("127.0.0.1:9180", &free());
    std::fs::write(&settings, text).unwrap();
    std::fs::write(&rules, good).unwrap();
    let mut child = Command::new(env!("CARGO_BIN_EXE_pearfork-gateway"))
        .args(["serve", "--json=false", "--listen", "127.0.0.1:0", "--config"])
        .arg(&settings)
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let (to, lines) = std::sync::mpsc::channel();
    let streams: [Box<dyn std::io::Read + Send>; 2] =
        [Box::new(child.stdout.take().unwrap()), Box::new(child.stderr.take().unwrap())];
    for stream in streams {
        let to = to.clone();
        std::thread::spawn(move || {
            BufReader::new(stream).lines().map_while(Result::ok).try_for_each(|l| to.send(l))
        });
    }
    let hear = |want: &str| {
        eventually(want, || lines.try_iter().any(|l| l.contains(want)));
    };
    let hang_up = || {
        let kill = Command::new("kill").args(["-HUP", &child.id().to_string()]).status();
        assert!(kill.unwrap().success());
    };
    hear("health, metrics");
    std::fs::write(&rules, good.replace("64KiB", "32KiB")).unwrap();
    hang_up();
    hear("matching rules reloaded");
    std::fs::write(&rules, good.replace("64KiB", "64")).unwrap();
    hang_up();
    hear("matching rules not reloaded, the previous ones stay in force");
    hear("a size is compared with a number");
    std::fs::remove_file(&rules).unwrap();
    hang_up();
    hear("match.file host.rules");
    child.kill().unwrap();
    child.wait().unwrap();
    std::fs::remove_dir_all(&folder).unwrap();
}
