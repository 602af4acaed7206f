//! The fixed hash function that maps keys to slots.

use xxhash_rust::xxh3::{Xxh3, xxh3_64};

use crate::Slot;

/// Number of slots of each service.
pub const SLOTS_PER_SERVICE: Slot = 16_384;

/// Returns the slot of a key or of an order key.
///
/// The hash function is part of the wire protocol, so it never changes within a cluster.
///
/// # Examples
///
/// ```
/// use chicory_types::{SLOTS_PER_SERVICE, slot_of_key};
///
/// assert!(slot_of_key("station-12/platform-3") < SLOTS_PER_SERVICE);
/// ```
#[must_use]
pub fn slot_of_key(key: &str) -> Slot {
    let bucket = xxh3_64(key.as_bytes()) % u64::from(SLOTS_PER_SERVICE);
    #[expect(
        clippy::cast_possible_truncation,
        reason = "the remainder is below the slot count"
    )]
    let slot = bucket as Slot;
    slot
}

/// Returns a stable 64-bit fingerprint of byte strings, such as the parts that identify a request.
///
/// The length of each part is hashed before its bytes, so that moving bytes from one part to the
/// next changes the fingerprint.
#[must_use]
pub fn fingerprint_of(parts: &[&[u8]]) -> u64 {
    fingerprint(parts).digest()
}

/// Returns the fingerprint of byte strings the last of which consists of segments. It is that of
/// [`fingerprint_of`] for the same strings, however the last one is divided.
#[must_use]
pub fn fingerprint_of_segments<'a>(
    parts: &[&[u8]],
    last_bytes: u64,
    last: impl IntoIterator<Item = &'a [u8]>,
) -> u64 {
    let mut state = fingerprint(parts);
    state.update(&last_bytes.to_le_bytes());
    for segment in last {
        state.update(segment);
    }
    state.digest()
}

fn fingerprint(parts: &[&[u8]]) -> Xxh3 {
    let mut state = Xxh3::new();
    for part in parts {
        state.update(&(part.len() as u64).to_le_bytes());
        state.update(part);
    }
    state
}
