//! Messages from control VMs to entry VMs.

use crate::{
    AdmittedFraction, DirectoryUpdate, LinkStatus, MovesChange, RelayPeer, ServerLimitUpdate,
    ServiceShares,
};

/// A message from a control VM to an entry VM.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlMessage {
    /// The directory changed.
    Update(DirectoryUpdate),
    /// The state of the control VM.
    Status(LinkStatus),
    /// The set of keys in transfer between owners changed. The first such message on a link is full
    /// and names all of them.
    Moves(MovesChange),
    /// Rate limits of backend servers, and permits to send requests to them.
    ServerLimits(ServerLimitUpdate),
    /// Entry VMs that relay requests for the receiver, the preferred one first. Each such message
    /// replaces the one before. Only entry VMs whose hello names a relay address are sent any.
    Relays(Vec<RelayPeer>),
    /// Parts of the servers' slots that the receiver prefers. Each such message replaces the one
    /// before. Only entry VMs whose reports say that they understand it are sent any.
    ServerShares(Vec<ServiceShares>),
    /// Admission to servers whose keys are asked for more than they can do; all other servers take
    /// everything. Each such message replaces the one before. Only entry VMs whose reports say that
    /// they understand it are sent any.
    OwnerAdmission(Vec<AdmittedFraction>),
}
