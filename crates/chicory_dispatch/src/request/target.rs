//! The backend servers that may serve a request.

use chicory_types::Slot;

/// The backend servers that may serve a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Target {
    /// Only the owner of the key's slot.
    Owner(Slot),
    /// Any server of the service in the zone that has custody of the order key's slot.
    Custodian(Slot),
    /// Any server of the service.
    Any,
}
