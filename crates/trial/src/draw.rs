//! Schedules of troubles drawn from a seed, and the smallest part of one that still breaks something.

use pearfork_day::scenario::{EventKind, EventTable};
use pearfork_host::units::Span;
use rand_core::Rng;
use rand_pcg::Pcg64Mcg;

/// Draws troubles for a day of so many hosts, the first of which vote.
pub fn draw_schedule(seed: u64, hosts: u16, voters: u16, length: Span, troubles: usize) -> Vec<EventTable> {
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
    const DISKS: [&str; 5] = ["full", "fsync", "torn", "read-only", "stall 700"];
    let mut draws = Pcg64Mcg::new(u128::from(seed) << 1 | 1);
    let mut below = move |n: u32| draws.next_u32() % n.max(1);
    // The first second is for the start, and the last three for what comes after troubles.
    let room = (length.ms() - 4_000.0).max(500.0) as u32;
    let mut events: Vec<EventTable> = Vec::new();
    for _ in 0..troubles {
        let what = KINDS[below(KINDS.len() as u32) as usize];
        let at = 1_000.0 + f64::from(below(room));
        let lasts = (200.0 + f64::from(below(3_000))).min(length.ms() - 2_000.0 - at).max(100.0);
        let among = if what == K::Disk { voters } else { hosts };
        let host = (!matches!(what, K::Split | K::Ring)).then(|| below(u32::from(among)) as u16);
        let times = match what {
            K::Split => Some(f64::from(2 + below(2))),
            K::SlowLink => Some(f64::from(20 + below(400))),
            K::RepeatLink => Some(f64::from(100 + below(2_500))),
            K::DropLink => Some(f64::from(1 + below(6)) / 10.0),
            _ => None,
        };
        // A host that ends twice at once is no trouble that anybody has.
        let ends = |k: EventKind| matches!(k, K::HostKill | K::HostTerm | K::HostStop);
        let over = |e: &EventTable| e.at.ms() + e.lasts.unwrap_or_default().ms() + 300.0;
        let same =
            |e: &EventTable| ends(e.what) && e.host == host && at < over(e) && e.at.ms() < at + lasts + 300.0;
        if ends(what) && events.iter().any(same) {
            continue;
        }
        events.push(EventTable {
            at: Span::from_ms(at),
            what,
            node: None,
            host,
            peer: None,
            disk: (what == K::Disk).then(|| DISKS[below(DISKS.len() as u32) as usize].to_owned()),
            client: None,
            lasts: Some(Span::from_ms(lasts)),
            times,
        });
    }
    events.sort_by(|a, b| a.at.ms().total_cmp(&b.at.ms()));
    events
}

/// Leaves troubles out, one after the other, while what is left still breaks something.
pub fn shrink_schedule(
    events: Vec<EventTable>,
    mut breaks: impl FnMut(&[EventTable]) -> bool,
) -> Vec<EventTable> {
    let mut left = events;
    let mut at = 0;
    while at < left.len() {
        let mut fewer = left.clone();
        fewer.remove(at);
        if breaks(&fewer) {
            left = fewer;
        } else {
            at += 1;
        }
    }
    left
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_seed_draws_the_same_troubles_and_shrinking_keeps_what_breaks() {
        let length = Span::from_ms(12_000.0);
        let one = draw_schedule(5, 7, 3, length, 12);
        let words = |e: &[EventTable]| format!("{e:?}");
        assert_eq!(words(&one), words(&draw_schedule(5, 7, 3, length, 12)));
        assert_ne!(words(&one), words(&draw_schedule(6, 7, 3, length, 12)));
        assert!(one.len() > 6);
        assert!(one.iter().all(|e| e.at.ms() + e.lasts.unwrap_or_default().ms() <= 10_100.0));
        let (first, last) = (one[1].at, one[5].at);
        let has = |e: &[EventTable], at: Span| e.iter().any(|e| e.at == at);
        let least = shrink_schedule(one, |e| has(e, first) && has(e, last));
        assert_eq!(least.len(), 2);
    }
}
