//! The request and service envelopes of LMAC: how much a class asks of a node, and how long the node
//! takes for it.
//!
//! Section 3 of Kanodia and Knightly, "Ensuring Latency Targets in Multiclass Web Servers". A node has
//! an envelope for a class from the first request of that class that was admitted there until the
//! envelope is empty again, so that a host pays for the nodes that it uses and not for those that its
//! list names. An envelope that is missing admits as an empty one does.

use std::collections::VecDeque;

/// The span T over which both envelopes are measured.
pub(crate) const WINDOW_MS: f64 = 10_000.0;
/// The smallest sub-window; each tau of the grid is a whole number of these.
pub(crate) const BUCKET_MS: f64 = 50.0;
/// The grid of tau, in buckets: 50 ms to 2 s, each a divisor of T.
pub(crate) const SPANS: [usize; 6] = [1, 2, 4, 8, 20, 40];
/// Sub-windows of the smallest size within T.
const BUCKETS: usize = (WINDOW_MS / BUCKET_MS) as usize;
/// Gaussian 95 % point.
const TAIL: f64 = 1.645;
/// Largest k of the service envelope; also the hard top of the in-flight limit.
pub(crate) const TOP: usize = 32;
/// The service envelope forgets in slots of T / SLOTS.
const SLOTS: usize = 10;
/// Samples below which a k counts as not seen: a variance needs two.
const SEEN: f64 = 2.0;

/// Counts of admitted arrivals in jumping sub-windows of one length.
#[derive(Clone, Default)]
struct Jumping {
    counts: VecDeque<u32>,
    current: u32,
    sum: f64,
    squares: f64,
}

impl Jumping {
    /// Ends the current sub-window; the last `kept` count.
    fn close(&mut self, kept: usize) {
        let count = std::mem::take(&mut self.current);
        self.counts.push_back(count);
        self.sum += f64::from(count);
        self.squares += f64::from(count) * f64::from(count);
        if self.counts.len() > kept {
            let old = f64::from(self.counts.pop_front().unwrap_or(0));
            self.sum -= old;
            self.squares -= old * old;
        }
    }
}

#[derive(Clone, Copy, Default)]
struct Sums {
    n: f64,
    sum: f64,
    squares: f64,
}

impl Sums {
    fn add(&mut self, value: f64) {
        self.n += 1.0;
        self.sum += value;
        self.squares += value * value;
    }

    fn of(parts: impl Iterator<Item = Sums>) -> Sums {
        parts.fold(Sums::default(), |a, s| Sums {
            n: a.n + s.n,
            sum: a.sum + s.sum,
            squares: a.squares + s.squares,
        })
    }
}

/// The request and service envelope of one class at one node.
#[derive(Clone, Default)]
pub(crate) struct Envelope {
    bucket: i64,
    since: f64,
    spans: [Jumping; SPANS.len()],
    slot: i64,
    /// For each slot, the samples of each k from 1 up to the largest that was seen in it.
    slots: [Vec<Sums>; SLOTS],
    totals: Vec<Sums>,
    curve: Vec<(f64, f64)>,
    stale: bool,
    /// Arrival and overlap of the last TOP admitted requests; `next` numbers the one to come.
    recent: VecDeque<(f64, usize)>,
    next: u64,
    latest_open: bool,
}

impl Envelope {
    fn new(now: f64) -> Self {
        let (bucket, slot) =
            ((now / BUCKET_MS).floor() as i64, (now * SLOTS as f64 / WINDOW_MS).floor() as i64);
        Envelope { bucket, slot, since: now, ..Default::default() }
    }

    /// The request is over: it is no longer there for a newcomer to overlap with.
    pub(crate) fn ended(&mut self, number: u64) {
        if number + 1 == self.next {
            self.latest_open = false;
        }
    }

    /// Lets old sub-windows and service slots go.
    pub(crate) fn roll(&mut self, now: f64) {
        let bucket = (now / BUCKET_MS).floor() as i64;
        let kept = BUCKETS as i64;
        self.bucket = self.bucket.max(bucket - 2 * kept);
        while self.bucket < bucket {
            self.bucket += 1;
            for (span, s) in SPANS.iter().zip(&mut self.spans) {
                if self.bucket % *span as i64 == 0 {
                    s.close(kept as usize / span);
                }
            }
        }
        let slot = (now * SLOTS as f64 / WINDOW_MS).floor() as i64;
        if self.slot < slot {
            for _ in 0..(slot - self.slot).min(SLOTS as i64) {
                self.slots.rotate_right(1);
                self.slots[0].clear();
            }
            self.slot = slot;
            let seen = self.slots.iter().map(Vec::len).max().unwrap_or(0);
            let total = |k: usize| Sums::of(self.slots.iter().filter_map(|s| s.get(k)).copied());
            self.totals = (0..seen).map(total).collect();
            self.stale = true;
        }
    }

    /// Counts an admitted request; the number names it to `served` and `ended`.
    fn admitted(&mut self, now: f64) -> u64 {
        self.roll(now);
        for s in &mut self.spans {
            s.current += 1;
        }
        let chain = match self.recent.back() {
            Some((_, chain)) if self.latest_open => (chain + 1).min(TOP),
            _ => 1,
        };
        self.recent.push_back((now, chain));
        if self.recent.len() > TOP {
            self.recent.pop_front();
        }
        self.latest_open = true;
        self.next += 1;
        self.next - 1
    }

