//! Admission to servers whose keys are asked for more than they can answer.

use std::collections::BTreeMap;
use std::time::Duration;

use chicory_directory::{AdmittedFraction, ControlMessage, EntryReport};
use chicory_policy::{ObservedAnswers, OwnerAdmission, OwnerOverload, OwnerSlots};
use chicory_ranges::ServerIncarnation;
use chicory_types::{MonoTime, ServiceName};

use super::note_budget::NoteBudget;
use super::{EntryLinkId, SiteCore, SiteNote};

/// Number of a set of fractions; each one that is sent increases it by one.
pub(crate) type AdmissionVersion = u64;

/// Interval at which entry VMs send their periodic reports, and at which fractions are decided.
const REPORT_INTERVAL: Duration = Duration::from_millis(350);
/// Greatest number of owners in one message, the most overloaded ones: some 2 KB each 350 ms.
const MAX_OWNERS: usize = 64;

/// The leader's state of admission to overloaded owners. It is soft state that a new leader builds
/// up from the next reports.
#[derive(Debug)]
pub(super) struct OwnerAdmissions {
    policy: OwnerAdmission<ServerIncarnation, EntryLinkId>,
    overloads: BTreeMap<ServerIncarnation, OwnerOverload>,
    version: AdmissionVersion,
    decide_at: MonoTime,
    notes: NoteBudget,
}

impl Default for OwnerAdmissions {
    fn default() -> Self {
        Self {
            policy: OwnerAdmission::new(REPORT_INTERVAL),
            overloads: BTreeMap::new(),
            version: 0,
            decide_at: MonoTime::ZERO,
            notes: NoteBudget::default(),
        }
    }
}

impl OwnerAdmissions {
    /// Forgets all owners; versions still increase, so that links notice later changes.
    pub(super) fn clear(&mut self) {
        let version = self.version + u64::from(!self.overloads.is_empty());
        *self = Self {
            version,
            ..Self::default()
        };
    }

    fn message(&self) -> Vec<AdmittedFraction> {
        let mut owners: Vec<AdmittedFraction> = self
            .overloads
            .iter()
            .map(|(incarnation, overload)| AdmittedFraction {
                incarnation: incarnation.clone(),
                fraction: overload.fraction,
            })
            .collect();
        owners.sort_by(|one, other| one.fraction.total_cmp(&other.fraction));
        owners.truncate(MAX_OWNERS);
        owners
    }
}

impl SiteCore {
    /// Returns the number of servers whose keys are asked for more than they can answer.
    #[must_use]
    pub fn overloaded_owner_count(&self) -> usize {
        self.admissions.overloads.len()
    }

    /// Records demand for and answers of owners in a periodic report. `link` is the one that it was
    /// received on; `None` if another control VM forwarded it.
    pub(super) fn record_owner_loads(
        &mut self,
        now: MonoTime,
        link: Option<EntryLinkId>,
        report: &EntryReport,
    ) {
        if let Some(link) = link {
            self.admissions.policy.record_report(now, &link);
        }
        for count in &report.keys {
            if !self.is_load_managed(&count.service) {
                continue;
            }
            let registry = self.state.registry();
            if let Some(owned) = registry.owner(&count.service, count.key) {
                let policy = &mut self.admissions.policy;
                policy.record_requests(now, &owned.owner, count.request_count);
            }
        }
        for load in &report.servers {
            let record = self.state.server(&load.incarnation.server);
            if !record.is_some_and(|record| self.is_load_managed(&record.service)) {
                continue;
            }
            let answers = ObservedAnswers {
                in_flight: load.in_flight,
                answered: load.answered,
                answer_time: load.service_time,
            };
            let policy = &mut self.admissions.policy;
            policy.record_answers(now, &load.incarnation, answers);
        }
    }

    /// Decides which owners are overloaded, and tells entry VMs. Without overloaded owners, and
    /// with none that just were, nothing is sent.
    pub(super) fn send_owner_admission(&mut self, now: MonoTime) {
        if !self.is_leading(now) {
            return;
        }
        if now >= self.admissions.decide_at {
            self.admissions.decide_at = now + REPORT_INTERVAL;
            self.decide_owner_admission(now);
        }
        let version = self.admissions.version;
        let mut links = Vec::new();
        for (link, entry) in &mut self.entries {
            let Some(sent) = entry.sent_admission.filter(|_| entry.is_ready) else {
                continue;
            };
            entry.sent_admission = Some(version);
            let had_any = sent > 0;
            if sent != version && (had_any || !self.admissions.overloads.is_empty()) {
                links.push(*link);
            }
        }
        if !links.is_empty() {
            let message = ControlMessage::OwnerAdmission(self.admissions.message());
            self.send_to_entries(links, message);
        }
    }

    fn decide_owner_admission(&mut self, now: MonoTime) {
        let targets = self.latency_targets();
        let state = &self.state;
        let slots = |incarnation: &ServerIncarnation| {
            let record = state.server(&incarnation.server)?;
            let is_current = record.incarnation == *incarnation;
            Some(OwnerSlots {
                slots: record.slots,
                latency_target: *targets.get(&record.service).filter(|_| is_current)?,
            })
        };
        let policy = &mut self.admissions.policy;
        policy.retain(|incarnation| slots(incarnation).is_some());
        let overloads = policy.update(now, slots);
        let former = std::mem::replace(&mut self.admissions.overloads, overloads);
        if former.is_empty() && self.admissions.overloads.is_empty() {
            return;
        }
        self.admissions.version += 1;
        self.note_owner_admission(now, &former);
    }

    /// Returns the shortest latency target of the routes to each service whose load is managed.
    /// Services without a target have no admission.
    fn latency_targets(&self) -> BTreeMap<ServiceName, Duration> {
        let mut targets: BTreeMap<ServiceName, Duration> = BTreeMap::new();
        for route in &self.state.routes().routes {
            let Some(target) = route.latency_target else {
                continue;
            };
            for service in route.target.services() {
                if self.is_load_managed(service) {
                    let shortest = targets.entry(service.clone()).or_insert(target);
                    *shortest = target.min(*shortest);
                }
            }
        }
        targets
    }

    fn note_owner_admission(
        &mut self,
        now: MonoTime,
        former: &BTreeMap<ServerIncarnation, OwnerOverload>,
    ) {
        let overloads = &self.admissions.overloads;
        let begun = overloads
            .iter()
            .filter(|(key, _)| !former.contains_key(key));
        let begun = begun.map(|(key, overload)| (key.clone(), Some(*overload)));
        let ended = former.keys().filter(|key| !overloads.contains_key(key));
        let ended = ended.map(|key| (key.clone(), None));
        let changes: Vec<_> = begun.chain(ended).collect();
        for (server_incarnation, overload) in changes {
            if let Some(suppressed) = self.admissions.notes.take(now) {
                self.push_note(SiteNote::OwnerAdmissionChanged {
                    server_incarnation,
                    overload,
                    suppressed,
                });
            }
        }
    }
}
