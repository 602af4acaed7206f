//! Requests of callers, and what became of them.

use std::time::Duration;

use chicory_gateway::{RequestTicket, Target};

/// Path of requests with keys.
pub const READS: &str = "/reads/x";
/// Path of orders.
pub const ORDERS: &str = "/orders/x";
/// Path of requests with large answers.
pub const DOWNLOADS: &str = "/downloads/x";

/// What became of the first try of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The server's answer reached the caller.
    Served,
    /// The entry VM refused the request.
    Refused {
        took: Duration,
        may_have_run: bool,
        has_retry_after: bool,
    },
}

/// The first try of a request.
#[derive(Clone, Copy, Debug)]
pub struct Record {
    pub entry_vm: usize,
    pub arrived_at: Duration,
    pub ending: Ending,
}

/// A request that an entry VM is serving.
pub struct Exchange {
    pub entry_vm: usize,
    pub arrived_at: Duration,
    pub ticket: RequestTicket,
    pub is_large: bool,
    pub answer_bytes: u64,
}

/// An attempt in progress.
pub struct Attempt {
    pub exchange: Exchange,
    pub target: Target,
    /// Whether a connection to the server has been opened or was open.
    pub is_connected: bool,
}

/// Returns the share of requests of some entry VMs that were served, among those that arrived within
/// a time.
pub fn served_share(
    records: &[Record],
    from: Duration,
    until: Duration,
    is_counted: impl Fn(usize) -> bool,
) -> f64 {
    let counted: Vec<&Record> = records
        .iter()
        .filter(|record| (from..until).contains(&record.arrived_at) && is_counted(record.entry_vm))
        .collect();
    let is_served = |record: &&&Record| record.ending == Ending::Served;
    let served = counted.iter().filter(is_served).count();
    share(served, counted.len())
}

fn share(part: usize, whole: usize) -> f64 {
    let count = |number: usize| f64::from(u32::try_from(number).expect("a small number"));
    count(part) / count(whole.max(1))
}
