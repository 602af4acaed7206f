//! Entry VMs that follow this member.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use chicory_consensus::Replica;
use chicory_directory::{
    ControlMessage, DirectoryPosition, DirectoryUpdate, EntryMessage, EntryReport, LinkStatus,
    MovesVersion, MovingRange, PeerEnvelope,
};
use chicory_policy::LimitChange;
use chicory_ranges::KeyLoad;
use chicory_types::{MonoTime, VmId, ZoneName};

use super::cold_servers::cold_permit_limit;
use super::entry_link::EntryLink;
use super::server_limits::LimitsVersion;
use super::{EntryLinkId, SiteCore, SiteEffect, SiteNote};

/// Number of reports after which an entry VM that was redirected to another leader is assumed to
/// stay. It sends the first one with its handshake and the second one after the report interval.
const REPORTS_BEFORE_UPDATE: u32 = 2;

/// Greatest number of requests for permits of one entry VM that wait for an answer. An entry VM
/// whose requests get no answer soon uses a share of its own.
const MAX_PERMIT_REQUESTS: usize = 1024;

impl SiteCore {
    pub(super) fn on_entry_connected(
        &mut self,
        link: EntryLinkId,
        vm: VmId,
        zone: ZoneName,
        known: DirectoryPosition,
        relay_address: Option<SocketAddr>,
    ) {
        self.push_note(SiteNote::EntryConnected {
            vm: vm.clone(),
            known_version: known.version,
        });
        let leader = self.leader_vm();
        let is_redirected = leader.is_some_and(|leader| leader != self.config.vm);
        let reports = if is_redirected {
            REPORTS_BEFORE_UPDATE
        } else {
            0
        };
        let entry = EntryLink::new(vm, zone, relay_address, known, reports);
        self.record_relay_link(&entry);
        self.entries.insert(link, entry);
    }

    pub(super) fn on_entry_link_ready(&mut self, link: EntryLinkId) {
        if let Some(entry) = self.entries.get_mut(&link) {
            entry.is_ready = true;
        }
    }

    pub(super) fn on_entry_disconnected(&mut self, link: EntryLinkId) {
        if let Some(entry) = self.entries.remove(&link) {
            self.record_relay_link(&entry);
            self.shared_slots.remove_link(link);
            self.push_note(SiteNote::EntryDisconnected { vm: entry.vm });
        }
    }

    pub(super) fn on_entry_message(
        &mut self,
        now: MonoTime,
        link: EntryLinkId,
        message: EntryMessage,
    ) {
        let EntryMessage::Report(mut report) = message;
        let is_distorted = self.is_distorted_by_cut(link, &report);
        self.record_relay_ability(now, link, &report);
        self.record_demand(link, &report);
        let permit_requests = std::mem::take(&mut report.permits);
        let accepts_server_limits = report.accepts_server_limits;
        let accepts_owner_admission = report.accepts_owner_admission;
        let is_periodic = permit_requests.is_empty() && !report.is_about_limits_only();
        if is_distorted {
            report.servers.clear();
            report.poison.clear();
        }
        if self.mover.is_some() {
            self.on_report(now, is_periodic.then_some(link), report);
        } else if let Some(leader) = self.leader_vm() {
            self.effects.push(SiteEffect::SendToPeer {
                to: leader,
                envelope: PeerEnvelope::Report(report),
            });
        }
        if let Some(entry) = self.entries.get_mut(&link) {
            entry.accepts_server_limits |= accepts_server_limits;
            if accepts_owner_admission {
                entry.sent_admission.get_or_insert(0);
            }
            entry.permit_requests.extend(permit_requests);
            entry.permit_requests.truncate(MAX_PERMIT_REQUESTS);
            // Other reports come as often as requests of callers, and need no status.
            entry.is_status_due |= is_periodic;
            entry.reports_before_update = entry.reports_before_update.saturating_sub(1);
        }
    }

