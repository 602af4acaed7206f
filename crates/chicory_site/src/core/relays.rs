//! Tells entry VMs which others relay requests for them.

use std::collections::BTreeMap;

use chicory_directory::{ControlMessage, EntryReport, RelayPeer};
use chicory_types::{MonoTime, VmId};

use super::entry_link::EntryLink;
use super::relay_ability::RelayAbility;
use super::relay_assignment::RelayAssignment;
use super::{EntryLinkId, SiteCore, SiteNote};

impl SiteCore {
    /// Returns the number of entry VMs that have reported that they can't relay requests: they reach
    /// no backend servers, or are about to stop.
    #[must_use]
    pub fn unable_to_relay_count(&self) -> usize {
        let entries = self.entries.values();
        entries
            .filter(|entry| entry.relay_ability == RelayAbility::Unable)
            .count()
    }

    /// Records what a report of an entry VM says about whether it can relay requests. Reports about
    /// limits only say nothing about that.
    pub(super) fn record_relay_ability(
        &mut self,
        now: MonoTime,
        link: EntryLinkId,
        report: &EntryReport,
    ) {
        let Some(entry) = self.entries.get_mut(&link) else {
            return;
        };
        if entry.relay_address.is_none() || report.is_about_limits_only() {
            return;
        }
        let ability = RelayAbility::reported(report.can_relay);
        let former = std::mem::replace(&mut entry.relay_ability, ability);
        if former == ability {
            return;
        }
        self.are_relays_outdated = true;
        let is_expected = former == RelayAbility::Unknown && ability == RelayAbility::Able;
        let vm = entry.vm.clone();
        if !is_expected && let Some(suppressed) = self.relay_notes.take(now) {
            self.push_note(SiteNote::RelayAbilityChanged {
                vm,
                can_relay: report.can_relay,
                suppressed,
            });
        }
    }

    /// Whether a report covers time in which its entry VM may have been cut off from backend
    /// servers. Timeouts and broken connections then say nothing about the servers.
    pub(super) fn is_distorted_by_cut(&self, link: EntryLinkId, report: &EntryReport) -> bool {
        // A report covers the time since the one before.
        self.entries.get(&link).is_some_and(|entry| {
            let was_unable = entry.relay_ability == RelayAbility::Unable;
            entry.relay_address.is_some() && (was_unable || !report.can_relay)
        })
    }

    /// Records that an entry VM that takes part in relaying connected or disconnected.
    pub(super) fn record_relay_link(&mut self, entry: &EntryLink) {
        self.are_relays_outdated |= entry.relay_address.is_some();
    }

    /// Sends each entry VM that takes part in relaying its relay peers, if they have changed.
    pub(super) fn send_relays(&mut self) {
        if std::mem::take(&mut self.are_relays_outdated) {
            self.assign_relays();
        }
        for link in std::mem::take(&mut self.links_due_relays) {
            let Some(entry) = self.entries.get_mut(&link) else {
                continue;
            };
            if !entry.is_ready {
                self.links_due_relays.insert(link);
                continue;
            }
            entry.sent_relays.clone_from(&entry.relays);
            let message = ControlMessage::Relays(entry.relays.clone());
            self.send_to_entries(vec![link], message);
        }
    }

    fn assign_relays(&mut self) {
        let mut relays = self.relays_by_vm();
        for (link, entry) in self.entries.iter_mut().rev() {
            if entry.relay_address.is_none() {
                continue;
            }
            // An entry VM that has opened another link receives its relay peers on the latest one.
            entry.relays = relays.remove(&entry.vm).unwrap_or_default();
            if entry.relays == entry.sent_relays {
                self.links_due_relays.remove(link);
            } else {
                self.links_due_relays.insert(*link);
            }
        }
    }

    /// Returns the relay peers of each entry VM.
    fn relays_by_vm(&self) -> BTreeMap<VmId, Vec<RelayPeer>> {
        // An entry VM may have opened another link before the end of the former one was noticed.
        let entries = self.entries.values();
        let members: BTreeMap<VmId, (RelayPeer, RelayAbility)> = entries
            .filter_map(|entry| {
                Some((entry.vm.clone(), (entry.relay_peer()?, entry.relay_ability)))
            })
            .collect();
        let (able, others): (Vec<_>, Vec<_>) = members
            .into_values()
            .partition(|(_, ability)| *ability == RelayAbility::Able);
        let able: Vec<RelayPeer> = able.into_iter().map(|(peer, _)| peer).collect();
        let others: Vec<RelayPeer> = others.into_iter().map(|(peer, _)| peer).collect();
        // Those that can relay need relay peers once they are cut off themselves. They are assigned
        // apart from the others, whose relay peers have requests to relay now.
        let assigned = [&others, &able].map(|vms| {
            let mut assignment = RelayAssignment::new(&able, vms.len());
            let relays = vms.iter().map(|peer| {
                let relays = assignment.assign(&peer.vm, &peer.zone);
                (peer.vm.clone(), relays)
            });
            relays.collect::<Vec<_>>()
        });
        assigned.into_iter().flatten().collect()
    }
}
