//! How the slots of services without keys are divided among entry VMs.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use chicory_directory::{EntryReport, ServerShare, ServiceShares};
use chicory_ranges::ServerIncarnation;
use chicory_types::{MonoTime, ServiceName, VmId};

use super::EntryLinkId;
use super::entry_demand::EntryDemand;

/// Interval at which shares are computed.
const INTERVAL: Duration = Duration::from_secs(1);
/// Time after the last stated load for which a service counts as one whose servers state it.
const STATED_TIMEOUT: Duration = Duration::from_secs(30);
/// Ratio of the processor shares of the largest and the smallest entry VM from which the slots of
/// all services are divided: entry VMs that differ as much should not do the same.
const MIN_CPU_RATIO: f64 = 1.5;
/// Greatest number of bytes per second that are sent to one entry VM on average.
const BYTES_PER_S: f64 = 1000.0;
/// Size of a share in a message, without the name of its server.
const SHARE_BYTES: usize = 36;
/// Change of a part, in slots, from which it is sent again.
const SLOTS_CHANGE: f64 = 0.25;
/// Relative change of a speed from which it is sent again.
const SPEED_CHANGE: f64 = 0.1;

/// How the slots of services without keys are divided among entry VMs.
#[derive(Debug, Default)]
pub(super) struct SharedSlots {
    entries: BTreeMap<EntryLinkId, EntryDemand>,
    /// When a server of each service last stated its load.
    stated_at: BTreeMap<ServiceName, MonoTime>,
    due_at: MonoTime,
}

impl SharedSlots {
    pub(super) fn add_link(&mut self, link: EntryLinkId, vm: VmId, cpu_share: Option<f64>) {
        // An entry VM that has opened another link is not counted twice.
        self.entries.retain(|_, entry| entry.vm != vm);
        let entry = EntryDemand::new(vm, cpu_share);
        self.entries.insert(link, entry);
    }

    pub(super) fn remove_link(&mut self, link: EntryLinkId) {
        self.entries.remove(&link);
    }

    /// Records the demand that a report shows. `service_of` returns the service of a server.
    pub(super) fn record(
        &mut self,
        link: EntryLinkId,
        report: &EntryReport,
        service_of: impl Fn(&ServerIncarnation) -> Option<ServiceName>,
    ) {
        let Some(entry) = self.entries.get_mut(&link) else {
            return;
        };
        entry.accepts_shares |= report.accepts_server_shares;
        for load in &report.servers {
            if let Some(service) = service_of(&load.incarnation) {
                entry.add(service, load.answered.saturating_add(load.shed));
            }
        }
    }

    /// Records which services have servers that state their load, as any entry VM reports it.
    pub(super) fn record_stated(
        &mut self,
        now: MonoTime,
        report: &EntryReport,
        service_of: impl Fn(&ServerIncarnation) -> Option<ServiceName>,
    ) {
        let stating = report.servers.iter().filter(|load| load.stated.is_some());
        for load in stating {
            if let Some(service) = service_of(&load.incarnation) {
                self.stated_at.insert(service, now);
            }
        }
    }

    /// Whether shares have to be computed now. Averages of demand are updated if so.
    pub(super) fn take_due(&mut self, now: MonoTime) -> bool {
        if now < self.due_at || self.entries.is_empty() {
            return false;
        }
        self.due_at = now + INTERVAL;
        for entry in self.entries.values_mut() {
            entry.update(now);
        }
        true
    }

    /// Returns the entry VMs that take part, in the order of their links.
    pub(super) fn members(&self) -> impl Iterator<Item = (EntryLinkId, &EntryDemand)> {
        let members = self.entries.iter();
        members
            .filter(|(_, entry)| entry.accepts_shares)
            .map(|(link, entry)| (*link, entry))
    }

    /// Returns which of these services have their slots divided.
    pub(super) fn divided(
        &self,
        now: MonoTime,
        services: BTreeSet<ServiceName>,
    ) -> BTreeSet<ServiceName> {
        if self.have_entries_unequal_cpu_shares() {
            return services;
        }
        let services = services.into_iter().filter(|service| {
            let stated_at = self.stated_at.get(service);
            stated_at.is_some_and(|at| now < *at + STATED_TIMEOUT)
        });
        services.collect()
    }

    /// Whether the load of a service's servers is managed: they have stated their load to this leader,
    /// or entry VMs are unequal.
    pub(super) fn is_managed(&self, service: &str) -> bool {
        self.stated_at.contains_key(service) || self.have_entries_unequal_cpu_shares()
    }

    fn have_entries_unequal_cpu_shares(&self) -> bool {
        let cpu_shares = self.entries.values().filter_map(|entry| entry.cpu_share);
        let bounds = cpu_shares.fold(None, |bounds: Option<(f64, f64)>, share| {
            let (least, most) = bounds.unwrap_or((share, share));
            Some((least.min(share), most.max(share)))
        });
        bounds.is_some_and(|(least, most)| most >= least * MIN_CPU_RATIO)
    }

    /// Returns whether these shares have to be sent to an entry VM now, and records them as sent if
    /// so. The larger a message is, the longer the next one is put off.
    pub(super) fn take_changed(
        &mut self,
        now: MonoTime,
        link: EntryLinkId,
        shares: &[ServiceShares],
    ) -> bool {
        let Some(entry) = self.entries.get_mut(&link) else {
            return false;
        };
        let is_changed = is_changed(&entry.sent, shares);
        if !is_changed || now < entry.send_at {
            return false;
        }
        #[expect(clippy::cast_precision_loss, reason = "sizes are far below 2^52")]
        let budget_s = size_bytes(shares) as f64 / BYTES_PER_S;
        entry.send_at = now + INTERVAL.max(Duration::from_secs_f64(budget_s));
        entry.sent = shares.to_vec();
        true
    }

    /// Forgets what was reported, but not who the entry VMs are.
    pub(super) fn clear(&mut self) {
        self.stated_at.clear();
        for entry in self.entries.values_mut() {
            entry.forget();
        }
    }
}

fn size_bytes(services: &[ServiceShares]) -> usize {
    let sizes = services.iter().map(|service| {
        let shares = service.shares.iter();
        let shares = shares.map(|share| share.incarnation.server.len() + SHARE_BYTES);
        service.service.len() + shares.sum::<usize>()
    });
    sizes.sum()
}

fn is_changed(sent: &[ServiceShares], shares: &[ServiceShares]) -> bool {
    let is_same_service = |(sent, shares): (&ServiceShares, &ServiceShares)| {
        let pairs = sent.shares.iter().zip(&shares.shares);
        sent.service == shares.service
            && sent.shares.len() == shares.shares.len()
            && pairs.clone().all(|(sent, share)| is_alike(sent, share))
    };
    sent.len() != shares.len() || !sent.iter().zip(shares).all(is_same_service)
}

fn is_alike(sent: &ServerShare, share: &ServerShare) -> bool {
    sent.incarnation == share.incarnation
        && (sent.slots - share.slots).abs() < SLOTS_CHANGE
        && (sent.speed - share.speed).abs() < SPEED_CHANGE * sent.speed
}
