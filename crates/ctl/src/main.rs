//! `pearfork-ctl`: queries running hosts and drains them.

use clap::Parser;
use pearfork_cli::{CommonArguments, Exit, Highlight};
use pearfork_ctl::fleet::{compare, Topic};
use pearfork_ctl::{drain, query_host, table, Query, Response};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

/// Query running hosts over HTTP, or drain one. Exit codes: 0 success, 1 a host is unhealthy or did not drain
/// in time, 2 a host can't be reached.
#[derive(Parser)]
#[command(name = "pearfork-ctl", version, about)]
struct Arguments {
    #[command(flatten)]
    common: CommonArguments,
    /// The query.
    #[arg(id = "question")]
    query: Query,
    /// Arguments of `fleet`: `members`, `budgets`, or `why` and the name of a volume.
    #[arg(id = "what")]
    query_arguments: Vec<String>,
    /// HTTP addresses of the hosts, `http` in their settings. The default is 127.0.0.1:9180; `drain` has no
    /// default.
    #[arg(long = "host")]
    hosts: Vec<SocketAddr>,
    /// Seconds that `drain` waits for the host to exit; with 0 it does not wait.
    #[arg(long, default_value_t = 30)]
    wait: u64,
}

impl AsRef<CommonArguments> for Arguments {
    fn as_ref(&self) -> &CommonArguments {
        &self.common
    }
}

/// Time limit of a call to a host.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

fn main() -> ExitCode {
    pearfork_cli::run(|a: Arguments| run(&a))
}

fn run(a: &Arguments) -> Result<Exit, String> {
    let hosts = match (&a.hosts[..], a.query) {
        // A default address would let a forgotten flag stop whichever host runs on this machine.
        ([], Query::Drain) => return Err("name the host to drain: --host ADDRESS".to_owned()),
        ([], _) => vec![SocketAddr::from(([127, 0, 0, 1], 9180))],
        (named, _) => named.to_vec(),
    };
    if a.query == Query::Fleet {
        return compare_fleet_views(a, &hosts);
    }
    if let Some(argument) = a.query_arguments.first() {
        return Err(format!("unexpected argument `{argument}`: only `fleet` takes arguments"));
    }
    let output = a.common.output;
    let mut worst_exit = Exit::Success;
    for host in &hosts {
        let response = match a.query {
            Query::Drain => drain(*host, Duration::from_secs(a.wait), CALL_TIMEOUT),
            query => query_host(*host, query, CALL_TIMEOUT),
        };
        let heading = if hosts.len() > 1 { format!("{host}\n") } else { String::new() };
        let (exit, text, value) = match &response {
            Response::Rows(rows) => {
                (Exit::Success, table::format_rows(rows), serde_json::json!({"host": host, "rows": rows}))
            }
            Response::Text(t) => {
                (Exit::Success, format!("{t}\n"), serde_json::json!({"host": host, "words": t}))
            }
            Response::Unhealthy(t) => {
                let text = format!("{} {t}\n", output.highlight(Highlight::Error, "ill:"));
                (Exit::Negative, text, serde_json::json!({"host": host, "ill": t}))
            }
            Response::Unreachable(t) => {
                let text = format!("{} {t}\n", output.highlight(Highlight::Error, "silent:"));
                (Exit::Error, text, serde_json::json!({"host": host, "silent": t}))
            }
        };
        output.print(&value, &(heading + &text));
        worst_exit = worst_exit.max(exit);
        // Hosts are drained one after the other. The first one that does not drain ends the sequence, so that
        // the remaining hosts keep serving.
        if a.query == Query::Drain && exit != Exit::Success {
            break;
        }
    }
    Ok(worst_exit)
}

/// Prints a comparison of the fleet views of the given hosts.
fn compare_fleet_views(a: &Arguments, hosts: &[SocketAddr]) -> Result<Exit, String> {
    let topic = match a.query_arguments.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        ["members"] | [] => Topic::Members,
        ["budgets"] => Topic::Budgets,
        ["why", volume] => Topic::Why(volume.to_owned()),
        _ => return Err("expected `fleet members`, `fleet budgets` or `fleet why VOLUME`".to_owned()),
    };
    let output = a.common.output;
    let mut views = Vec::new();
    let mut worst_exit = Exit::Success;
    for host in hosts {
        match query_host(*host, Query::Fleet, CALL_TIMEOUT) {
            Response::Rows(rows) => views.extend(rows),
            Response::Text(t) | Response::Unhealthy(t) => {
                eprintln!("{host}: {} {t}", output.highlight(Highlight::Error, "ill:"));
                worst_exit = worst_exit.max(Exit::Negative);
            }
            Response::Unreachable(t) => {
                eprintln!("{host}: {} {t}", output.highlight(Highlight::Error, "silent:"));
                worst_exit = worst_exit.max(Exit::Error);
            }
        }
    }
    let comparison = compare(&views, &topic);
    let mut text =
        if comparison.rows.is_empty() { String::new() } else { table::format_rows(&comparison.rows) };
    comparison.sentences.iter().for_each(|s| text += &format!("{s}\n"));
    comparison
        .disagreements
        .iter()
        .for_each(|d| text += &format!("{} {d}\n", output.highlight(Highlight::Error, "disagreement:")));
    output.print(&comparison, &text);
    Ok(if comparison.disagreements.is_empty() { worst_exit } else { worst_exit.max(Exit::Negative) })
}
