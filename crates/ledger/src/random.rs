//! A seeded pseudo-random number generator.

/// SplitMix64. The sequence depends on the seed alone, so that runs can be repeated.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Random(pub(crate) u64);

impl Random {
    /// A number in [0, 1).
    pub(crate) fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }
}
