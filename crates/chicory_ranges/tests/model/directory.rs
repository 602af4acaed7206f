//! What the control VMs know of the processes at each address.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use chicory_ranges::ServerIncarnation;
use chicory_types::MonoTime;

use super::AddressIndex;

/// Time after an announcement during which a server with the same start time can't take over the
/// address.
const ADDRESS_HOLD_TIME: Duration = Duration::from_millis(1800);

/// What an announcement is taken for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Heard {
    /// The process in the directory.
    Known,
    /// A new process; the former one at the address has ended.
    Replaces(ServerIncarnation),
    /// A process that has ended, or one whose address is still in use.
    Refused,
}

/// What the control VMs know of the processes at each address.
///
/// Follows `SiteState::put_server` and `SiteCore::is_address_in_use` for processes that never
/// change their address.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    records: BTreeMap<AddressIndex, ServerIncarnation>,
    replaced: BTreeSet<ServerIncarnation>,
    announced_at: BTreeMap<ServerIncarnation, MonoTime>,
}

impl Directory {
    /// Enters the first process at an address.
    pub fn put(&mut self, now: MonoTime, address: AddressIndex, incarnation: ServerIncarnation) {
        self.announced_at.insert(incarnation.clone(), now);
        self.records.insert(address, incarnation);
    }

    /// Returns whether the directory has this process.
    pub fn has(&self, incarnation: &ServerIncarnation) -> bool {
        self.records.values().any(|record| record == incarnation)
    }

    /// Counts the announcements of all processes as new, as a new leader does.
    pub fn on_leader_change(&mut self, now: MonoTime) {
        let records = self.records.values();
        self.announced_at = records.map(|record| (record.clone(), now)).collect();
    }

    /// Drops announcements that decide nothing any more.
    pub fn forget_old_announcements(&mut self, now: MonoTime) {
        self.announced_at
            .retain(|_, at| now < *at + ADDRESS_HOLD_TIME);
    }

    /// Handles an announcement.
    pub fn hear(
        &mut self,
        now: MonoTime,
        address: AddressIndex,
        incarnation: &ServerIncarnation,
    ) -> Heard {
        let known = self.records[&address].clone();
        if known == *incarnation {
            self.put(now, address, known);
            return Heard::Known;
        }
        if self.replaced.contains(incarnation) || self.is_refused(now, &known, incarnation) {
            return Heard::Refused;
        }
        self.put(now, address, incarnation.clone());
        self.replaced.insert(known.clone());
        Heard::Replaces(known)
    }

    fn is_refused(
        &self,
        now: MonoTime,
        known: &ServerIncarnation,
        announced: &ServerIncarnation,
    ) -> bool {
        if known.server == announced.server {
            return announced.started_at_ms < known.started_at_ms;
        }
        let announced_at = self.announced_at.get(known);
        let is_recent = announced_at.is_some_and(|at| now < *at + ADDRESS_HOLD_TIME);
        announced.started_at_ms < known.started_at_ms
            || is_recent && announced.started_at_ms == known.started_at_ms
    }
}
