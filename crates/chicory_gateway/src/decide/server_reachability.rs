//! Decides whether this entry VM's own path to backend servers is cut.

use std::collections::BTreeMap;
use std::time::Duration;

use chicory_directory::{ServerRecord, ServerState};
use chicory_ranges::ServerIncarnation;
use chicory_types::MonoTime;
use rand::RngExt;
use rand::rngs::StdRng;

use super::answer_silence::AnswerSilence;
use super::group_reachability::GroupReachability;
use super::path_failure::PathFailure;
use super::server_group::ServerGroup;
use crate::Directory;

/// Shortest time between two probes, to all servers together.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two probes of servers that are considered cut off, as long as none was reached.
const CUT_PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// Time after which a probe without a result is forgotten.
const PROBE_RETENTION: Duration = Duration::from_secs(2);
/// Time after an answer for which timeouts say nothing about the path: it carries answers, so what is
/// slow is the link or the server. A cut that hangs silences open connections as well.
const ANSWERED_TIME: Duration = Duration::from_millis(1200);
/// Maximum number of changes that are kept until they are taken.
const MAX_CHANGES: usize = 16;

/// That this entry VM's own path to a group of servers was found to be cut, or to be usable again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReachabilityChange {
    /// The servers.
    pub group: ServerGroup,
    /// Whether the path to them is cut.
    pub is_cut: bool,
}

/// Decides whether this entry VM's own path to all servers, to those of an availability zone or to
/// those of a service is cut.
///
/// The evidence is that new connections to different servers can't be opened, one of them a probe,
/// and that none was opened in between. Answers don't count: they may have been received on
/// connections that were open before. While there is a reason to suspect a cut, servers are probed
/// by opening a connection, so that the decision doesn't depend on the number of requests.
#[derive(Debug, Default)]
pub(super) struct ServerReachability {
    groups: BTreeMap<ServerGroup, GroupReachability>,
    silence: AnswerSilence,
    /// When a server of each group answered last, on any connection of this entry VM.
    answered_at: BTreeMap<ServerGroup, MonoTime>,
    /// Probes in progress, and when they began.
    probes: BTreeMap<ServerIncarnation, MonoTime>,
    next_probe_at: MonoTime,
    changes: Vec<ReachabilityChange>,
}

impl ServerReachability {
    /// Returns what the attempts at servers show.
    pub(super) fn silence(&mut self) -> &mut AnswerSilence {
        &mut self.silence
    }

    /// Whether the path to a server is cut.
    pub(super) fn is_cut(&self, record: &ServerRecord) -> bool {
        self.any_group(record, |group| group.is_cut)
    }

    /// Whether the path to all servers is cut, or may be.
    pub(super) fn is_all_suspected(&self, now: MonoTime) -> bool {
        let all = self.groups.get(&ServerGroup::All);
        all.is_some_and(|group| group.is_suspected(now))
    }

    /// Whether the path to a server may be cut, but that isn't certain yet.
    pub(super) fn is_suspected(&self, now: MonoTime, record: &ServerRecord) -> bool {
        self.any_group(record, |group| group.is_suspected(now))
    }

    fn any_group(
        &self,
        record: &ServerRecord,
        condition: impl Fn(&GroupReachability) -> bool,
    ) -> bool {
        // Almost always there are none, and each request asks.
        !self.groups.is_empty()
            && ServerGroup::all_of(record)
                .iter()
                .any(|group| self.groups.get(group).is_some_and(&condition))
    }

    /// Records that a server answered, perhaps on a connection that had been open before.
    pub(super) fn record_answer(&mut self, now: MonoTime, record: &ServerRecord) {
        self.silence.record_answer(now);
        for group in ServerGroup::all_of(record) {
            if let Some(state) = self.groups.get_mut(&group) {
                state.record_answer(now);
            }
            self.answered_at.insert(group, now);
        }
    }

