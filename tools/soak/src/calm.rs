//! When nothing was disturbed.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Time after a disturbance for which promises with a time bound are not judged; stated by the
/// operators.
const SETTLING_TIME: Duration = Duration::from_secs(3);

type Span = (Instant, Instant);

/// When nothing was disturbed: promises with a time bound hold only then.
#[derive(Debug, Default)]
pub struct Calm {
    all: Mutex<Vec<Span>>,
    entries: Mutex<BTreeMap<SocketAddr, Vec<Span>>>,
}

impl Calm {
    /// Something is disturbed from now on for this long.
    pub fn disturb(&self, length: Duration) {
        let now = Instant::now();
        let mut all = self.all.lock().unwrap_or_else(PoisonError::into_inner);
        all.push((now, now + length));
    }

    /// One entry VM is disturbed from now on for this long.
    pub fn disturb_entry(&self, entry: SocketAddr, length: Duration) {
        let now = Instant::now();
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        entries.entry(entry).or_default().push((now, now + length));
    }

    /// Whether nothing was disturbed between two moments.
    pub fn was_calm(&self, from: Instant, to: Instant) -> bool {
        let all = self.all.lock().unwrap_or_else(PoisonError::into_inner);
        !touches(&all, from, to)
    }

    /// Whether nothing was disturbed for one entry VM either.
    pub fn was_calm_at(&self, entry: SocketAddr, from: Instant, to: Instant) -> bool {
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let spans = entries.get(&entry);
        self.was_calm(from, to) && spans.is_none_or(|spans| !touches(spans, from, to))
    }
}

fn touches(spans: &[Span], from: Instant, to: Instant) -> bool {
    let mut spans = spans.iter();
    spans.any(|(begin, end)| *begin <= to && from <= *end + SETTLING_TIME)
}
