//! `pearfork-ctl`: asks running hosts how they are, or to drain.

use clap::Parser;
use pearfork_cli::{CommonArguments, Exit, Highlight};
use pearfork_ctl::fleet::{look, Topic};
use pearfork_ctl::{ask, drain, table, Question, Told};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

/// Asks hosts how they are, or one to drain, over their HTTP. Exit codes: 0 fine, 1 a host is ill or did not drain in time,
/// 2 one can't be asked.
#[derive(Parser)]
#[command(name = "pearfork-ctl", version, about)]
struct Arguments {
    #[command(flatten)]
    common: CommonArguments,
    /// What is asked.
    question: Question,
    /// Of `fleet`: `members`, `budgets`, or `why` and a volume.
    what: Vec<String>,
    /// HTTP addresses of the hosts, as `http` in their settings has them; 127.0.0.1:9180 where none is named, but `drain`
    /// wants its host named.
    #[arg(long = "host")]
    hosts: Vec<SocketAddr>,
    /// Seconds that `drain` waits for the host to be gone; 0 waits for nothing.
    #[arg(long, default_value_t = 30)]
    wait: u64,
}

impl AsRef<CommonArguments> for Arguments {
    fn as_ref(&self) -> &CommonArguments {
        &self.common
    }
}

/// How long one host may take for an answer.
const PATIENCE: Duration = Duration::from_secs(3);

fn main() -> ExitCode {
    pearfork_cli::run(|a: Arguments| run(&a))
}

fn run(a: &Arguments) -> Result<Exit, String> {
    let hosts = match (&a.hosts[..], a.question) {
        // Danger: a tired hand that forgets the flag would stop whatever runs here.
        ([], Question::Drain) => return Err("name the host to drain: --host ADDRESS".to_owned()),
        ([], _) => vec![SocketAddr::from(([127, 0, 0, 1], 9180))],
        (named, _) => named.to_vec(),
    };
    if a.question == Question::Fleet {
        return fleet(a, &hosts);
    }
    if let Some(word) = a.what.first() {
        return Err(format!("`{word}` makes no sense after this question"));
    }
    let output = a.common.output;
    let mut end = Exit::Success;
    for host in &hosts {
        let told = match a.question {
            Question::Drain => drain(*host, Duration::from_secs(a.wait), PATIENCE),
            question => ask(*host, question, PATIENCE),
        };
        let head = if hosts.len() > 1 { format!("{host}\n") } else { String::new() };
        let (own, words, value) = match &told {
            Told::Rows(rows) => {
                (Exit::Success, table::lay_out(rows), serde_json::json!({"host": host, "rows": rows}))
            }
            Told::Words(w) => {
                (Exit::Success, format!("{w}\n"), serde_json::json!({"host": host, "words": w}))
            }
            Told::Ill(w) => {
                let words = format!("{} {w}\n", output.highlight(Highlight::Error, "ill:"));
                (Exit::Negative, words, serde_json::json!({"host": host, "ill": w}))
            }
            Told::Silent(w) => {
                let words = format!("{} {w}\n", output.highlight(Highlight::Error, "silent:"));
                (Exit::Error, words, serde_json::json!({"host": host, "silent": w}))
            }
        };
        output.print(&value, &(head + &words));
        end = end.max(own);
        // One that would not drain leaves the others running: draining a whole fleet at once is nobody's wish.
        if a.question == Question::Drain && own != Exit::Success {
            break;
        }
    }
    Ok(end)
}

/// The views of all hosts that were named, beside each other.
fn fleet(a: &Arguments, hosts: &[SocketAddr]) -> Result<Exit, String> {
    let topic = match a.what.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        ["members"] | [] => Topic::Members,
        ["budgets"] => Topic::Budgets,
        ["why", volume] => Topic::Why(volume.to_owned()),
        _ => return Err("say `fleet members`, `fleet budgets` or `fleet why VOLUME`".to_owned()),
    };
    let output = a.common.output;
    let mut views = Vec::new();
    let mut end = Exit::Success;
    for host in hosts {
        match ask(*host, Question::Fleet, PATIENCE) {
            Told::Rows(rows) => views.extend(rows),
            Told::Words(w) | Told::Ill(w) => {
                eprintln!("{host}: {} {w}", output.highlight(Highlight::Error, "ill:"));
                end = end.max(Exit::Negative);
            }
            Told::Silent(w) => {
                eprintln!("{host}: {} {w}", output.highlight(Highlight::Error, "silent:"));
                end = end.max(Exit::Error);
            }
        }
    }
    let seen = look(&views, &topic);
    let mut words = if seen.rows.is_empty() { String::new() } else { table::lay_out(&seen.rows) };
    seen.words.iter().for_each(|w| words += &format!("{w}\n"));
    seen.disagree
        .iter()
        .for_each(|w| words += &format!("{} {w}\n", output.highlight(Highlight::Error, "disagreement:")));
    output.print(&seen, &words);
    Ok(if seen.disagree.is_empty() { end } else { end.max(Exit::Negative) })
}
