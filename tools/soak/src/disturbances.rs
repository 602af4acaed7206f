//! Records when faults disturbed the deployment.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Time after a disturbance during which guarantees with a time bound are not checked. It is part
/// of the operators' requirements.
const SETTLING_TIME: Duration = Duration::from_secs(3);

type Span = (Instant, Instant);

/// A time in which VMs are cut off from all backend servers.
#[derive(Clone, Debug, PartialEq)]
pub struct Cut {
    /// Entry VMs among them.
    pub(crate) entries: BTreeSet<SocketAddr>,
    pub(crate) begin: Instant,
    pub(crate) end: Instant,
}

/// The times in which faults disturbed the deployment. Guarantees with a time bound hold only
/// outside them.
#[derive(Debug, Default)]
pub struct Disturbances {
    all: Mutex<Vec<Span>>,
    entries: Mutex<BTreeMap<SocketAddr, Vec<Span>>>,
    cuts: Mutex<Vec<Cut>>,
}

impl Disturbances {
    /// Records a disturbance of the deployment from now on for `length`.
    pub fn record(&self, length: Duration) {
        let now = Instant::now();
        self.lock_all().push((now, now + length));
    }

    /// Records a disturbance of a single entry VM from now on for `length`.
    pub fn record_for_entry(&self, entry: SocketAddr, length: Duration) {
        let now = Instant::now();
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        entries.entry(entry).or_default().push((now, now + length));
    }

    /// Records that entry VMs are cut off from all backend servers from now on for `length`. It
    /// disturbs the deployment and these entry VMs.
    pub fn record_cut(&self, entries: BTreeSet<SocketAddr>, length: Duration) -> Cut {
        let begin = Instant::now();
        let end = begin + length;
        let cut = Cut {
            entries,
            begin,
            end,
        };
        self.lock_cuts().push(cut.clone());
        cut
    }

    fn lock_cuts(&self) -> MutexGuard<'_, Vec<Cut>> {
        self.cuts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn has_cut_between(
        &self,
        from: Instant,
        to: Instant,
        is_counted: impl Fn(&Cut) -> bool,
    ) -> bool {
        let cuts = self.lock_cuts();
        let mut cuts = cuts.iter().filter(|cut| is_counted(cut));
        cuts.any(|cut| touches(&[(cut.begin, cut.end)], from, to))
    }

    /// Returns whether nothing but this cut disturbed the deployment and this entry VM from `from`
    /// to `to`.
    pub(crate) fn only_cut_between(
        &self,
        cut: &Cut,
        entry: SocketAddr,
        from: Instant,
        to: Instant,
    ) -> bool {
        !self.has_cut_between(from, to, |other| other != cut)
            && !touches(&self.lock_all(), from, to)
            && !self.is_entry_disturbed(entry, from, to)
    }

    fn lock_all(&self) -> MutexGuard<'_, Vec<Span>> {
        self.all.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_entry_disturbed(&self, entry: SocketAddr, from: Instant, to: Instant) -> bool {
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let spans = entries.get(&entry);
        spans.is_some_and(|spans| touches(spans, from, to))
    }

    /// Returns whether no disturbance of the deployment, nor the settling time after one, overlaps
    /// the time from `from` to `to`.
    pub fn none_between(&self, from: Instant, to: Instant) -> bool {
        !touches(&self.lock_all(), from, to) && !self.has_cut_between(from, to, |_| true)
    }

    /// Returns whether no VMs were cut off from backend servers shortly before a moment.
    pub fn no_cut_until(&self, moment: Instant) -> bool {
        !self.has_cut_between(moment, moment, |_| true)
    }

    /// Returns whether this entry VM was not disturbed itself from `from` to `to`, whatever happened
    /// to others.
    pub fn none_of_entry_between(&self, entry: SocketAddr, from: Instant, to: Instant) -> bool {
        !self.is_entry_disturbed(entry, from, to)
            && !self.has_cut_between(from, to, |cut| cut.entries.contains(&entry))
    }

    /// Returns whether neither the deployment nor this entry VM was disturbed from `from` to `to`.
    pub fn none_for_entry_between(&self, entry: SocketAddr, from: Instant, to: Instant) -> bool {
        self.none_between(from, to) && !self.is_entry_disturbed(entry, from, to)
    }
}

fn touches(spans: &[Span], from: Instant, to: Instant) -> bool {
    let mut spans = spans.iter();
    spans.any(|(begin, end)| *begin <= to && from <= *end + SETTLING_TIME)
}
