//! Policies that can be switched off for a measurement.

/// A policy that can be switched off, to measure what it is worth.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Policy {
    /// Refuses requests at once whose keys have had no usable owner for longer than a move takes.
    Outages,
    /// Tells refused callers to come back when what blocks them is expected to be over.
    ReturnTime,
    /// Asks the balancer to turn callers to other entry VMs while no control VM with a majority can
    /// be reached.
    Readiness,
    /// Prefers servers of the own availability zone for requests without keys.
    OwnZone,
}

impl Policy {
    /// All policies.
    pub const ALL: [Self; 4] = [
        Self::Outages,
        Self::ReturnTime,
        Self::Readiness,
        Self::OwnZone,
    ];

    /// The name that settings use.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Outages => "outages",
            Self::ReturnTime => "return-time",
            Self::Readiness => "readiness",
            Self::OwnZone => "own-zone",
        }
    }

    /// The policy of this name.
    #[must_use]
    pub fn named(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|policy| policy.name() == name)
    }
}
