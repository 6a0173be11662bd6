//! Checksums that are the same on every host and in every version.

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;
const MIX: u64 = 0xff51_afd7_ed55_8ccd;

/// Returns the checksum of a list of texts.
///
/// FNV-1a over the texts with a separator byte after each; a final mix spreads its high bits.
#[must_use]
pub fn checksum(texts: &[&str]) -> u64 {
    const SEPARATOR: u8 = 0xff;
    let mut sum = FNV_OFFSET;
    for text in texts {
        for byte in text.bytes().chain([SEPARATOR]) {
            sum = (sum ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
        }
    }
    mix(sum)
}

/// Returns a checksum of 128 bits of a list of byte strings, as two halves.
///
/// Each half reads words of eight bytes and the length of each string. It guards against accidents,
/// not against callers that construct collisions.
#[must_use]
pub(crate) fn checksum_pair(parts: &[&[u8]]) -> (u64, u64) {
    const SECOND_OFFSET: u64 = 0x9e37_79b9_7f4a_7c15;
    const SECOND_PRIME: u64 = 0xc4ce_b9fe_1a85_ec53;
    let (mut high, mut low) = (FNV_OFFSET, SECOND_OFFSET);
    let mut add = |word: u64| {
        high = (high ^ mix(word)).wrapping_mul(FNV_PRIME).rotate_left(29);
        low = (low ^ word).wrapping_mul(SECOND_PRIME).rotate_left(31);
    };
    for part in parts {
        for chunk in part.chunks(size_of::<u64>()) {
            let mut word = [0; size_of::<u64>()];
            word[..chunk.len()].copy_from_slice(chunk);
            add(u64::from_le_bytes(word));
        }
        add(part.len() as u64);
    }
    (mix(high), mix(low))
}

fn mix(sum: u64) -> u64 {
    let sum = (sum ^ (sum >> 33)).wrapping_mul(MIX);
    sum ^ (sum >> 33)
}
