//! Fencing tokens.

use serde::{Deserialize, Serialize};
use std::fmt;

/// A number that orders the owners of a slot; a backend server refuses all but the greatest.
///
/// The custody generation is the high part, so that a token given after custody moved to another
/// availability zone is greater than any token of the former one.
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
    /// Counter of the zone group, never reset within a generation.
    pub counter: u64,
}

impl FencingToken {
    /// Creates a token from its high and low part.
    #[must_use]
    pub fn new(custody_generation: u64, counter: u64) -> Self {
        Self {
            custody_generation,
            counter,
        }
    }

    /// Parses the form that [`Display`](fmt::Display) writes; `None` for anything else.
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
