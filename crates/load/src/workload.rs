//! Workload model: mix, sizes and access pattern of requests. The generator is seeded, so that two runs send
//! the same requests in the same order.

use rand_core::SeedableRng;
use rand_distr::{Distribution, Exp1, Uniform, Zipf};
use rand_pcg::Pcg64Mcg;
use std::str::FromStr;

/// Kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RequestKind {
    /// READ.
    Read,
    /// WRITE.
    Write,
    /// SYNCHRONIZE CACHE for the whole unit.
    Flush,
}

/// Distribution of requests over the slots of a unit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AccessPattern {
    /// All slots are equally likely.
    Uniform,
    /// Zipf distribution with this exponent; popular slots are scattered over the unit.
    Zipf(f64),
    /// Slots in ascending order.
    Sequential,
}

/// A text that is not an access pattern.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("invalid access pattern `{0}`, expected uniform, sequential or zipf:EXPONENT with an exponent above 0 and at most 5")]
pub struct AccessPatternError(String);

impl FromStr for AccessPattern {
    type Err = AccessPatternError;

    fn from_str(text: &str) -> Result<Self, AccessPatternError> {
        let error = || AccessPatternError(text.to_owned());
        match text {
            "uniform" => Ok(AccessPattern::Uniform),
            "sequential" => Ok(AccessPattern::Sequential),
            _ => {
                let exponent: f64 =
                    text.strip_prefix("zipf:").and_then(|e| e.parse().ok()).ok_or_else(error)?;
                if exponent > 0.0 && exponent <= 5.0 {
                    Ok(AccessPattern::Zipf(exponent))
                } else {
                    Err(error())
                }
            }
        }
    }
}

/// Request sizes in bytes with their weights, parsed from `4KiB` or `4KiB:8,64KiB:2`.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestSizes(pub Vec<(u64, f64)>);

/// A text that is not a list of request sizes.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("invalid request size `{0}`: {1}")]
pub struct RequestSizesError(String, String);

impl FromStr for RequestSizes {
    type Err = RequestSizesError;

    fn from_str(text: &str) -> Result<Self, RequestSizesError> {
        let parse_entry = |entry: &str| {
            let error = |problem: String| RequestSizesError(entry.to_owned(), problem);
            let (size, weight) = entry.split_once(':').unwrap_or((entry, "1"));
            let size: pearfork_host::units::Size = size.parse().map_err(|e| error(format!("{e}")))?;
            let weight: f64 = weight.parse().map_err(|_| error("the weight is not a number".to_owned()))?;
            if size.bytes() == 0 || !(weight > 0.0 && weight.is_finite()) {
                return Err(error("size and weight must be above 0".to_owned()));
            }
            Ok((size.bytes(), weight))
        };
        text.split(',').map(|p| parse_entry(p.trim())).collect::<Result<Vec<_>, _>>().map(RequestSizes)
    }
}

/// The workload of one unit.
#[derive(Clone, Debug, PartialEq)]
pub struct Workload {
    /// Fraction of the requests that are writes.
    pub writes: f64,
    /// Fraction that are flushes.
    pub flushes: f64,
    /// Sizes of reads and writes.
    pub sizes: RequestSizes,
    /// Which slots reads and writes use.
    pub pattern: AccessPattern,
}

/// A workload that is invalid or does not fit a unit.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WorkloadError {
    /// The fractions of writes and flushes are out of range.
    #[error("the fractions of writes and flushes must be 0 to 1, and their sum at most 1")]
    InvalidFractions,
    /// A request size in bytes is not a multiple of the block size.
    #[error("a request size of {0} bytes is not a multiple of the unit's block size of {1} bytes")]
    Misaligned(u64, u32),
    /// The region has fewer blocks than the largest request.
    #[error("the region of {0} blocks is smaller than the largest request of {1} blocks")]
    RegionTooSmall(u64, u64),
}

/// A request to send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// What it does.
    pub kind: RequestKind,
    /// First block.
    pub lba: u64,
    /// Number of blocks.
    pub blocks: u32,
}

/// Generates random requests for a region of blocks.
pub struct RequestGenerator {
    workload: Workload,
    sizes: Vec<u64>,
    first: u64,
    /// Blocks of a slot: the size of the largest request. Each request lies within one slot.
    slot_blocks: u64,
    slots: u64,
    zipf: Option<Zipf<f64>>,
    next: u64,
    rng: Pcg64Mcg,
}

