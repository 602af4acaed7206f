//! Messages from control VMs to entry VMs.

use crate::{DirectoryUpdate, LinkStatus, MovesChange};

/// A message from a control VM to an entry VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlMessage {
    /// The directory changed.
    Update(DirectoryUpdate),
    /// The state of the control VM.
    Status(LinkStatus),
    /// The set of keys in transfer between owners changed. The first such message on a link is full
    /// and names all of them.
    Moves(MovesChange),
}
