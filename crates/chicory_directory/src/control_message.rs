//! Messages from control VMs to entry VMs.

use crate::{DirectoryUpdate, LinkStatus, MovesChange, ServerLimitUpdate};

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
}
