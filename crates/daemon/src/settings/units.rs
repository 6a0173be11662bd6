//! Parses sizes and durations with units.

use std::time::Duration;

const BYTE_UNITS: [(&str, u64); 4] =
    [("KiB", 1 << 10), ("MiB", 1 << 20), ("GiB", 1 << 30), ("B", 1)];

const TIME_UNITS: [(&str, u64); 4] = [("ms", 1), ("s", 1_000), ("min", 60_000), ("h", 3_600_000)];

/// Parses a size in bytes, such as `4MiB`; returns `None` where the unit is missing or unknown, the
/// number is not whole, or the size overflows.
#[must_use]
pub fn parse_bytes(text: &str) -> Option<u64> {
    parse(text, &BYTE_UNITS)
}

/// Parses a duration such as `250ms`, `10s` or `5.7s`; returns `None` where the unit is missing or
/// unknown, or the number can't be parsed or is out of range.
#[must_use]
pub fn parse_duration(text: &str) -> Option<Duration> {
    if let Some(whole) = parse(text, &TIME_UNITS) {
        return Some(Duration::from_millis(whole));
    }
    let end = text.find(|c: char| !c.is_ascii_digit() && c != '.')?;
    let (number, unit) = text.split_at(end);
    let number: f64 = number.parse().ok()?;
    let (_, scale) = TIME_UNITS.iter().find(|(name, _)| *name == unit.trim())?;
    Duration::try_from_secs_f64(number)
        .ok()?
        .checked_mul(u32::try_from(*scale).ok()?)
        .map(|d| d / 1_000)
}

fn parse(text: &str, units: &[(&str, u64)]) -> Option<u64> {
    let digits = text.find(|c: char| !c.is_ascii_digit())?;
    let (number, unit) = text.split_at(digits);
    let number: u64 = number.parse().ok()?;
    let (_, scale) = units.iter().find(|(name, _)| *name == unit.trim())?;
    number.checked_mul(*scale)
}
