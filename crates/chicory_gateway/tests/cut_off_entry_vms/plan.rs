//! Which entry VMs are cut off from the backend servers, and how.

use std::time::Duration;

/// Time at which the path to the servers is cut.
pub const CUT_AT: Duration = Duration::from_secs(5);
/// Time at which the path is restored.
pub const HEALED_AT: Duration = Duration::from_secs(17);

/// What happens to the connections of an entry VM while its path to the servers is cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutKind {
    /// Open connections hang, and opening one takes the connect timeout and fails.
    Silent,
    /// Open connections are reset, and new ones are refused.
    Reset,
    /// Open connections live on, and new ones are refused.
    NewRefused,
    /// Open connections live on, and new ones are accepted and closed.
    NewClosed,
}

/// Which entry VMs are cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutSize {
    One,
    Third,
    Zone,
    TwoThirds,
    AllButOne,
}

/// The links of entry VMs, and what crosses them.
#[derive(Clone, Copy, Debug)]
pub struct ThinLinks {
    pub bytes_per_s: f64,
    pub small_answer_bytes: u64,
    pub large_answer_bytes: u64,
    /// Share of the requests that have large answers.
    pub large_share: f64,
    /// Time that a server takes for a request.
    pub work_time: Duration,
}

/// What is played.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub vm_count: usize,
    pub zone_count: usize,
    pub requests_per_s: f64,
    pub kind: CutKind,
    pub size: CutSize,
    /// Whether servers close one of ten connections after an answer.
    pub has_closing_servers: bool,
    /// The link of each entry VM and what crosses it; links are not limited if `None`.
    pub thin_links: Option<ThinLinks>,
}

impl Plan {
    /// Creates the plan of a small site.
    pub fn small(kind: CutKind, size: CutSize) -> Self {
        Self {
            vm_count: 10,
            zone_count: 3,
            requests_per_s: 20.0,
            kind,
            size,
            has_closing_servers: false,
            thin_links: None,
        }
    }

    /// Creates the plan of a site whose entry VMs have thin links that large answers half fill.
    pub fn thin(kind: CutKind, size: CutSize) -> Self {
        Self {
            vm_count: 66,
            requests_per_s: 36.0,
            thin_links: Some(ThinLinks {
                bytes_per_s: 660_000.0,
                small_answer_bytes: 2_000,
                large_answer_bytes: 90_000,
                large_share: 0.087,
                work_time: Duration::from_millis(220),
            }),
            ..Self::small(kind, size)
        }
    }

    /// Creates the plan of a large site.
    pub fn large(kind: CutKind, size: CutSize) -> Self {
        Self {
            vm_count: 77,
            zone_count: 4,
            requests_per_s: 8.0,
            ..Self::small(kind, size)
        }
    }

    /// Returns the index of the availability zone of an entry VM.
    pub fn zone_of(&self, vm: usize) -> usize {
        vm % self.zone_count
    }

    /// Whether an entry VM is among those that are cut off.
    pub fn is_cut(&self, vm: usize) -> bool {
        match self.size {
            CutSize::One => vm == 0,
            CutSize::Third => vm < self.vm_count / 3,
            CutSize::Zone => self.zone_of(vm) == 0,
            CutSize::TwoThirds => vm < self.vm_count * 2 / 3,
            CutSize::AllButOne => vm + 1 < self.vm_count,
        }
    }
}
