//! The health of a backend server.

use chicory_types::MonoTime;

use crate::server::Suspicion;

/// The health of a server, as this process assesses it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ServerHealth {
    /// The server is treated as alive.
    Up,
    /// The server may be dead, and a probe is in progress.
    Suspected {
        /// Why the server is probed.
        suspicion: Suspicion,
        /// When the probe was sent.
        probed_at: MonoTime,
    },
    /// A probe failed or timed out, so the server is treated as dead.
    Down {
        /// When the server is probed again or, while a probe is in progress, when that probe counts
        /// as timed out.
        next_probe_at: MonoTime,
        /// Whether a probe is in progress.
        is_probing: bool,
    },
}