    /// Takes the service samples of a request that was served: for each run of k overlapping arrivals that
    /// ends with it, the time from the first arrival to now.
    pub(crate) fn served(&mut self, now: f64, number: u64) {
        self.roll(now);
        self.ended(number);
        let back = self.next.saturating_sub(number) as usize;
        let Some(at) = self.recent.len().checked_sub(back.max(1)) else { return };
        let chain = self.recent[at].1.min(at + 1);
        for k in 0..chain {
            let took = now - self.recent[at - k].0;
            add_sample(&mut self.slots[0], k, took);
            add_sample(&mut self.totals, k, took);
        }
        self.stale = true;
    }

    /// R(tau) with the rate raised by `more`, tau being `SPANS[i]` buckets.
    pub(crate) fn requests(&self, i: usize, now: f64, more: f64) -> f64 {
        let seen = (now - self.since).clamp(1_000.0, WINDOW_MS);
        let rate = (self.spans[0].sum + f64::from(self.spans[0].current)) / seen;
        let mean = rate * SPANS[i] as f64 * BUCKET_MS;
        let s = &self.spans[i];
        let m = s.counts.len() as f64;
        // Too few sub-windows for a variance: as if arrivals were Poisson.
        let variance =
            if m < 3.0 { mean } else { (s.squares - 2.0 * mean * s.sum + m * mean * mean) / (m - 2.0) };
        mean + more * SPANS[i] as f64 * BUCKET_MS + TAIL * variance.max(0.0).sqrt()
    }

    pub(crate) fn refresh(&mut self) {
        if std::mem::take(&mut self.stale) {
            self.curve.clear();
            for (k, t) in self.totals.iter().enumerate().filter(|(_, t)| t.n >= SEEN) {
                let mean = t.sum / t.n;
                let variance = (t.squares - t.n * mean * mean) / (t.n - 1.0);
                self.curve.push(((k + 1) as f64, mean + TAIL * variance.max(0.0).sqrt()));
            }
        }
    }

    /// S(k); `None` without samples. Linear between the k seen and past the last two.
    pub(crate) fn service(&self, k: f64) -> Option<f64> {
        let c = &self.curve;
        let &(first, lowest) = c.first()?;
        if k <= first {
            return Some(lowest);
        }
        let i = c.partition_point(|p| p.0 < k);
        let (a, b) = match (i < c.len(), c.len()) {
            (true, _) => (c[i - 1], c[i]),
            (false, 1) => ((0.0, 0.0), c[0]),
            (false, n) => (c[n - 2], c[n - 1]),
        };
        let slope = (b.1 - a.1) / (b.0 - a.0);
        Some(b.1 + (k - b.0) * if i < c.len() { slope } else { slope.max(0.0) })
    }

    /// Whether it tells no more than a new one: nothing was admitted or served within T.
    fn is_empty(&mut self, now: f64) -> bool {
        self.roll(now);
        self.spans.iter().all(|s| s.sum == 0.0 && s.current == 0) && self.totals.iter().all(|t| t.n == 0.0)
    }
}

/// Adds a sample of the service time of k + 1 overlapping requests.
fn add_sample(sums: &mut Vec<Sums>, k: usize, took: f64) {
    if sums.len() <= k {
        sums.resize(k + 1, Sums::default());
    }
    sums[k].add(took);
}

/// The envelopes of one node, by class.
#[derive(Default)]
pub(crate) struct Envelopes {
    /// When the node became known; an envelope counts from then on, whenever it is made.
    known_since: f64,
    /// As long as the highest class that was admitted.
    by_class: Vec<Option<Box<Envelope>>>,
}

impl Envelopes {
    pub(crate) fn new(now: f64) -> Self {
        Envelopes { known_since: now, by_class: Vec::new() }
    }

    /// Counts an admitted request; the number names it to [`Envelope::served`] and [`Envelope::ended`].
    pub(crate) fn admitted(&mut self, class: usize, now: f64) -> u64 {
        if self.by_class.len() <= class {
            self.by_class.resize_with(class + 1, || None);
        }
        let known_since = self.known_since;
        let envelope = self.by_class[class].get_or_insert_with(|| Box::new(Envelope::new(known_since)));
        envelope.admitted(now)
    }

    /// The envelope of a class, if one was admitted within T.
    pub(crate) fn of_class(&mut self, class: usize) -> Option<&mut Envelope> {
        self.by_class.get_mut(class)?.as_deref_mut()
    }

    /// All that there are, with their classes.
    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = (usize, &mut Envelope)> {
        self.by_class.iter_mut().enumerate().filter_map(|(class, e)| Some((class, e.as_deref_mut()?)))
    }

    /// Lets those go that tell nothing any more.
    pub(crate) fn release_empty(&mut self, now: f64) {
        for slot in &mut self.by_class {
            if slot.as_deref_mut().is_some_and(|e| e.is_empty(now)) {
                *slot = None;
            }
        }
        if self.by_class.iter().all(Option::is_none) {
            self.by_class = Vec::new();
        }
    }
}
