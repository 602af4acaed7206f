//! Messages of control VMs to entry VMs.

use crate::{DirectoryUpdate, LinkStatus, MovesChange};

/// A message from a control VM to an entry VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlMessage {
    /// The directory changed.
    Update(DirectoryUpdate),
    /// The state of the control VM.
    Status(LinkStatus),
    /// Other keys move than before; a status tells of all that move.
    Moves(MovesChange),
}
