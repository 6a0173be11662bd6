//! Numbers with units.

use std::time::Duration;

const BYTE_UNITS: [(&str, u64); 4] =
    [("KiB", 1 << 10), ("MiB", 1 << 20), ("GiB", 1 << 30), ("B", 1)];

const TIME_UNITS: [(&str, u64); 4] = [("ms", 1), ("s", 1_000), ("min", 60_000), ("h", 3_600_000)];

/// Reads a size such as `4MiB`.
#[must_use]
pub fn parse_bytes(text: &str) -> Option<u64> {
    parse(text, &BYTE_UNITS)
}

/// Reads a span of time such as `250ms` or `10s`.
#[must_use]
pub fn parse_duration(text: &str) -> Option<Duration> {
    parse(text, &TIME_UNITS).map(Duration::from_millis)
}

fn parse(text: &str, units: &[(&str, u64)]) -> Option<u64> {
    let digits = text.find(|c: char| !c.is_ascii_digit())?;
    let (number, unit) = text.split_at(digits);
    let number: u64 = number.parse().ok()?;
    let (_, scale) = units.iter().find(|(name, _)| *name == unit.trim())?;
    number.checked_mul(*scale)
}
