//! Draws random schedules of faults from a seed, and shrinks a schedule to the faults that a failure needs.

use pearfork_day::scenario::{EventKind, EventTable};
use pearfork_host::units::Span;
use rand_core::Rng;
use rand_pcg::Pcg64Mcg;

/// Draws `count` faults for a scenario. The first `voters` of the hosts are voters.
///
/// A fault is left out when it would end a host that another fault ends or stops at the same time, so the
/// schedule may be shorter. A change in the order of the draws changes the schedule of every seed.
pub fn draw_schedule(seed: u64, hosts: u16, voters: u16, length: Span, count: usize) -> Vec<EventTable> {
    use EventKind as K;
    const KINDS: [EventKind; 12] = [
        K::HostKill,
        K::HostStop,
        K::HostTerm,
        K::Cut,
        K::CutOneWay,
        K::Split,
        K::Ring,
        K::SlowLink,
        K::DropLink,
        K::RepeatLink,
        K::ResetLink,
        K::Disk,
    ];
    const DISK_FAULTS: [&str; 5] = ["full", "fsync", "torn", "read-only", "stall 700"];
    let mut rng = Pcg64Mcg::new(u128::from(seed) << 1 | 1);
    let mut below = move |n: u32| rng.next_u32() % n.max(1);
    // No fault begins in the first second, when the hosts start, or in the last three, when they recover.
    let span_ms = (length.ms() - 4_000.0).max(500.0) as u32;
    let mut events: Vec<EventTable> = Vec::new();
    for _ in 0..count {
        let what = KINDS[below(KINDS.len() as u32) as usize];
        let at = 1_000.0 + f64::from(below(span_ms));
        let lasts = (200.0 + f64::from(below(3_000))).min(length.ms() - 2_000.0 - at).max(100.0);
        let host_count = if what == K::Disk { voters } else { hosts };
        let host = (!matches!(what, K::Split | K::Ring)).then(|| below(u32::from(host_count)) as u16);
        let times = match what {
            K::Split => Some(f64::from(2 + below(2))),
            K::SlowLink => Some(f64::from(20 + below(400))),
            K::RepeatLink => Some(f64::from(100 + below(2_500))),
            K::DropLink => Some(f64::from(1 + below(6)) / 10.0),
            _ => None,
        };
        // A host cannot be ended or stopped again until 300 ms after another fault has ended or stopped it.
        let ends_host = |k: EventKind| matches!(k, K::HostKill | K::HostTerm | K::HostStop);
        let end_ms = |e: &EventTable| e.at.ms() + e.lasts.unwrap_or_default().ms() + 300.0;
        let overlaps = |e: &EventTable| {
            ends_host(e.what) && e.host == host && at < end_ms(e) && e.at.ms() < at + lasts + 300.0
        };
        if ends_host(what) && events.iter().any(overlaps) {
            continue;
        }
        events.push(EventTable {
            at: Span::from_ms(at),
            what,
            node: None,
            host,
            peer: None,
            disk: (what == K::Disk).then(|| DISK_FAULTS[below(DISK_FAULTS.len() as u32) as usize].to_owned()),
            client: None,
            lasts: Some(Span::from_ms(lasts)),
            times,
        });
    }
    events.sort_by(|a, b| a.at.ms().total_cmp(&b.at.ms()));
    events
}

/// Removes faults one at a time, and keeps each removal after which `fails` still returns true.
pub fn shrink_schedule(
    events: Vec<EventTable>,
    mut fails: impl FnMut(&[EventTable]) -> bool,
) -> Vec<EventTable> {
    let mut needed = events;
    let mut at = 0;
    while at < needed.len() {
        let mut fewer = needed.clone();
        fewer.remove(at);
        if fails(&fewer) {
            needed = fewer;
        } else {
            at += 1;
        }
    }
    needed
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn seed_determines_the_schedule_and_shrinking_keeps_the_needed_faults() {
        let length = Span::from_ms(12_000.0);
        let drawn = draw_schedule(5, 7, 3, length, 12);
        let text = |e: &[EventTable]| format!("{e:?}");
        assert_eq!(text(&drawn), text(&draw_schedule(5, 7, 3, length, 12)));
        assert_ne!(text(&drawn), text(&draw_schedule(6, 7, 3, length, 12)));
        assert!(drawn.len() > 6);
        assert!(drawn.iter().all(|e| e.at.ms() + e.lasts.unwrap_or_default().ms() <= 10_100.0));
        let (first, last) = (drawn[1].at, drawn[5].at);
        let has = |e: &[EventTable], at: Span| e.iter().any(|e| e.at == at);
        let shrunk = shrink_schedule(drawn, |e| has(e, first) && has(e, last));
        assert_eq!(shrunk.len(), 2);
    }
}
