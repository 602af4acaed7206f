//! Faults and planned work.

use std::time::Duration;

use platform_stand_ins::ServerBehaviour;

use crate::cluster::Vm;

/// Something that is done to a deployment.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Fault {
    /// A process is killed and started again after a while.
    Kill { vm: Vm, down: Duration },
    /// All control processes are killed at once.
    KillAllControl { down: Duration },
    /// Every other entry process is killed at once.
    KillEntries { down: Duration },
    /// A process stands still for a while.
    Pause { vm: Vm, length: Duration },
    /// A control VM is killed and comes back with an empty disk.
    Wipe { control: u8, down: Duration },
    /// A control VM loses power while it writes.
    Tear { control: u8, down: Duration },
    /// A control VM is cut off from all others, one way or both.
    Cut {
        control: u8,
        length: Duration,
        is_one_way: bool,
    },
    /// Links to a control VM are slow.
    SlowLinks {
        control: u8,
        delay: Duration,
        length: Duration,
    },
    /// Links to a control VM are reset.
    ResetLinks { control: u8 },
    /// Open links to a control VM fall silent for good; new ones work.
    SilenceLinks { control: u8 },
    /// All processes are told that their settings may have changed.
    Reload,
    /// A backend server crashes; another start follows after a while.
    CrashServer { server: usize, down: Duration },
    /// A backend server behaves otherwise for a while.
    Misbehave {
        server: usize,
        conduct: ServerBehaviour,
        length: Duration,
    },
    /// Connections to a backend server are slow, or cut one way.
    HinderServer {
        server: usize,
        /// Answers don't come back if there is none.
        delay: Option<Duration>,
        length: Duration,
    },
    /// A backend server can't be reached by control VMs.
    CutServerFromControl { server: usize, length: Duration },
    /// Connections to a backend server are reset.
    ResetServer { server: usize },
    /// Open connections to a backend server fall silent for good.
    SilenceServer { server: usize },
    /// Much of the traffic is for one key.
    HotKey { key: u16, length: Duration },
    /// Planned: a process is asked to stop, and started again.
    Stop { vm: Vm },
    /// Planned: a backend server drains and leaves; another one takes its place.
    Replace { server: usize },
}

impl Fault {
    /// For how long a promise with a time bound may be late; `None` for planned work that excuses
    /// nothing.
    pub(crate) fn disturbance(&self) -> Option<Duration> {
        match self {
            Self::Kill { down, .. }
            | Self::KillAllControl { down }
            | Self::KillEntries { down }
            | Self::Wipe { down, .. }
            | Self::Tear { down, .. }
            | Self::CrashServer { down, .. } => Some(*down),
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
            Self::Reload
            | Self::HotKey { .. }
            | Self::Stop { vm: Vm::Entry(_) }
            | Self::Replace { .. } => None,
        }
    }
}
