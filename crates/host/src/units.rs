//! Durations and sizes as the settings write them: a number with its unit, never a bare number.

use serde::{de, Deserialize, Deserializer, Serialize, Serializer};

/// A duration, parsed from text such as `250ms`, `1.2s` or `2min`.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct Span(f64);

impl Span {
    /// Creates a duration from milliseconds; negative and non-finite values become 0.
    pub fn from_ms(ms: f64) -> Span {
        Span(if ms.is_finite() { ms.max(0.0) } else { 0.0 })
    }

    /// The duration in milliseconds.
    pub fn ms(self) -> f64 {
        self.0
    }

    /// The duration as a [`std::time::Duration`].
    pub fn duration(self) -> std::time::Duration {
        std::time::Duration::from_secs_f64(self.0 / 1_000.0)
    }
}

/// A number of bytes, parsed from text such as `512B`, `64KiB` or `1GiB`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Size(u64);

impl Size {
    /// Creates a size from a number of bytes.
    pub fn from_bytes(bytes: u64) -> Size {
        Size(bytes)
    }

    /// The size in bytes.
    pub fn bytes(self) -> u64 {
        self.0
    }
}

/// A text that is not a duration or size.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UnitError {
    /// The number has no unit.
    #[error("`{0}` has no unit; write one of {1} after the number")]
    MissingUnit(String, &'static str),
    /// Not a number with a known unit; negative numbers, fractions of a byte and sizes over 2^53 bytes
    /// included.
    #[error("`{0}` is not a valid number with a unit; write a number followed by one of {1}")]
    Invalid(String, &'static str),
}

const TIME_UNITS: &str = "us, ms, s, min, h";
const SIZE_UNITS: &str = "B, KiB, MiB, GiB, TiB";

fn split_unit<'a>(text: &'a str, units: &'static str) -> Result<(f64, &'a str), UnitError> {
    let text = text.trim();
    let at = text.find(|c: char| !c.is_ascii_digit() && c != '.').unwrap_or(text.len());
    let number = text[..at].parse::<f64>().ok().filter(|n| n.is_finite());
    let number = number.ok_or_else(|| UnitError::Invalid(text.to_owned(), units))?;
    match text[at..].trim_start() {
        "" => Err(UnitError::MissingUnit(text.to_owned(), units)),
        unit => Ok((number, unit)),
    }
}

impl std::str::FromStr for Span {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let (number, unit) = split_unit(text, TIME_UNITS)?;
        let factor = match unit {
            "us" => 0.001,
            "ms" => 1.0,
            "s" => 1_000.0,
            "min" => 60_000.0,
            "h" => 3_600_000.0,
            _ => return Err(UnitError::Invalid(text.to_owned(), TIME_UNITS)),
        };
        Ok(Span(number * factor))
    }
}

impl std::str::FromStr for Size {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let (number, unit) = split_unit(text, SIZE_UNITS)?;
        let shift = match unit {
            "B" => 0,
            "KiB" => 10,
            "MiB" => 20,
            "GiB" => 30,
            "TiB" => 40,
            _ => return Err(UnitError::Invalid(text.to_owned(), SIZE_UNITS)),
        };
        let bytes = number * (1u64 << shift) as f64;
        if bytes.fract() != 0.0 || bytes > (1u64 << 53) as f64 {
            return Err(UnitError::Invalid(text.to_owned(), SIZE_UNITS));
        }
        Ok(Size(bytes as u64))
    }
}

impl<'de> Deserialize<'de> for Span {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        String::deserialize(d)?.parse().map_err(de::Error::custom)
    }
}

impl<'de> Deserialize<'de> for Size {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        String::deserialize(d)?.parse().map_err(de::Error::custom)
    }
}

/// Uses the largest unit that gives a whole number; if none does, milliseconds.
impl std::fmt::Display for Span {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let units = [("h", 3_600_000.0), ("min", 60_000.0), ("s", 1_000.0), ("ms", 1.0), ("us", 0.001)];
        let whole = |(_, ms): &&(&str, f64)| self.0 >= *ms && (self.0 / ms).fract() == 0.0;
        match units.iter().find(whole) {
            Some((unit, ms)) => write!(f, "{}{unit}", self.0 / ms),
            None => write!(f, "{}ms", self.0),
        }
    }
}

/// Uses the largest unit that gives a whole number.
impl std::fmt::Display for Size {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let units = [("TiB", 40), ("GiB", 30), ("MiB", 20), ("KiB", 10)];
        let whole = |(_, shift): &&(&str, u32)| self.0 > 0 && self.0.is_multiple_of(1 << shift);
        match units.iter().find(whole) {
            Some((unit, shift)) => write!(f, "{}{unit}", self.0 >> shift),
            None => write!(f, "{}B", self.0),
        }
    }
}

impl Serialize for Span {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        s.collect_str(self)
    }
}

impl Serialize for Size {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        s.collect_str(self)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn durations_and_sizes_need_a_unit() {
        assert_eq!("1.2s".parse::<Span>().unwrap().ms(), 1200.0);
        assert_eq!("64 KiB".parse::<Size>().unwrap().bytes(), 65_536);
        for text in ["0ms", "1200ms", "250ms", "2s", "5min", "3h", "400us", "0.25us"] {
            let span: Span = text.parse().unwrap();
            assert_eq!(span.to_string().parse::<Span>().unwrap(), span, "{text}");
        }
        assert_eq!(Span::from_ms(1_200.0).to_string(), "1200ms");
        assert_eq!(
            (Size(1 << 20).to_string(), Size(1536).to_string()),
            ("1MiB".to_owned(), "1536B".to_owned())
        );
        assert!("1.2".parse::<Span>().unwrap_err().to_string().contains("has no unit"));
        for bad in ["", "s", "-1s", "1e400s", "1.2.3s", "5 lightyears", "0.3B", "9999999999TiB"] {
            assert!(bad.parse::<Span>().is_err() || bad.ends_with('B'), "{bad}");
            assert!(bad.parse::<Size>().is_err(), "{bad}");
        }
    }
}
