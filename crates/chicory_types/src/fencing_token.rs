//! Fencing tokens.

use serde::{Deserialize, Serialize};
use std::fmt;

/// A number that orders the successive owners of a slot.
///
/// A backend server refuses every token but the greatest. The custody generation is the high part
/// of the token. Every token that is issued after custody has moved to another availability zone is
/// therefore greater than any token of the former zone.
///
/// # Examples
///
/// ```
/// use chicory_types::FencingToken;
///
/// let before = FencingToken::new(3, 41);
/// let after = FencingToken::new(4, 1);
/// assert!(before < after);
/// assert_eq!(before.to_string(), "3.41");
/// ```
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct FencingToken {
    /// Generation of the availability zone's custody of the slot.
    pub custody_generation: u64,
    /// Counter of the zone group, never reset within a custody generation.
    pub counter: u64,
}

impl FencingToken {
    /// Creates a token from its high part and its low part.
    #[must_use]
    pub fn new(custody_generation: u64, counter: u64) -> Self {
        Self {
            custody_generation,
            counter,
        }
    }

    /// Parses the format that [`Display`](fmt::Display) writes; returns `None` for any other text.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let (generation, counter) = text.split_once('.')?;
        Some(Self::new(generation.parse().ok()?, counter.parse().ok()?))
    }
}

impl fmt::Display for FencingToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.custody_generation, self.counter)
    }
}
