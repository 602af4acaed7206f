//! Which backend servers may serve a request.

use chicory_types::Slot;

/// Which backend servers may serve a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Target {
    /// The owner of the key's slot.
    Owner(Slot),
    /// Any server of the zone that has custody of the order key's slot.
    Custodian(Slot),
    /// Any server of the service.
    Any,
}
