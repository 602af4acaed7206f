//! The kinds of faults and planned work.

use std::time::Duration;

use platform_stand_ins::ServerBehaviour;

use crate::cluster::Vm;
use crate::cut_manner::CutManner;
use crate::fault_kind::FaultKind;
use crate::successor::Successor;

/// A fault or a piece of planned work.
///
/// The plan that is kept with the logs shows variants and fields as written by `{:?}`.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Fault {
    /// A process is killed and started again after a while.
    Kill { vm: Vm, down: Duration },
    /// All control processes are killed at once.
    KillAllControl { down: Duration },
    /// Every other entry process is killed at once.
    KillEntries { down: Duration },
    /// A process is paused for a while.
    Pause { vm: Vm, length: Duration },
    /// A control VM is killed and starts again with an empty disk.
    Wipe { control: u8, down: Duration },
    /// A control VM loses power while it writes to its log.
    Tear { control: u8, down: Duration },
    /// A control VM is cut off from all others, in one direction or both.
    Cut {
        control: u8,
        length: Duration,
        is_one_way: bool,
    },
    /// Data on links to a control VM is delayed.
    SlowLinks {
        control: u8,
        delay: Duration,
        length: Duration,
    },
    /// Links to a control VM are reset.
    ResetLinks { control: u8 },
    /// Open links to a control VM transfer nothing any more but stay open; new links work.
    SilenceLinks { control: u8 },
    /// All processes get the signal to read their settings again.
    Reload,
    /// A backend server crashes; its next incarnation starts after a while.
    CrashServer { server: usize, down: Duration },
    /// A backend server ends, and the next one starts at the same address.
    RestartServer {
        server: usize,
        successor: Successor,
        down: Duration,
    },
    /// A backend server is slow, fails or doesn't answer for a while.
    Misbehave {
        server: usize,
        conduct: ServerBehaviour,
        length: Duration,
    },
    /// A backend server names a limit, asks for rest or says that it leaves. One that leaves is
    /// replaced in the end.
    Notice {
        server: usize,
        conduct: ServerBehaviour,
        length: Duration,
    },
    /// Connections to a backend server are slow, or its answers are blocked.
    HinderServer {
        server: usize,
        /// Delay of data in both directions; `None` blocks what the server sends.
        delay: Option<Duration>,
        length: Duration,
    },
    /// A backend server can't be reached by control VMs.
    CutServerFromControl { server: usize, length: Duration },
    /// VMs, all of one role, lose the path to all backend servers.
    CutFromServers {
        vms: Vec<Vm>,
        manner: CutManner,
        length: Duration,
    },
    /// Connections to a backend server are reset.
    ResetServer { server: usize },
    /// Open connections to a backend server transfer nothing any more but stay open.
    SilenceServer { server: usize },
    /// Half of the keyed requests are for one key for a while.
    HotKey { key: u16, length: Duration },
    /// Planned work: nothing is to be sent to the servers of a zone for a while. They may be cold in
    /// the end.
    Evacuate {
        zone: usize,
        length: Duration,
        ends_cold: bool,
    },
    /// Planned work: a process gets the signal to stop, and is started again.
    Stop { vm: Vm },
    /// Planned work: a backend server drains and leaves, then another one replaces it.
    Replace { server: usize },
}

impl Fault {
    /// Returns the kind by which a run can be limited to it. `None` for faults without such a kind.
    pub(crate) fn kind(&self) -> Option<FaultKind> {
        match self {
            Self::RestartServer { .. } => Some(FaultKind::Restarts),
            Self::CutFromServers { vms, .. } => Some(match vms.first() {
                Some(Vm::Entry(_)) => FaultKind::EntryCuts,
                _ => FaultKind::ControlCuts,
            }),
            _ => None,
        }
    }

    /// Returns for how long guarantees with a time bound are suspended. `None` for changes during
    /// which all guarantees must hold.
    pub(crate) fn disturbance(&self) -> Option<Duration> {
        match self {
            Self::Kill { down, .. }
            | Self::KillAllControl { down }
            | Self::KillEntries { down }
            | Self::Wipe { down, .. }
            | Self::Tear { down, .. }
            | Self::CrashServer { down, .. }
            | Self::RestartServer { down, .. } => Some(*down),
            Self::Pause { length, .. }
            | Self::Cut { length, .. }
            | Self::SlowLinks { length, .. }
            | Self::HinderServer { length, .. }
            | Self::CutServerFromControl { length, .. }
            | Self::Misbehave { length, .. } => Some(*length),
            Self::ResetLinks { .. }
            | Self::SilenceLinks { .. }
            | Self::ResetServer { .. }
            | Self::SilenceServer { .. }
            | Self::Stop { vm: Vm::Control(_) } => Some(Duration::ZERO),
            // A cut is recorded with its entry VMs.
            Self::CutFromServers { .. }
            | Self::Reload
            | Self::HotKey { .. }
            | Self::Stop { vm: Vm::Entry(_) }
            | Self::Notice { .. }
            | Self::Evacuate { .. }
            | Self::Replace { .. } => None,
        }
    }
}
