//! The request and service envelopes of LMAC: how many requests of a class a node gets, and how long it takes
//! for them.
//!
//! They follow section 3 of Kanodia and Knightly, "Ensuring Latency Targets in Multiclass Web Servers". A
//! node has an envelope for a class from the first request of that class that was admitted there until the
//! envelope is empty again, so that memory grows with the nodes that a host uses and not with those that its
//! list names. A missing envelope admits as an empty one does.

use std::collections::VecDeque;

/// The window T over which both envelopes are measured.
pub(crate) const ENVELOPE_WINDOW_MS: f64 = 10_000.0;
/// The smallest sub-window; each tau is a whole number of these.
pub(crate) const BUCKET_MS: f64 = 50.0;
/// The values of tau in buckets, 50 ms to 2 s; each divides T.
pub(crate) const TAU_BUCKETS: [usize; 6] = [1, 2, 4, 8, 20, 40];
/// Smallest sub-windows in T.
const BUCKETS_PER_WINDOW: usize = (ENVELOPE_WINDOW_MS / BUCKET_MS) as usize;
/// The 95 % point of the Gaussian distribution, in standard deviations.
const GAUSSIAN_95_PERCENT: f64 = 1.645;
/// Largest k of the service envelope, and the upper bound of the in-flight limit.
pub(crate) const MAX_OVERLAPPING_REQUESTS: usize = 32;
/// The service envelope drops its samples in slots of T / SERVICE_SLOTS.
const SERVICE_SLOTS: usize = 10;
/// A k with fewer samples counts as not seen, since a variance needs two samples.
const MIN_SAMPLES: f64 = 2.0;

/// Counts of admitted arrivals in consecutive sub-windows of one length.
#[derive(Clone, Default)]
struct ArrivalCounts {
    counts: VecDeque<u32>,
    current: u32,
    sum: f64,
    squares: f64,
}

impl ArrivalCounts {
    /// Ends the current sub-window and keeps the last `max_counts`.
    fn close(&mut self, max_counts: usize) {
        let count = std::mem::take(&mut self.current);
        self.counts.push_back(count);
        self.sum += f64::from(count);
        self.squares += f64::from(count) * f64::from(count);
        if self.counts.len() > max_counts {
            let old = f64::from(self.counts.pop_front().unwrap_or(0));
            self.sum -= old;
            self.squares -= old * old;
        }
    }
}

#[derive(Clone, Copy, Default)]
struct Moments {
    count: f64,
    sum: f64,
    squares: f64,
}

impl Moments {
    fn add(&mut self, value: f64) {
        self.count += 1.0;
        self.sum += value;
        self.squares += value * value;
    }

    fn total(parts: impl Iterator<Item = Moments>) -> Moments {
        parts.fold(Moments::default(), |a, s| Moments {
            count: a.count + s.count,
            sum: a.sum + s.sum,
            squares: a.squares + s.squares,
        })
    }
}

/// The request and service envelope of one class at one node.
#[derive(Clone, Default)]
pub(crate) struct Envelope {
    bucket: i64,
    counted_since: f64,
    arrivals: [ArrivalCounts; TAU_BUCKETS.len()],
    slot: i64,
    /// For each slot, the samples of each k from 1 up to the largest that was seen in it.
    service_slots: [Vec<Moments>; SERVICE_SLOTS],
    service_totals: Vec<Moments>,
    service_curve: Vec<(f64, f64)>,
    curve_outdated: bool,
    /// Arrival and number of overlapping requests of the last MAX_OVERLAPPING_REQUESTS admitted requests;
    /// `next_number` numbers the next one.
    recent_arrivals: VecDeque<(f64, usize)>,
    next_number: u64,
    latest_in_flight: bool,
}

impl Envelope {
    fn new(now: f64) -> Self {
        let (bucket, slot) = (
            (now / BUCKET_MS).floor() as i64,
            (now * SERVICE_SLOTS as f64 / ENVELOPE_WINDOW_MS).floor() as i64,
        );
        Envelope { bucket, slot, counted_since: now, ..Default::default() }
    }