    /// Handles a report. `link` is the one that a periodic report was received on; `None` for other
    /// reports, and for those that another control VM forwarded.
    pub(super) fn on_report(
        &mut self,
        now: MonoTime,
        link: Option<EntryLinkId>,
        report: EntryReport,
    ) {
        self.record_owner_loads(now, link, &report);
        self.record_stated_loads(now, &report);
        for count in report.keys {
            let load = self.loads.entry(count.service);
            let load = load.or_insert_with(|| KeyLoad::new(now));
            load.add(count.key, count.request_count);
        }
        for load in &report.servers {
            self.speeds.record(load);
        }
        for rest in &report.rests {
            self.rests.record(now, &rest.incarnation, rest.left);
        }
        for server_incarnation in report.leaving {
            if self.leaving.insert(server_incarnation.clone()) {
                self.push_note(SiteNote::ServerSaysItLeaves { server_incarnation });
            }
        }
        for limit in &report.limits {
            let change = self.limits.record(now, limit);
            if change != LimitChange::Unchanged {
                self.push_note(SiteNote::ServerLimitChanged {
                    server_incarnation: limit.incarnation.clone(),
                    rate_per_s: self.limits.rate_per_s(&limit.incarnation),
                });
            }
        }
        for poison in report.poison {
            let fingerprint = poison.fingerprint;
            if self.poison.record_crash(now, poison) {
                self.push_note(SiteNote::RequestPoisoned { fingerprint });
            }
        }
    }

    /// Records the ranges that are in transfer, not granted yet or whose grant has expired. Entry
    /// VMs hold back requests for their keys.
    pub(super) fn record_moving_ranges(&mut self, now: MonoTime) {
        let mover = self.mover.iter();
        let moving = mover.flat_map(|mover| mover.moving(now));
        let moving = moving.map(|(service, range, fence)| MovingRange {
            service: service.clone(),
            range,
            fence,
        });
        self.moves.record(moving.collect());
    }

    /// Schedules a status for each entry VM, so that entry VMs learn of a change of the leader at
    /// once and connect to the new one.
    pub(super) fn schedule_statuses(&mut self) {
        for entry in self.entries.values_mut() {
            entry.is_status_due = true;
        }
    }

    fn status(&self) -> LinkStatus {
        let leader = self.leader_vm();
        let members = self.replica.as_ref().map(|replica| {
            let members = replica.membership().members();
            members.map(|member| member.vm.clone()).collect()
        });
        let has_caught_up = self.replica.as_ref().is_some_and(Replica::has_caught_up);
        LinkStatus {
            is_in_contact: leader.is_some() && has_caught_up,
            leader,
            version: self.state.version(),
            control_vms: members.unwrap_or_default(),
            entry_count: self
                .mover
                .as_ref()
                .map_or(0, |_| u32::try_from(self.entries.len()).unwrap_or(u32::MAX)),
            poison: self.poison.poisoned_requests(),
            routes_version: self.state.routes().version,
        }
    }

    /// Sends entry VMs what changed since the last message to them. A link that is not ready gets
    /// all missed changes as one update as soon as it is, so that a slow link carries only the
    /// newest state.
    ///
    /// The status of this member goes first, because the transfer of an update may take long.
    /// The moving ranges go last, so that a range stops moving after the update that names
    /// its next owner.
    pub(super) fn notify_entries(&mut self, now: MonoTime) {
        let status_links = self.take_links_due_a_status();
        if !status_links.is_empty() {
            let message = ControlMessage::Status(self.status());
            self.send_to_entries(status_links, message);
        }
        for (known, links) in self.take_links_by_position() {
            let update = self.state.update_since(known, &self.route_history);
            if let Some(update) = update.filter(|update| update.is_full || !is_empty(update)) {
                self.send_to_entries(links, ControlMessage::Update(update));
            }
        }
        for (sent, links) in self.take_links_by_sent_moves() {
            let message = ControlMessage::Moves(self.moves.change_since(sent));
            self.send_to_entries(links, message);
        }
        self.send_server_limits(now);
        self.send_relays();
        self.send_owner_admission(now);
        self.send_shares(now);
        for link in std::mem::take(&mut self.busy_links) {
            if let Some(entry) = self.entries.get_mut(&link) {
                entry.is_ready = false;
            }
        }
    }

