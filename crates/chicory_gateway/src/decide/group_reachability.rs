//! Tracks whether new connections to a group of backend servers can be opened.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use chicory_ranges::ServerIncarnation;
use chicory_types::MonoTime;

/// Time for which a failed connection counts.
const EVIDENCE_TIME: Duration = Duration::from_secs(3);
/// Time after its latest failure for which a server that failed while others of its group could be
/// reached gives no reason for probes.
const ISOLATION_TIME: Duration = Duration::from_secs(2);
/// Time after an answer for which connections that were open before a cut are taken to be in use.
const ANSWER_TIME: Duration = Duration::from_millis(400);
/// Servers that have to be reached until the group is no longer considered cut off.
const REACHED_THRESHOLD: usize = 2;
/// Failed servers from which on the group is suspected to be cut off.
const SUSPICION_THRESHOLD: usize = 2;

/// Whether new connections to a group of backend servers can be opened.
#[derive(Clone, Debug, Default)]
pub(super) struct GroupReachability {
    pub(super) is_cut: bool,
    /// Servers to which no connection could be opened since the last one that could, and when.
    failed: BTreeMap<ServerIncarnation, MonoTime>,
    /// Whether one of the failures is that of a probe.
    pub(super) has_failed_probe: bool,
    /// Servers that failed while others of the group could be reached, and until when that is
    /// assumed to be their own fault.
    isolated: BTreeMap<ServerIncarnation, MonoTime>,
    /// Servers that were reached while the group is considered cut off.
    reached: BTreeSet<ServerIncarnation>,
    /// When a server of the group answered last, on a connection of this entry VM.
    answered_at: Option<MonoTime>,
    /// When a server of the group was probed last.
    pub(super) probed_at: MonoTime,
}

impl GroupReachability {
    pub(super) fn record_failure(
        &mut self,
        now: MonoTime,
        incarnation: &ServerIncarnation,
        is_probe: bool,
    ) {
        self.failed
            .retain(|_, failed_at| now < *failed_at + EVIDENCE_TIME);
        self.isolated.retain(|_, until| now < *until);
        if let Some(until) = self.isolated.get_mut(incarnation) {
            *until = now + ISOLATION_TIME;
        }
        self.reached.remove(incarnation);
        self.failed.insert(incarnation.clone(), now);
        self.has_failed_probe |= is_probe;
    }

    /// Records that a connection to a server could be opened. Returns whether the group is no longer
    /// considered cut off for that.
    pub(super) fn record_open(
        &mut self,
        now: MonoTime,
        incarnation: &ServerIncarnation,
        member_count: usize,
    ) -> bool {
        let failed = std::mem::take(&mut self.failed);
        self.has_failed_probe = false;
        if self.is_cut {
            self.reached.insert(incarnation.clone());
            self.is_cut = self.reached.len() < REACHED_THRESHOLD.min(member_count);
            return !self.is_cut;
        }
        self.isolated.remove(incarnation);
        let others = failed
            .into_keys()
            .filter(|failed| failed != incarnation)
            .map(|failed| (failed, now + ISOLATION_TIME));
        self.isolated.extend(others);
        false
    }

    pub(super) fn record_answer(&mut self, now: MonoTime) {
        self.answered_at = Some(now);
    }

    /// Whether servers of the group still answer, on connections that are open.
    pub(super) fn is_answering(&self, now: MonoTime) -> bool {
        self.answered_at.is_some_and(|at| now < at + ANSWER_TIME)
    }

    pub(super) fn set_cut(&mut self) {
        self.is_cut = true;
        self.reached.clear();
    }

    /// Returns the servers that failed.
    pub(super) fn failed(&self) -> impl Iterator<Item = &ServerIncarnation> {
        self.failed.keys()
    }

    /// Whether a server of the group was reached after the group was considered cut off.
    pub(super) fn is_recovering(&self) -> bool {
        self.is_cut && !self.reached.is_empty()
    }

    /// Whether a server was reached since the group was considered cut off.
    pub(super) fn is_reached(&self, incarnation: &ServerIncarnation) -> bool {
        self.reached.contains(incarnation)
    }

    /// Whether several servers of the group have failed, and none could be reached since.
    pub(super) fn is_suspected(&self, now: MonoTime) -> bool {
        self.is_cut || self.unexplained(now) >= SUSPICION_THRESHOLD
    }

    /// Whether probes have to show if the group is cut off.
    pub(super) fn needs_probe(&self, now: MonoTime) -> bool {
        self.is_cut || self.unexplained(now) > 0
    }

    /// Whether nothing is known that has to be kept.
    pub(super) fn is_calm(&self, now: MonoTime) -> bool {
        let is_isolating = self.isolated.values().any(|until| now < *until);
        !self.needs_probe(now) && !is_isolating
    }

    /// Returns the number of failed servers that may have failed with their group.
    fn unexplained(&self, now: MonoTime) -> usize {
        let failed = self.failed.iter().filter(|(server, failed_at)| {
            let isolated_until = self.isolated.get(*server);
            now < **failed_at + EVIDENCE_TIME && isolated_until.is_none_or(|until| now >= *until)
        });
        failed.count()
    }

    pub(super) fn retain(&mut self, is_known: impl Fn(&ServerIncarnation) -> bool) {
        self.failed.retain(|incarnation, _| is_known(incarnation));
        self.isolated.retain(|incarnation, _| is_known(incarnation));
        self.reached.retain(is_known);
    }
}