    /// Notes that a request is over, so that the next arrival does not overlap with it.
    pub(crate) fn ended(&mut self, number: u64) {
        if number + 1 == self.next_number {
            self.latest_in_flight = false;
        }
    }

    /// Drops sub-windows and service slots that are older than T.
    pub(crate) fn roll(&mut self, now: f64) {
        let bucket = (now / BUCKET_MS).floor() as i64;
        let buckets_per_window = BUCKETS_PER_WINDOW as i64;
        self.bucket = self.bucket.max(bucket - 2 * buckets_per_window);
        while self.bucket < bucket {
            self.bucket += 1;
            for (buckets, counts) in TAU_BUCKETS.iter().zip(&mut self.arrivals) {
                if self.bucket % *buckets as i64 == 0 {
                    counts.close(buckets_per_window as usize / buckets);
                }
            }
        }
        let slot = (now * SERVICE_SLOTS as f64 / ENVELOPE_WINDOW_MS).floor() as i64;
        if self.slot < slot {
            for _ in 0..(slot - self.slot).min(SERVICE_SLOTS as i64) {
                self.service_slots.rotate_right(1);
                self.service_slots[0].clear();
            }
            self.slot = slot;
            let largest_k = self.service_slots.iter().map(Vec::len).max().unwrap_or(0);
            let total = |k: usize| {
                Moments::total(self.service_slots.iter().filter_map(|counts| counts.get(k)).copied())
            };
            self.service_totals = (0..largest_k).map(total).collect();
            self.curve_outdated = true;
        }
    }

    /// Counts an admitted request and returns its number for `served` and `ended`.
    fn admitted(&mut self, now: f64) -> u64 {
        self.roll(now);
        for s in &mut self.arrivals {
            s.current += 1;
        }
        let overlapping = match self.recent_arrivals.back() {
            Some((_, overlapping)) if self.latest_in_flight => {
                (overlapping + 1).min(MAX_OVERLAPPING_REQUESTS)
            }
            _ => 1,
        };
        self.recent_arrivals.push_back((now, overlapping));
        if self.recent_arrivals.len() > MAX_OVERLAPPING_REQUESTS {
            self.recent_arrivals.pop_front();
        }
        self.latest_in_flight = true;
        self.next_number += 1;
        self.next_number - 1
    }

    /// Adds the service samples of a request that was served: for each run of k overlapping arrivals that
    /// ends with it, the time from the first arrival to now.
    pub(crate) fn served(&mut self, now: f64, number: u64) {
        self.roll(now);
        self.ended(number);
        let age_in_requests = self.next_number.saturating_sub(number) as usize;
        let Some(index) = self.recent_arrivals.len().checked_sub(age_in_requests.max(1)) else { return };
        let overlapping = self.recent_arrivals[index].1.min(index + 1);
        for k in 0..overlapping {
            let service_ms = now - self.recent_arrivals[index - k].0;
            add_sample(&mut self.service_slots[0], k, service_ms);
            add_sample(&mut self.service_totals, k, service_ms);
        }
        self.curve_outdated = true;
    }

    /// Returns R(tau), the request envelope, with the rate raised by `rate_increase` per millisecond; tau is
    /// `TAU_BUCKETS[tau_index]` buckets.
    pub(crate) fn requests(&self, tau_index: usize, now: f64, rate_increase: f64) -> f64 {
        let observed_ms = (now - self.counted_since).clamp(1_000.0, ENVELOPE_WINDOW_MS);
        let rate = (self.arrivals[0].sum + f64::from(self.arrivals[0].current)) / observed_ms;
        let mean = rate * TAU_BUCKETS[tau_index] as f64 * BUCKET_MS;
        let arrivals = &self.arrivals[tau_index];
        let sub_windows = arrivals.counts.len() as f64;
        // With fewer than three sub-windows there is no variance; arrivals are taken as Poisson then.
        let variance = if sub_windows < 3.0 {
            mean
        } else {
            (arrivals.squares - 2.0 * mean * arrivals.sum + sub_windows * mean * mean) / (sub_windows - 2.0)
        };
        mean + rate_increase * TAU_BUCKETS[tau_index] as f64 * BUCKET_MS
            + GAUSSIAN_95_PERCENT * variance.max(0.0).sqrt()
    }

