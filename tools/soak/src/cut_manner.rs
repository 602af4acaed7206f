//! The ways in which VMs lose the path to backend servers.

use std::time::Duration;

/// The way in which VMs lose the path to backend servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CutManner {
    /// Open connections and new ones hang.
    Silent,
    /// Open connections are reset and new ones refused.
    Reset,
    /// Open connections live on and new ones are refused.
    RefuseNew,
    /// What VMs send arrives, but not what servers answer.
    OneWay,
    /// What VMs send arrives late.
    Late(Duration),
}
