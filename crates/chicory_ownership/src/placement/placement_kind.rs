//! Selection of a placement policy.

use crate::{GreedyPlacement, MinMaxPlacement, PlacementPolicy, RendezvousPlacement};

/// Kind of placement policy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PlacementKind {
    /// [`RendezvousPlacement`].
    Rendezvous,
    /// [`GreedyPlacement`].
    #[default]
    Greedy,
    /// [`MinMaxPlacement`].
    MinMax,
}

impl PlacementKind {
    /// Creates a policy of this kind.
    #[must_use]
    pub fn build(self) -> Box<dyn PlacementPolicy> {
        match self {
            Self::Rendezvous => Box::new(RendezvousPlacement),
            Self::Greedy => Box::new(GreedyPlacement::default()),
            Self::MinMax => Box::new(MinMaxPlacement),
        }
    }
}
