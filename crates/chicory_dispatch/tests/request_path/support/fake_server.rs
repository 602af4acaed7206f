//! A fake backend server.

use std::time::Duration;

/// How a fake server behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// It answers.
    Up,
    /// It takes bytes and never answers.
    Frozen,
    /// Nothing listens.
    Dead,
    /// It refuses each request.
    Shedding,
    /// It answers with HTTP status 503.
    Failing,
    /// It answers with the answer of another request.
    Crossed,
    /// Its answers break off.
    Cut,
    /// It breaks connections before the answer and stays up.
    Breaking,
    /// It crashes on the request with this fingerprint.
    CrashOn(u64),
}

/// A fake backend server and what it has seen.
#[derive(Clone, Debug)]
pub struct FakeServer {
    pub mode: Mode,
    /// Time until its answers begin.
    pub service_time: Duration,
    /// Time from there to their end.
    pub transfer_time: Duration,
    /// What its probes say of its health.
    pub says_healthy: bool,
    /// Connections opened before this one are silent.
    pub silent_below: u64,
    /// Fingerprints of the requests that began to run, in order.
    pub runs: Vec<u64>,
    pub probes: u32,
    pub max_in_flight: usize,
    pub max_connections: usize,
    pub in_flight_limit: usize,
    pub connection_limit: usize,
}

impl FakeServer {
    pub fn new(service_time: Duration) -> Self {
        Self {
            mode: Mode::Up,
            service_time,
            transfer_time: Duration::ZERO,
            says_healthy: true,
            silent_below: 0,
            runs: Vec::new(),
            probes: 0,
            max_in_flight: 0,
            max_connections: 0,
            in_flight_limit: 4,
            connection_limit: 10,
        }
    }
}
