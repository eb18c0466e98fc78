//! Without a word in the settings nothing of the fleet is there: no thread, no socket, no file. The platform's service
//! does not even hold the code.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

struct Running(Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = (self.0.kill(), self.0.wait());
    }
}

fn start(arguments: &[&str], folder: &Path) -> Running {
    let child = Command::new(env!("CARGO_BIN_EXE_pearfork-gateway"))
        .args(arguments)
        .current_dir(folder)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    Running(child)
}

/// Names of threads, and sockets that listen, of a process.
fn seen(child: &Running) -> (BTreeSet<String>, usize) {
    let root = format!("/proc/{}", child.0.id());
    let names = std::fs::read_dir(format!("{root}/task")).map(|tasks| {
        let name = |t: std::fs::DirEntry| std::fs::read_to_string(t.path().join("comm")).ok();
        tasks.flatten().filter_map(name).map(|n| n.trim().to_owned()).collect()
    });
    let own: BTreeSet<String> = std::fs::read_dir(format!("{root}/fd"))
        .map(|fds| fds.flatten().filter_map(|f| std::fs::read_link(f.path()).ok()).collect::<Vec<_>>())
        .unwrap_or_default()
        .iter()
        .filter_map(|to| to.to_str()?.strip_prefix("socket:[")?.strip_suffix(']').map(str::to_owned))
        .collect();
    let table = std::fs::read_to_string(format!("{root}/net/tcp")).unwrap_or_default();
    let listens = |line: &&str| {
        let columns: Vec<&str> = line.split_whitespace().collect();
        columns.get(3) == Some(&"0A") && columns.get(9).is_some_and(|inode| own.contains(*inode))
    };
    (names.unwrap_or_default(), table.lines().filter(listens).count())
}

/// Looks until a process listens and its threads have stayed the same for a while.
fn settled(child: &Running) -> (BTreeSet<String>, usize) {
    let until = Instant::now() + Duration::from_secs(20);
    let (mut last, mut same) = (seen(child), 0);
    while same < 20 {
        assert!(Instant::now() < until, "never settles: {last:?}");
        std::thread::sleep(Duration::from_millis(20));
        let now = seen(child);
        same = if now == last && now.1 > 0 { same + 1 } else { 0 };
        last = now;
    }
    last
}

fn free() -> String {
    std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().to_string()
}

#[test]
fn a_host_whose_settings_name_no_fleet_has_nothing_of_one() {
    let folder = tempfile::tempdir().unwrap();
    let settings = include_str!("../../trial/days/hosts.toml");
    let (begin, end) = (settings.find("[fleet]").unwrap(), settings.find("[directory]").unwrap());
    let without = format!("{}{}", &settings[..begin], &settings[end..]);
    let started = |name: &str, text: &str| {
        let file = folder.path().join(name);
        std::fs::write(&file, text).unwrap();
        let (listen, fleet) = (format!("host.listen=\"{}\"", free()), format!("fleet.listen=\"{}\"", free()));
        let mut arguments = vec!["serve", "--config", file.to_str().unwrap(), "--set", &listen];
        if text.contains("[fleet]") {
            arguments.extend(["--set", &fleet]);
        }
        let child = start(&arguments, folder.path());
        settled(&child)
    };
    let (threads, listening) = started("without.toml", &without);
    assert!(threads.iter().all(|t| !t.starts_with("fleet")), "{threads:?}");
    assert_eq!(listening, 1, "for clients");
    assert!(!folder.path().join("promises").exists());
    // And with it, so that this test would see what it looks for.
    let (more, listening) = started("with.toml", settings);
    let of_fleet: Vec<&String> = more.iter().filter(|t| t.starts_with("fleet")).collect();
    assert_eq!((of_fleet.len(), listening), (3, 2), "{more:?}");
    assert!(folder.path().join("promises/promises").exists());
}

/// What `pearfork-gateway service` is made of.
#[test]
fn the_service_on_the_platforms_protocol_is_built_without_the_fleet() {
    let lock = include_str!("../../../Cargo.lock");
    let mut needs: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for package in lock.split("[[package]]").skip(1) {
        let quoted =
            |line: &str| line.split('"').nth(1).unwrap_or("").split(' ').next().unwrap_or("").to_owned();
        let name = package.lines().find(|l| l.starts_with("name = ")).map(quoted).unwrap();
        let on = package.lines().filter(|l| l.starts_with(" \"")).map(quoted).collect();
        needs.insert(name, on);
    }
    let mut all = BTreeSet::from(["pearfork-serving".to_owned(), "pearfork-platform".to_owned()]);
    loop {
        let more: BTreeSet<String> = all.iter().flat_map(|p| needs[p].clone()).chain(all.clone()).collect();
        if more == all {
            break;
        }
        all = more;
    }
    assert!(all.contains("pearfork-drive"), "{all:?}");
    for package in ["pearfork-fleet", "pearfork-ledger"] {
        assert!(needs.contains_key(package) && !all.contains(package), "{package}");
    }
}