    /// Sends changed rate limits of servers, and answers requests for permits. Only a leader issues
    /// permits, so that all of them come from one place.
    fn send_server_limits(&mut self, now: MonoTime) {
        if !self.is_leading(now) {
            return;
        }
        let version = self.limits.version();
        let mut requests = Vec::new();
        let mut outdated: BTreeMap<EntryLinkId, LimitsVersion> = BTreeMap::new();
        for (link, entry) in &mut self.entries {
            if !entry.is_ready || !entry.accepts_server_limits {
                continue;
            }
            let permit_requests = std::mem::take(&mut entry.permit_requests).into_iter();
            requests.extend(permit_requests.map(|request| (*link, request)));
            if entry.sent_limits != version {
                outdated.insert(*link, entry.sent_limits);
                entry.sent_limits = version;
            }
        }
        let (state, allowance) = (&self.state, self.config.cold_allowance);
        let cold_limit = |server: &_| cold_permit_limit(state, allowance, server);
        let mut updates = self.limits.answer(now, requests, cold_limit);
        for (link, sent) in outdated {
            let changes = self.limits.changes_since(now, sent);
            if !changes.is_empty() {
                updates.entry(link).or_default().limits = changes;
            }
        }
        for (link, update) in updates {
            self.send_to_entries(vec![link], ControlMessage::ServerLimits(update));
        }
    }

    pub(super) fn send_to_entries(&mut self, links: Vec<EntryLinkId>, message: ControlMessage) {
        self.busy_links.extend(&links);
        self.effects
            .push(SiteEffect::SendToEntries { links, message });
    }

    /// Returns the ready links to which a status has to be sent, and marks it as sent. A new route
    /// table is also announced by a status.
    fn take_links_due_a_status(&mut self) -> Vec<EntryLinkId> {
        let position = self.state.position();
        let mut links = Vec::new();
        for (link, entry) in &mut self.entries {
            let has_new_routes = entry.awaits_update(position)
                && entry.sent_position.routes_version < position.routes_version;
            if entry.is_ready && (entry.is_status_due || has_new_routes) {
                entry.is_status_due = false;
                links.push(*link);
            }
        }
        links
    }

    /// Returns the links that are ready for an update, grouped by the position of the directory
    /// that they have, and records the newest position as sent.
    fn take_links_by_position(&mut self) -> BTreeMap<DirectoryPosition, Vec<EntryLinkId>> {
        let position = self.state.position();
        let mut by_position: BTreeMap<DirectoryPosition, Vec<EntryLinkId>> = BTreeMap::new();
        for (link, entry) in &mut self.entries {
            if entry.awaits_update(position) {
                by_position
                    .entry(entry.sent_position)
                    .or_default()
                    .push(*link);
                entry.sent_position = position;
            }
        }
        by_position
    }

    /// Returns the ready links that have an older version of the moving ranges, grouped by that
    /// version, and records the newest version as sent.
    fn take_links_by_sent_moves(&mut self) -> BTreeMap<MovesVersion, Vec<EntryLinkId>> {
        let version = self.moves.version();
        let mut by_sent: BTreeMap<MovesVersion, Vec<EntryLinkId>> = BTreeMap::new();
        for (link, entry) in &mut self.entries {
            if entry.is_ready && entry.sent_moves != version {
                by_sent.entry(entry.sent_moves).or_default().push(*link);
                entry.sent_moves = version;
            }
        }
        by_sent
    }
}

fn is_empty(update: &DirectoryUpdate) -> bool {
    update.routes.is_none()
        && update.servers.is_empty()
        && update.removed.is_empty()
        && update.ranges.is_empty()
        && update.evacuated_zones.is_none()
}