    /// Whether servers that are cut off together with this one still answer, on connections that
    /// are open.
    pub(super) fn is_answering(&self, now: MonoTime, record: &ServerRecord) -> bool {
        !self.any_group(record, |group| group.is_cut && !group.is_answering(now))
    }

    /// Whether the path to all servers is cut, and none answers on a connection that is open.
    pub(super) fn is_all_silent(&self, now: MonoTime) -> bool {
        let all = self.groups.get(&ServerGroup::All);
        all.is_some_and(|group| group.is_cut && !group.is_answering(now))
    }

    /// Whether an unanswered connection to a server says something about the path: no server of its
    /// availability zone has answered lately.
    pub(super) fn is_zone_silent(&self, now: MonoTime, record: &ServerRecord) -> bool {
        !self.has_answered(now, &ServerGroup::Zone(record.zone.clone()))
    }

    fn has_answered(&self, now: MonoTime, group: &ServerGroup) -> bool {
        let answered_at = self.answered_at.get(group);
        answered_at.is_some_and(|at| now < *at + ANSWERED_TIME)
    }

    /// Records that no connection to a server could be opened.
    pub(super) fn record_failure(
        &mut self,
        now: MonoTime,
        record: &ServerRecord,
        directory: &Directory,
        failure: PathFailure,
    ) {
        for group in ServerGroup::all_of(record) {
            let is_slow = !failure.is_refused && self.has_answered(now, &group);
            if is_slow || !group.is_large_enough(ready_servers(directory)) {
                continue;
            }
            let state = self.groups.entry(group.clone()).or_default();
            state.record_failure(now, &record.incarnation, failure.is_probe);
            if state.is_cut {
                // Smaller groups are judged once the larger one is no longer cut off.
                return;
            }
            let failed: Vec<&ServerRecord> = state
                .failed()
                .filter_map(|incarnation| directory.server(incarnation))
                .collect();
            if state.has_failed_probe && group.is_shown_cut(&failed, ready_servers(directory)) {
                state.set_cut();
                self.record_change(&group, true);
                if group == ServerGroup::All {
                    self.groups.retain(|group, _| *group == ServerGroup::All);
                    return;
                }
            }
        }
    }

    /// Records that a connection to a server was opened. Returns the groups that are no longer
    /// considered cut off for that.
    pub(super) fn record_open(
        &mut self,
        now: MonoTime,
        record: &ServerRecord,
        directory: &Directory,
    ) -> Vec<ServerGroup> {
        self.silence.record_open(now);
        let mut restored = Vec::new();
        for group in ServerGroup::all_of(record) {
            let Some(state) = self.groups.get_mut(&group) else {
                continue;
            };
            let members = ready_servers(directory).filter(|record| group.contains(record));
            if state.record_open(now, &record.incarnation, members.count()) {
                self.record_change(&group, false);
                restored.push(group);
            }
        }
        self.groups.retain(|_, state| !state.is_calm(now));
        restored
    }

    /// Returns a server to probe now, if there is one.
    pub(super) fn take_probe(
        &mut self,
        now: MonoTime,
        directory: &Directory,
        rng: &mut StdRng,
    ) -> Option<ServerRecord> {
        if now < self.next_probe_at {
            return None;
        }
        self.probes
            .retain(|_, began_at| now < *began_at + PROBE_RETENTION);
        let group = self.group_to_probe(now)?;
        let record = self.server_to_probe(&group, directory, rng)?;
        let is_cut = self.groups.get(&group).is_some_and(|state| state.is_cut);
        let is_recovering = self.groups.values().any(GroupReachability::is_recovering);
        let interval = if is_cut && !is_recovering {
            CUT_PROBE_INTERVAL
        } else {
            PROBE_INTERVAL
        };
        self.next_probe_at = now + interval;
        self.probes.insert(record.incarnation.clone(), now);
        for group in ServerGroup::all_of(&record) {
            if let Some(state) = self.groups.get_mut(&group) {
                state.probed_at = now;
            }
        }
        Some(record)
    }

