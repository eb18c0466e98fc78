//! The program against a running host, a sick one, and nobody.

use pearfork_host::settings::HostSettings;
use pearfork_host::Host;
use pearfork_stand::{FakeCluster, FakeClusterSpec, Recorder};
use std::net::SocketAddr;
use std::process::{Command, Output};
use std::time::{Duration, Instant};

fn ctl(arguments: &[&str]) -> (i32, String) {
    let out: Output = Command::new(env!("CARGO_BIN_EXE_pearfork-ctl")).args(arguments).output().unwrap();
    (out.status.code().unwrap(), String::from_utf8(out.stdout).unwrap())
}

#[test]
fn a_running_host_tells_its_nodes_and_volumes_and_whether_it_is_well() {
    let anywhere = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut plan = HostSettings::from_toml(include_str!("../../../examples/quickstart.toml")).unwrap();
    let spec = FakeClusterSpec { node_count: 3, racks: 1, ..FakeClusterSpec::default() };
    let fleet =
        FakeCluster::start(&spec, &plan.scheduler, anywhere, Duration::ZERO, &Recorder::disabled()).unwrap();
    (plan.listen, plan.http, plan.directory) = (anywhere, Some(anywhere), fleet.directory().address());
    let host = Host::start(plan).unwrap();
    let at = host.http_address().unwrap().to_string();
    let until = Instant::now() + Duration::from_secs(10);
    while ctl(&["health", "--host", &at]).0 != 0 {
        assert!(Instant::now() < until, "never well");
    }
    let (code, table) = ctl(&["nodes", "--host", &at, "--json=false"]);
    assert_eq!((code, table.lines().count()), (0, 4), "{table}");
    assert!(table.starts_with("node") && table.contains("ready"));
    let (_, line) = ctl(&["volumes", "--host", &at]);
    let line: serde_json::Value = serde_json::from_str(&line).unwrap();
    assert_eq!(line["rows"][0]["name"], "demo");
    assert!(ctl(&["metrics", "--host", &at, "--json=false"]).1.contains("# TYPE"));
    // One host that is well does not hide one that is not there.
    let nobody = "127.0.0.1:9";
    let (code, both) = ctl(&["health", "--host", &at, "--host", nobody, "--json=false"]);
    assert!(code == 2 && both.contains("ok") && both.contains("silent: "), "{both}");
    // A host whose nodes are all gone is ill.
    (1..=3).for_each(|n| fleet.kill_node(n));
    let until = Instant::now() + Duration::from_secs(10);
    while ctl(&["health", "--host", &at]).0 != 1 {
        assert!(Instant::now() < until, "never ill");
    }
}

#[test]
fn a_host_that_is_asked_to_drain_says_so_goes_and_is_waited_for() {
    let anywhere = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut plan = HostSettings::from_toml(include_str!("../../../examples/quickstart.toml")).unwrap();
    let fleet = FakeCluster::start(
        &FakeClusterSpec::default(),
        &plan.scheduler,
        anywhere,
        Duration::ZERO,
        &Recorder::disabled(),
    )
    .unwrap();
    (plan.listen, plan.http, plan.directory) = (anywhere, Some(anywhere), fleet.directory().address());
    let host = Host::start(plan).unwrap();
    let http = host.http_address().unwrap();
    let at = http.to_string();
    // A page in a browser can send a plain POST to any port of its machine; it must not stop a host.
    let mut plain = std::net::TcpStream::connect(http).unwrap();
    std::io::Write::write_all(&mut plain, b"POST /drain HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
        .unwrap();
    let mut answer = String::new();
    std::io::Read::read_to_string(&mut plain, &mut answer).unwrap();
    assert!(answer.starts_with("HTTP/1.1 403"), "{answer}");
    assert!(host.drain_requests().is_empty());
    // Nobody is drained by a hand that forgot to say whom.
    assert_eq!(ctl(&["drain"]).0, 2);
    // Asked without waiting: it says so, and stands until its owner lets it go.
    let (code, told) = ctl(&["drain", "--host", &at, "--wait", "0", "--json=false"]);
    assert!(code == 0 && told.contains("it drains"), "{told}");
    let (code, told) = ctl(&["health", "--host", &at, "--json=false"]);
    assert!(code == 1 && told.contains("draining, 0 commands open"), "{told}");
    let (code, told) = ctl(&["drain", "--host", &at, "--wait", "1", "--json=false"]);
    assert!(code == 1 && told.contains("still there: 503: draining"), "{told}");
    assert_eq!(host.drain_requests().try_iter().count(), 1, "however often it was asked");
    let owner = std::thread::spawn(move || {
        host.drain_requests().recv_timeout(Duration::from_secs(10)).unwrap();
        assert!(host.stop());
    });
    let (code, told) = ctl(&["drain", "--host", &at, "--json=false"]);
    owner.join().unwrap();
    assert!(code == 0 && told.contains("gone"), "{told}");
}

#[test]
fn its_man_page_and_completions_are_made_from_its_flags() {
    let (code, page) = ctl(&["--generate", "man"]);
    assert!(
        code == 0 && page.contains(".TH pearfork") && page.contains("HTTP addresses of the hosts"),
        "{page}"
    );
    let (code, bash) = ctl(&["--generate", "bash"]);
    assert!(code == 0 && bash.contains("--host") && bash.contains("volumes"));
    assert_eq!(ctl(&["--generate", "poem"]).0, 2);
}
