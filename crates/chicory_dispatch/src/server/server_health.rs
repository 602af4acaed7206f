//! What this process makes of a backend server's health.

use chicory_types::MonoTime;

use crate::server::Suspicion;

/// What this process makes of a server's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ServerHealth {
    /// It answers.
    Up,
    /// A probe is under way.
    Suspected {
        /// Why.
        suspicion: Suspicion,
        /// When the probe was sent.
        probed_at: MonoTime,
    },
    /// A probe found it dead.
    Down {
        /// When it is probed again, or when the running probe was sent.
        next_probe_at: MonoTime,
        /// Whether a probe is under way.
        is_probing: bool,
    },
}
