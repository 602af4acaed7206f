//! Whether an entry VM relays requests for others.

/// Whether an entry VM relays requests for others, as it reported last.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum RelayAbility {
    /// It has not reported yet.
    #[default]
    Unknown,
    /// It relays requests.
    Able,
    /// It doesn't: it reaches no backend servers, or is about to stop.
    Unable,
}

impl RelayAbility {
    pub(crate) fn reported(can_relay: bool) -> Self {
        if can_relay { Self::Able } else { Self::Unable }
    }
}