    pub(crate) fn refresh(&mut self) {
        if std::mem::take(&mut self.curve_outdated) {
            self.service_curve.clear();
            for (k, t) in self.service_totals.iter().enumerate().filter(|(_, t)| t.count >= MIN_SAMPLES) {
                let mean = t.sum / t.count;
                let variance = (t.squares - t.count * mean * mean) / (t.count - 1.0);
                self.service_curve
                    .push(((k + 1) as f64, mean + GAUSSIAN_95_PERCENT * variance.max(0.0).sqrt()));
            }
        }
    }

    /// Returns S(k), the service envelope, or `None` without samples. It is linear between the k that were
    /// seen and continues the last segment beyond them.
    pub(crate) fn service(&self, k: f64) -> Option<f64> {
        let curve = &self.service_curve;
        let &(first_k, first_ms) = curve.first()?;
        if k <= first_k {
            return Some(first_ms);
        }
        let i = curve.partition_point(|p| p.0 < k);
        let (left, right) = match (i < curve.len(), curve.len()) {
            (true, _) => (curve[i - 1], curve[i]),
            (false, 1) => ((0.0, 0.0), curve[0]),
            (false, n) => (curve[n - 2], curve[n - 1]),
        };
        let slope = (right.1 - left.1) / (right.0 - left.0);
        Some(right.1 + (k - right.0) * if i < curve.len() { slope } else { slope.max(0.0) })
    }

    /// Whether nothing was admitted or served within T, as in a new envelope.
    fn is_empty(&mut self, now: f64) -> bool {
        self.roll(now);
        self.arrivals.iter().all(|s| s.sum == 0.0 && s.current == 0)
            && self.service_totals.iter().all(|t| t.count == 0.0)
    }
}

/// Adds a sample of the service time of k + 1 overlapping requests.
fn add_sample(sums: &mut Vec<Moments>, k: usize, service_ms: f64) {
    if sums.len() <= k {
        sums.resize(k + 1, Moments::default());
    }
    sums[k].add(service_ms);
}

/// The envelopes of one node, by class.
#[derive(Default)]
pub(crate) struct Envelopes {
    /// When the node became known. Each envelope counts from then on, even if it is created later.
    known_since: f64,
    /// Reaches up to the highest class that was admitted.
    by_class: Vec<Option<Box<Envelope>>>,
}

impl Envelopes {
    pub(crate) fn new(now: f64) -> Self {
        Envelopes { known_since: now, by_class: Vec::new() }
    }

    /// Counts an admitted request and returns its number for [`Envelope::served`] and [`Envelope::ended`].
    pub(crate) fn admitted(&mut self, class: usize, now: f64) -> u64 {
        if self.by_class.len() <= class {
            self.by_class.resize_with(class + 1, || None);
        }
        let known_since = self.known_since;
        let envelope = self.by_class[class].get_or_insert_with(|| Box::new(Envelope::new(known_since)));
        envelope.admitted(now)
    }

    /// Returns the envelope of a class, if a request of it was admitted within T.
    pub(crate) fn of_class(&mut self, class: usize) -> Option<&mut Envelope> {
        self.by_class.get_mut(class)?.as_deref_mut()
    }

    /// Iterates over the existing envelopes with their classes.
    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = (usize, &mut Envelope)> {
        self.by_class.iter_mut().enumerate().filter_map(|(class, e)| Some((class, e.as_deref_mut()?)))
    }

    /// Releases the envelopes that are empty.
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