impl RequestGenerator {
    /// Creates a generator for `count` blocks of `block` bytes each, from block `first` on.
    ///
    /// # Errors
    /// The workload is invalid or does not fit the region.
    pub fn new(
        workload: Workload,
        (first, count): (u64, u64),
        block: u32,
        seed: u64,
    ) -> Result<RequestGenerator, WorkloadError> {
        let is_fraction = |p: f64| (0.0..=1.0).contains(&p);
        if !is_fraction(workload.writes)
            || !is_fraction(workload.flushes)
            || workload.writes + workload.flushes > 1.0
        {
            return Err(WorkloadError::InvalidFractions);
        }
        if let Some((bytes, _)) = workload.sizes.0.iter().find(|s| s.0 % u64::from(block.max(1)) != 0) {
            return Err(WorkloadError::Misaligned(*bytes, block));
        }
        let sizes: Vec<u64> = workload.sizes.0.iter().map(|s| s.0 / u64::from(block.max(1))).collect();
        let slot_blocks = sizes.iter().copied().max().unwrap_or(1);
        let slots = count / slot_blocks;
        if slots == 0 {
            return Err(WorkloadError::RegionTooSmall(count, slot_blocks));
        }
        let zipf = match workload.pattern {
            AccessPattern::Zipf(exponent) => Zipf::new(slots as f64, exponent).ok(),
            _ => None,
        };
        Ok(RequestGenerator {
            workload,
            sizes,
            first,
            slot_blocks,
            slots,
            zipf,
            next: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
        })
    }

    /// A random number of 0 to 1.
    fn uniform(&mut self) -> f64 {
        Uniform::new(0.0, 1.0).map_or(0.0, |u| u.sample(&mut self.rng))
    }

    /// Picks the number of blocks of a request by the weights of the sizes.
    fn next_size(&mut self) -> u64 {
        let all: f64 = self.workload.sizes.0.iter().map(|s| s.1).sum();
        let mut left = self.uniform() * all;
        for (size, (_, weight)) in self.sizes.iter().zip(&self.workload.sizes.0) {
            left -= weight;
            if left < 0.0 {
                return *size;
            }
        }
        self.sizes.last().copied().unwrap_or(1)
    }

    /// Picks the slot of a request.
    fn next_slot(&mut self) -> u64 {
        match (&self.zipf, self.workload.pattern) {
            (Some(zipf), _) => {
                let rank = (zipf.sample(&mut self.rng) as u64).clamp(1, self.slots) - 1;
                // Slots of neighbouring rank must not be neighbours on the unit: all hot slots would fall
                // into one extent.
                scatter(rank, self.slots)
            }
            (None, AccessPattern::Sequential) => {
                self.next = (self.next + 1) % self.slots;
                (self.next + self.slots - 1) % self.slots
            }
            (None, _) => ((self.uniform() * self.slots as f64) as u64).min(self.slots - 1),
        }
    }

    /// Returns the next request.
    pub fn next_request(&mut self) -> Request {
        let drawn = self.uniform();
        if drawn < self.workload.flushes {
            return Request { kind: RequestKind::Flush, lba: 0, blocks: 0 };
        }
        let kind = if drawn < self.workload.flushes + self.workload.writes {
            RequestKind::Write
        } else {
            RequestKind::Read
        };
        let blocks = self.next_size();
        Request { kind, lba: self.first + self.next_slot() * self.slot_blocks, blocks: blocks as u32 }
    }

    /// Returns the seconds until the next request of a Poisson process with `rate` requests per second.
    pub fn next_gap_s(&mut self, rate: f64) -> f64 {
        let gap: f64 = Exp1.sample(&mut self.rng);
        gap / rate.max(1e-9)
    }
}

/// A permutation of `0..n` that separates neighbours: multiplication by a number that is coprime to `n`.
fn scatter(rank: u64, n: u64) -> u64 {
    let mut step = (n as f64 * 0.618_033_988_75) as u64 | 1;
    while gcd(step, n) != 1 {
        step += 2;
    }
    (u128::from(rank) * u128::from(step) % u128::from(n.max(1))) as u64
}

