//! Policies that can be switched off for a measurement.

/// A policy that can be switched off to measure its benefit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Policy {
    /// Refuses requests at once if their keys have had no usable owner for longer than
    /// a move takes.
    Outages,
    /// Sends refused callers a retry-after time at which the cause is expected to be over.
    RetryAfterTime,
    /// Reports the entry VM as unready while it has no contact to a control VM with a majority, so
    /// that the balancer sends callers to other entry VMs.
    Readiness,
    /// Prefers servers of the entry VM's own availability zone for requests without keys.
    OwnZone,
    /// Sends requests by way of other entry VMs while this one has no path to backend servers.
    Relay,
    /// Refuses requests at once beyond the fraction that an overloaded owner of keys can answer.
    OwnerAdmission,
    /// Prefers the part of servers' slots that the leader names, for requests without keys.
    Shares,
}

impl Policy {
    /// All policies.
    pub const ALL: [Self; 7] = [
        Self::Outages,
        Self::RetryAfterTime,
        Self::Readiness,
        Self::OwnZone,
        Self::Relay,
        Self::OwnerAdmission,
        Self::Shares,
    ];

    /// Policies that are off unless the settings of a deployment name them: on the deployments that
    /// were measured, callers were served worse with each of them.
    pub const OPTIONAL: [Self; 2] = [Self::OwnerAdmission, Self::Shares];

    /// Returns the name of the policy in settings.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Outages => "outages",
            Self::RetryAfterTime => "return-time",
            Self::Readiness => "readiness",
            Self::OwnZone => "own-zone",
            Self::Relay => "relay",
            Self::OwnerAdmission => "owner-admission",
            Self::Shares => "shares",
        }
    }

    /// Returns the policy with this name.
    #[must_use]
    pub fn named(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|policy| policy.name() == name)
    }
}
