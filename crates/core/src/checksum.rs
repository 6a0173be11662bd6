//! A checksum that is the same on every host and in every version.

/// Returns the checksum of a list of texts.
///
/// FNV-1a over the texts with a separator byte after each; a final mix spreads its high bits.
#[must_use]
pub fn checksum(texts: &[&str]) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    const MIX: u64 = 0xff51_afd7_ed55_8ccd;
    const SEPARATOR: u8 = 0xff;
    let mut sum = OFFSET;
    for text in texts {
        for byte in text.bytes().chain([SEPARATOR]) {
            sum = (sum ^ u64::from(byte)).wrapping_mul(PRIME);
        }
    }
    sum ^= sum >> 33;
    sum = sum.wrapping_mul(MIX);
    sum ^ (sum >> 33)
}