fn gcd(a: u64, b: u64) -> u64 {
    if b == 0 {
        a
    } else {
        gcd(b, a % b)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;
    use std::collections::{BTreeMap, BTreeSet};

    fn workload(pattern: AccessPattern) -> Workload {
        Workload { writes: 0.3, flushes: 0.1, sizes: "4KiB:3,16KiB".parse().unwrap(), pattern }
    }

    #[test]
    fn the_generator_keeps_the_mix_and_is_deterministic() {
        let draws = |seed| {
            let mut d =
                RequestGenerator::new(workload(AccessPattern::Uniform), (100, 10_000), 512, seed).unwrap();
            (0..10_000).map(|_| d.next_request()).collect::<Vec<_>>()
        };
        let all = draws(1);
        assert_eq!(all, draws(1));
        assert_ne!(all, draws(2));
        let uniform = |f: fn(&Request) -> bool| all.iter().filter(|a| f(a)).count() as f64 / 10_000.0;
        assert!((0.28..0.32).contains(&uniform(|a| a.kind == RequestKind::Write)));
        assert!((0.08..0.12).contains(&uniform(|a| a.kind == RequestKind::Flush)));
        assert!((0.20..0.25).contains(&uniform(|a| a.blocks == 32)));
    }

    #[test]
    fn gaps_add_up_to_the_requested_rate() {
        for seed in 1..6 {
            let mut d =
                RequestGenerator::new(workload(AccessPattern::Zipf(0.9)), (0, 10_000), 512, seed).unwrap();
            let mut all = 0.0;
            for _ in 0..20_000 {
                d.next_request();
                all += d.next_gap_s(400.0);
            }
            assert!((48.0..52.0).contains(&all), "{all} s, expected 50");
        }
    }

    #[test]
    fn zipf_concentrates_requests_on_a_few_scattered_slots() {
        let mut d = RequestGenerator::new(workload(AccessPattern::Zipf(1.1)), (0, 32_000), 512, 1).unwrap();
        let mut seen: BTreeMap<u64, u32> = BTreeMap::new();
        (0..20_000)
            .map(|_| d.next_request())
            .filter(|a| a.kind != RequestKind::Flush)
            .for_each(|a| *seen.entry(a.lba).or_default() += 1);
        let mut hot: Vec<(u32, u64)> = seen.iter().map(|(lba, n)| (*n, *lba)).collect();
        hot.sort_unstable_by(|a, b| b.cmp(a));
        let first: u32 = hot.iter().take(10).map(|h| h.0).sum();
        let all: u32 = hot.iter().map(|h| h.0).sum();
        assert!(f64::from(first) > 0.35 * f64::from(all), "{first} of {all}");
        assert!(hot[0].1.abs_diff(hot[1].1) > 1000);
    }

    #[test]
    fn errors_of_invalid_options_and_workloads_name_what_is_expected() {
        assert_eq!("zipf:0.9".parse(), Ok(AccessPattern::Zipf(0.9)));
        for bad in ["zipf", "zipf:", "zipf:-1", "zipf:nan", "random"] {
            assert!(bad.parse::<AccessPattern>().unwrap_err().to_string().contains("zipf:EXPONENT"));
        }
        assert_eq!("4KiB:3,1MiB".parse(), Ok(RequestSizes(vec![(4096, 3.0), (1 << 20, 1.0)])));
        for (bad, what) in [
            ("4", "has no unit"),
            ("4KiB:x", "not a number"),
            ("0B", "above 0"),
            ("4KiB:-1", "above 0"),
            ("", ""),
        ] {
            assert!(bad.parse::<RequestSizes>().unwrap_err().to_string().contains(what), "{bad}");
        }
        let generator_error = |workload, count| RequestGenerator::new(workload, (0, count), 4096, 1).err();
        assert_eq!(
            generator_error(workload(AccessPattern::Uniform), 3),
            Some(WorkloadError::RegionTooSmall(3, 4))
        );
        let misaligned = Workload { sizes: "512B".parse().unwrap(), ..workload(AccessPattern::Uniform) };
        assert_eq!(generator_error(misaligned, 100), Some(WorkloadError::Misaligned(512, 4096)));
        assert_eq!(
            generator_error(Workload { writes: 0.95, ..workload(AccessPattern::Uniform) }, 100),
            Some(WorkloadError::InvalidFractions)
        );
    }

    proptest! {
        #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::with_cases(300) })]

        #[test]
        fn requests_stay_within_their_region_and_one_slot(
            first in 0u64..1_000_000, count in 1u64..5_000, seed: u64, which in 0usize..3,
        ) {
            let pattern = [AccessPattern::Uniform, AccessPattern::Zipf(0.8), AccessPattern::Sequential][which];
            let Ok(mut d) = RequestGenerator::new(workload(pattern), (first, count), 512, seed) else {
                prop_assert!(count < 32);
                return Ok(());
            };
            for a in (0..200).map(|_| d.next_request()).filter(|a| a.kind != RequestKind::Flush) {
                prop_assert!(a.lba >= first && a.lba + u64::from(a.blocks) <= first + count);
                prop_assert_eq!((a.lba - first) % 32, 0);
            }
        }

        #[test]
        fn scatter_is_a_permutation(n in 1u64..500) {
            let all: BTreeSet<u64> = (0..n).map(|r| scatter(r, n)).collect();
            prop_assert_eq!(all.len() as u64, n);
            prop_assert!(all.iter().all(|p| *p < n));
        }
    }
}
