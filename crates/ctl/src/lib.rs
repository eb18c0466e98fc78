//! Asks running hosts how they are, or to drain, over their HTTP; and lays the answers out. [`table`] and [`fleet`] do no I/O.

pub mod fleet;
pub mod table;

use pearfork_net::http::{get, post};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// What can be asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Question {
    /// Whether it has a node to send to.
    Health,
    /// The nodes as it knows them, with what became of its attempts.
    Nodes,
    /// Its volumes.
    Volumes,
    /// Its metrics, as they are.
    Metrics,
    /// Its fleet: `fleet members`, `fleet budgets` or `fleet why VOLUME`.
    Fleet,
    /// To stop in order: take no more sessions, answer what was taken, go.
    Drain,
}

impl Question {
    fn path(self) -> &'static str {
        match self {
            Question::Health => "/health",
            Question::Nodes => "/nodes",
            Question::Volumes => "/volumes",
            Question::Metrics => "/metrics",
            Question::Fleet => "/fleet",
            Question::Drain => "/drain",
        }
    }
}

/// What a host answered.
#[derive(Clone, Debug, PartialEq)]
pub enum Told {
    /// Lists of things with the same keys.
    Rows(Vec<Value>),
    /// Words.
    Words(String),
    /// It is there, and says no.
    Ill(String),
    /// It is not there, or did not answer in time.
    Silent(String),
}

/// Asks one host, and waits so long at the most.
pub fn ask(host: SocketAddr, question: Question, within: Duration) -> Told {
    let called = match question {
        Question::Drain => post(host, question.path(), within),
        _ => get(host, question.path(), within),
    };
    let (status, body) = match called {
        Ok(answer) => answer,
        Err(e) => return Told::Silent(e.to_string()),
    };
    let words = String::from_utf8_lossy(&body).trim_end().to_owned();
    if !matches!(status, 200 | 202) {
        return Told::Ill(format!("{status}: {words}"));
    }
    match (question, serde_json::from_slice(&body)) {
        (Question::Fleet, Ok(view @ Value::Object(_))) => Told::Rows(vec![view]),
        (Question::Fleet, _) => Told::Ill(format!("no state of a fleet: {words}")),
        (Question::Nodes | Question::Volumes, Ok(Value::Array(rows))) => Told::Rows(rows),
        (Question::Nodes | Question::Volumes, _) => Told::Ill(format!("no list of JSON: {words}")),
        _ => Told::Words(words),
    }
}

/// How often a draining host is looked at.
const LOOK: Duration = Duration::from_millis(200);

/// Asks a host to drain and waits until it is gone: words where it is, ill where it still stands when `wait` is over.
pub fn drain(host: SocketAddr, wait: Duration, patience: Duration) -> Told {
    let until = Instant::now() + wait;
    let told = ask(host, Question::Drain, patience);
    if !matches!(told, Told::Words(_)) || wait.is_zero() {
        return told;
    }
    loop {
        let now = ask(host, Question::Health, patience);
        if matches!(now, Told::Silent(_)) {
            return Told::Words("gone".to_owned());
        }
        if Instant::now() >= until {
            let (Told::Ill(words) | Told::Words(words)) = now else { return now };
            return Told::Ill(format!("still there: {words}"));
        }
        std::thread::sleep(LOOK);
    }
}