    /// Returns when [`take_probe`](Self::take_probe) may next return a server if nothing happens
    /// until then; `None` if nothing hints at a cut.
    pub(super) fn next_probe_at(&self, now: MonoTime) -> Option<MonoTime> {
        let needs_probe = self.groups.values().any(|state| state.needs_probe(now));
        let due_at = if needs_probe {
            Some(now)
        } else {
            self.silence.probe_at()
        };
        due_at.map(|at| at.max(self.next_probe_at))
    }

    /// Records that a probe has ended. Returns whether it was in progress.
    pub(super) fn record_probe_end(&mut self, incarnation: &ServerIncarnation) -> bool {
        self.probes.remove(incarnation).is_some()
    }

    /// Returns the group that a probe has to tell about and that was not probed for longest.
    fn group_to_probe(&self, now: MonoTime) -> Option<ServerGroup> {
        let groups = self.groups.iter();
        let suspected = groups
            .filter(|(_, state)| state.needs_probe(now))
            .min_by_key(|(_, state)| state.probed_at);
        match suspected {
            Some((group, _)) => Some(group.clone()),
            None => self.silence.needs_probe(now).then_some(ServerGroup::All),
        }
    }

    /// Returns the server of a group whose probe tells most: one that has neither failed nor been
    /// reached, of a zone and a service in which none has.
    fn server_to_probe(
        &self,
        group: &ServerGroup,
        directory: &Directory,
        rng: &mut StdRng,
    ) -> Option<ServerRecord> {
        let state = self.groups.get(group);
        let known: Vec<&ServerRecord> = ready_servers(directory)
            .filter(|record| {
                let incarnation = &record.incarnation;
                let is_known = |state: &GroupReachability| {
                    if state.is_cut {
                        state.is_reached(incarnation)
                    } else {
                        state.failed().any(|failed| failed == incarnation)
                    }
                };
                state.is_some_and(is_known) || self.probes.contains_key(incarnation)
            })
            .collect();
        let candidates = ready_servers(directory).filter(|record| {
            group.contains(record) && !self.probes.contains_key(&record.incarnation)
        });
        let best = candidates.min_by_key(|record| {
            let has_zone = known.iter().any(|known| known.zone == record.zone);
            let has_service = known.iter().any(|known| known.service == record.service);
            let is_known = known
                .iter()
                .any(|known| known.incarnation == record.incarnation);
            let order: u32 = rng.random();
            (is_known, u8::from(has_zone) + u8::from(has_service), order)
        });
        best.cloned()
    }

    fn record_change(&mut self, group: &ServerGroup, is_cut: bool) {
        if self.changes.len() < MAX_CHANGES {
            let group = group.clone();
            self.changes.push(ReachabilityChange { group, is_cut });
        }
    }

    /// Returns the changes since the previous call.
    pub(super) fn take_changes(&mut self) -> Vec<ReachabilityChange> {
        std::mem::take(&mut self.changes)
    }

    pub(super) fn retain(&mut self, directory: &Directory) {
        for state in self.groups.values_mut() {
            state.retain(|incarnation| directory.server(incarnation).is_some());
        }
        let groups = &mut self.groups;
        // Servers of evacuated zones are not probed, so a group of such servers could never be found
        // to be reachable again.
        let is_known = |group: &ServerGroup| {
            let mut servers = directory.servers();
            servers.any(|record| {
                group.contains(record) && !directory.evacuations().contains(&record.zone)
            })
        };
        groups.retain(|group, _| is_known(group));
        self.answered_at.retain(|group, _| is_known(group));
    }
}

fn ready_servers(directory: &Directory) -> impl Iterator<Item = &ServerRecord> {
    let servers = directory.servers();
    servers.filter(|record| {
        record.state == ServerState::Ready && !directory.evacuations().contains(&record.zone)
    })
}
