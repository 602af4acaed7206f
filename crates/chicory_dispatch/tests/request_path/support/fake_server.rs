//! A fake backend server.

use std::time::Duration;

/// How a fake server behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// It answers.
    Up,
    /// It accepts bytes and never answers.
    Frozen,
    /// It refuses connections, and its open connections are broken.
    Dead,
    /// It refuses each request to shed load.
    Shedding,
    /// It answers with HTTP status 503.
    Failing,
    /// Its answers carry the id of another request.
    WrongAnswers,
    /// Its connections break within the answer.
    TruncatedAnswers,
    /// Its connections break before the answer, but it stays up.
    BreakingConnections,
    /// It crashes on the request with this fingerprint.
    CrashOn(u64),
}

/// A fake backend server with the statistics that the tests check.
#[derive(Clone, Debug)]
pub struct FakeServer {
    pub mode: Mode,
    /// Time from the write of a request until its answer begins.
    pub service_time: Duration,
    /// Time from the beginning of an answer until its end.
    pub transfer_time: Duration,
    /// Whether the answers to probes report that the server is healthy.
    pub says_healthy: bool,
    /// Connections with a lower id than this are unresponsive.
    pub unresponsive_below: u64,
    /// Fingerprints of the requests that started to run, in order.
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
            unresponsive_below: 0,
            runs: Vec::new(),
            probes: 0,
            max_in_flight: 0,
            max_connections: 0,
            in_flight_limit: 4,
            connection_limit: 10,
        }
    }
}
