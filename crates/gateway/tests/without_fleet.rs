//! Without the `fleet` table in the settings a host has no thread, socket or file of the fleet, and the
//! platform's service does not contain its code.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// A running process; killed when it is dropped.
struct RunningProcess(Child);

impl Drop for RunningProcess {
    fn drop(&mut self) {
        let _ = (self.0.kill(), self.0.wait());
    }
}

fn start(arguments: &[&str], folder: &Path) -> RunningProcess {
    let child = Command::new(env!("CARGO_BIN_EXE_pearfork-gateway"))
        .args(arguments)
        .current_dir(folder)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    RunningProcess(child)
}

/// The names of a process's threads and the number of its listening sockets.
fn threads_and_listeners(child: &RunningProcess) -> (BTreeSet<String>, usize) {
    let root = format!("/proc/{}", child.0.id());
    let names = std::fs::read_dir(format!("{root}/task")).map(|tasks| {
        let name = |t: std::fs::DirEntry| std::fs::read_to_string(t.path().join("comm")).ok();
        tasks.flatten().filter_map(name).map(|n| n.trim().to_owned()).collect()
    });
    let own_inodes: BTreeSet<String> = std::fs::read_dir(format!("{root}/fd"))
        .map(|fds| fds.flatten().filter_map(|f| std::fs::read_link(f.path()).ok()).collect::<Vec<_>>())
        .unwrap_or_default()
        .iter()
        .filter_map(|to| to.to_str()?.strip_prefix("socket:[")?.strip_suffix(']').map(str::to_owned))
        .collect();
    let table = std::fs::read_to_string(format!("{root}/net/tcp")).unwrap_or_default();
    let is_own_listener = |line: &&str| {
        let columns: Vec<&str> = line.split_whitespace().collect();
        columns.get(3) == Some(&"0A") && columns.get(9).is_some_and(|inode| own_inodes.contains(*inode))
    };
    (names.unwrap_or_default(), table.lines().filter(is_own_listener).count())
}

/// Waits until a process listens and its threads have been the same for 20 samples, 20 ms apart.
fn stable_threads_and_listeners(child: &RunningProcess) -> (BTreeSet<String>, usize) {
    let until = Instant::now() + Duration::from_secs(20);
    let (mut last, mut unchanged) = (threads_and_listeners(child), 0);
    while unchanged < 20 {
        assert!(Instant::now() < until, "threads and listeners keep changing: {last:?}");
        std::thread::sleep(Duration::from_millis(20));
        let now = threads_and_listeners(child);
        unchanged = if now == last && now.1 > 0 { unchanged + 1 } else { 0 };
        last = now;
    }
    last
}

fn unused_address() -> String {
    std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().to_string()
}

#[test]
fn a_host_without_fleet_settings_has_no_thread_socket_or_file_of_the_fleet() {
    let folder = tempfile::tempdir().unwrap();
    let settings = include_str!("../../trial/days/hosts.toml");
    let (start_of_fleet, end_of_fleet) =
        (settings.find("[fleet]").unwrap(), settings.find("[directory]").unwrap());
    let without = format!("{}{}", &settings[..start_of_fleet], &settings[end_of_fleet..]);
    let start_host = |name: &str, text: &str| {
        let file = folder.path().join(name);
        std::fs::write(&file, text).unwrap();
        let (listen, fleet) = (
            format!("host.listen=\"{}\"", unused_address()),
            format!("fleet.listen=\"{}\"", unused_address()),
        );
        let mut arguments = vec!["serve", "--config", file.to_str().unwrap(), "--set", &listen];
        if text.contains("[fleet]") {
            arguments.extend(["--set", &fleet]);
        }
        let child = start(&arguments, folder.path());
        stable_threads_and_listeners(&child)
    };
    let (threads, listening) = start_host("without.toml", &without);
    assert!(threads.iter().all(|t| !t.starts_with("fleet")), "{threads:?}");
    assert_eq!(listening, 1, "only the listener for clients");
    assert!(!folder.path().join("promises").exists());
    // With the table all of them are there, so the checks above can fail.
    let (threads, listening) = start_host("with.toml", settings);
    let fleet_threads: Vec<&String> = threads.iter().filter(|t| t.starts_with("fleet")).collect();
    assert_eq!((fleet_threads.len(), listening), (3, 2), "{threads:?}");
    assert!(folder.path().join("promises/promises").exists());
}

/// Follows the dependencies of `pearfork-gateway service` in `Cargo.lock`.
#[test]
fn the_platform_service_does_not_depend_on_the_crates_of_the_fleet() {
    let lock = include_str!("../../../Cargo.lock");
    let mut dependencies: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for package in lock.split("[[package]]").skip(1) {
        let quoted =
            |line: &str| line.split('"').nth(1).unwrap_or("").split(' ').next().unwrap_or("").to_owned();
        let name = package.lines().find(|l| l.starts_with("name = ")).map(quoted).unwrap();
        let dependencies_of_it = package.lines().filter(|l| l.starts_with(" \"")).map(quoted).collect();
        dependencies.insert(name, dependencies_of_it);
    }
    let mut reached = BTreeSet::from(["pearfork-serving".to_owned(), "pearfork-platform".to_owned()]);
    loop {
        let next: BTreeSet<String> =
            reached.iter().flat_map(|p| dependencies[p].clone()).chain(reached.clone()).collect();
        if next == reached {
            break;
        }
        reached = next;
    }
    assert!(reached.contains("pearfork-drive"), "{reached:?}");
    for package in ["pearfork-fleet", "pearfork-ledger"] {
        assert!(dependencies.contains_key(package) && !reached.contains(package), "{package}");
    }
}
