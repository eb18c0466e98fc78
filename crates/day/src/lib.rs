//! Scripted days on loopback: nodes, hosts and clients, troubles at their times, and the proof of the seven rules.
//!
//! [`script`] is the day as a file, [`play()`] plays it with a [`crew`] that runs its hosts, [`figures`] puts what the hosts are told into the words of the
//! checker of rules, [`judge()`] judges a record, [`summary`] says what came of it.

pub mod crew;
pub mod expect;
pub mod figures;
mod judge;
mod play;
pub mod script;
pub mod summary;

pub use judge::{judge, judge_notes, JudgeError, Judged};
pub use play::{play, DayError, DayResult, During};

/// A short bad day, and the settings of its hosts: what the demo plays.
pub const DEMO: (&str, &str) =
    (include_str!("../days/bad-day.toml"), include_str!("../days/bad-day-hosts.toml"));
