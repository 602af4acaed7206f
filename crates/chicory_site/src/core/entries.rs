//! Entry VMs that follow this member.

use std::collections::BTreeMap;

use chicory_directory::{
    ControlMessage, DirectoryMark, DirectoryUpdate, EntryMessage, EntryReport, LinkStatus,
    MovesChange, MovingRange, PeerEnvelope,
};
use chicory_ranges::KeyLoad;
use chicory_types::{MonoTime, VmId, ZoneName};

use super::entry_link::EntryLink;
use super::{EntryLinkId, SiteCore, SiteEffect, SiteNote};

impl SiteCore {
    pub(super) fn on_entry_joined(
        &mut self,
        link: EntryLinkId,
        vm: VmId,
        zone: ZoneName,
        known: DirectoryMark,
    ) {
        self.note(SiteNote::EntryJoined {
            vm: vm.clone(),
            known_version: known.version,
        });
        let entry = EntryLink {
            vm,
            zone,
            sent: known,
        };
        self.entries.insert(link, entry);
        self.entries_version = 0;
        self.send_status(vec![link]);
    }

    pub(super) fn on_entry_left(&mut self, link: EntryLinkId) {
        if let Some(entry) = self.entries.remove(&link) {
            self.note(SiteNote::EntryLeft { vm: entry.vm });
        }
    }

    pub(super) fn on_entry_sent(
        &mut self,
        now: MonoTime,
        link: EntryLinkId,
        message: EntryMessage,
    ) {
        let EntryMessage::Report(report) = message;
        if self.desk.is_some() {
            self.on_report(now, report);
        } else if let Some(leader) = self.leader_vm() {
            self.effects.push(SiteEffect::SendToPeer {
                to: leader,
                envelope: PeerEnvelope::Report(report),
            });
        }
        self.send_status(vec![link]);
    }

    pub(super) fn on_report(&mut self, now: MonoTime, report: EntryReport) {
        for count in report.keys {
            let load = self.loads.entry(count.service);
            let load = load.or_insert_with(|| KeyLoad::new(now));
            load.add(count.key, count.request_count);
        }
        for load in &report.servers {
            self.speeds.note(load);
        }
        for poison in report.poison {
            let fingerprint = poison.fingerprint;
            if self.poison.report(now, poison) {
                self.note(SiteNote::RequestPoisoned { fingerprint });
            }
        }
    }

    /// Entry VMs keep requests back whose keys are on their way.
    pub(super) fn tell_moving(&mut self, now: MonoTime) {
        let desk = self.desk.iter();
        let moving = desk.flat_map(|desk| desk.moving(now));
        let moving: Vec<MovingRange> = moving
            .map(|(service, range, fence)| MovingRange {
                service: service.clone(),
                range,
                fence,
            })
            .collect();
        if moving == self.moving {
            return;
        }
        let change = MovesChange::between(&self.moving, &moving);
        self.moving = moving;
        if !self.entries.is_empty() {
            let links = self.entries.keys().copied().collect();
            let message = ControlMessage::Moves(change);
            self.effects
                .push(SiteEffect::SendToEntries { links, message });
        }
    }

    /// Entry VMs learn at once that the leader changed, and turn to the new one.
    pub(super) fn send_statuses(&mut self) {
        let links = self.entries.keys().copied().collect();
        self.send_status(links);
    }

    fn send_status(&mut self, links: Vec<EntryLinkId>) {
        if links.is_empty() {
            return;
        }
        let message = ControlMessage::Status(self.status());
        self.effects
            .push(SiteEffect::SendToEntries { links, message });
    }

    fn status(&self) -> LinkStatus {
        let leader = self.leader_vm();
        let members = self.replica.as_ref().map(|replica| {
            let members = replica.membership().members();
            members.map(|member| member.vm.clone()).collect()
        });
        LinkStatus {
            is_in_contact: leader.is_some(),
            leader,
            version: self.state.version(),
            control_vms: members.unwrap_or_default(),
            entry_count: self
                .desk
                .as_ref()
                .map_or(0, |_| u32::try_from(self.entries.len()).unwrap_or(u32::MAX)),
            poison: self.poison.poison(),
            moving: self.moving.clone(),
        }
    }

    /// Sends entry VMs what changed since they were last told.
    pub(super) fn update_entries(&mut self) {
        let version = self.state.version();
        if version == self.entries_version {
            return;
        }
        self.entries_version = version;
        let mark = self.state.mark();
        let mut by_mark: BTreeMap<DirectoryMark, Vec<EntryLinkId>> = BTreeMap::new();
        for (link, entry) in &mut self.entries {
            if entry.sent.version < version {
                by_mark.entry(entry.sent).or_default().push(*link);
                entry.sent = mark;
            }
        }
        for (known, links) in by_mark {
            let update = self.state.update_since(known, &self.route_history);
            if let Some(update) = update.filter(|update| update.is_full || !is_empty(update)) {
                let message = ControlMessage::Update(update);
                self.effects
                    .push(SiteEffect::SendToEntries { links, message });
            }
        }
    }
}

fn is_empty(update: &DirectoryUpdate) -> bool {
    update.routes.is_none()
        && update.servers.is_empty()
        && update.removed.is_empty()
        && update.ranges.is_empty()
}
