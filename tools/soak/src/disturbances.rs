//! Records when faults disturbed the deployment.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Time after a disturbance during which guarantees with a time bound are not checked. It is part
/// of the operators' requirements.
const SETTLING_TIME: Duration = Duration::from_secs(3);

type Span = (Instant, Instant);

/// The times in which faults disturbed the deployment. Guarantees with a time bound hold only
/// outside them.
#[derive(Debug, Default)]
pub struct Disturbances {
    all: Mutex<Vec<Span>>,
    entries: Mutex<BTreeMap<SocketAddr, Vec<Span>>>,
}

impl Disturbances {
    /// Records a disturbance of the deployment from now on for `length`.
    pub fn record(&self, length: Duration) {
        let now = Instant::now();
        let mut all = self.all.lock().unwrap_or_else(PoisonError::into_inner);
        all.push((now, now + length));
    }

    /// Records a disturbance of a single entry VM from now on for `length`.
    pub fn record_for_entry(&self, entry: SocketAddr, length: Duration) {
        let now = Instant::now();
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        entries.entry(entry).or_default().push((now, now + length));
    }

    /// Returns whether no disturbance of the deployment, nor the settling time after one, overlaps
    /// the time from `from` to `to`.
    pub fn none_between(&self, from: Instant, to: Instant) -> bool {
        let all = self.all.lock().unwrap_or_else(PoisonError::into_inner);
        !touches(&all, from, to)
    }

    /// Returns whether this entry VM was not disturbed itself from `from` to `to`, whatever happened
    /// to others.
    pub fn none_of_entry_between(&self, entry: SocketAddr, from: Instant, to: Instant) -> bool {
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let spans = entries.get(&entry);
        spans.is_none_or(|spans| !touches(spans, from, to))
    }

    /// Returns whether neither the deployment nor this entry VM was disturbed from `from` to `to`.
    pub fn none_for_entry_between(&self, entry: SocketAddr, from: Instant, to: Instant) -> bool {
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let spans = entries.get(&entry);
        self.none_between(from, to) && spans.is_none_or(|spans| !touches(spans, from, to))
    }
}

fn touches(spans: &[Span], from: Instant, to: Instant) -> bool {
    let mut spans = spans.iter();
    spans.any(|(begin, end)| *begin <= to && from <= *end + SETTLING_TIME)
}
