//! A control VM and the entry VMs that follow it, without I/O.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use chicory_directory::{ControlMessage, DirectoryPosition, EntryMessage, EntryReport, RelayPeer};
use chicory_site::{EntryLinkId, SiteConfig, SiteCore, SiteEffect, SiteEvent, SiteNote};

/// Time between two reports of an entry VM.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(350);

/// A control VM and the entry VMs that follow it. The link of each has the index of the entry VM.
pub struct Fleet {
    core: SiteCore,
    now: Duration,
    pub vm_count: usize,
    zone_count: usize,
    /// The relay peers that each entry VM received last.
    pub lists: BTreeMap<EntryLinkId, Vec<RelayPeer>>,
    /// Links to which relay peers were sent, in order.
    pub sent: Vec<EntryLinkId>,
    pub notes: Vec<SiteNote>,
    /// Links that don't report that they have written their messages.
    stuck: BTreeSet<EntryLinkId>,
}

impl Fleet {
    /// Creates a control VM without entry VMs.
    pub fn empty(zone_count: usize) -> Self {
        let config =
            SiteConfig::new("10.0.0.1:7540", vec!["10.0.0.1:7540".into()]).with_random_seed(1);
        let now = Duration::from_secs(1);
        Self {
            core: SiteCore::new(config, now),
            now,
            vm_count: 0,
            zone_count,
            lists: BTreeMap::new(),
            sent: Vec::new(),
            notes: Vec::new(),
            stuck: BTreeSet::new(),
        }
    }

    /// Creates a control VM with entry VMs, all of which can relay.
    pub fn new(vm_count: usize, zone_count: usize) -> Self {
        Self::with_unable(vm_count, zone_count, &BTreeSet::new())
    }

    /// Creates a control VM with entry VMs, some of which report that they can't relay.
    pub fn with_unable(vm_count: usize, zone_count: usize, unable: &BTreeSet<usize>) -> Self {
        let mut fleet = Self::empty(zone_count);
        fleet.vm_count = vm_count;
        let connected = (0..vm_count).map(|index| {
            let link = index as EntryLinkId;
            fleet.connected(link, index, Some(Self::address(index)))
        });
        let connected = connected.collect();
        fleet.handle_all(connected);
        let reports = (0..vm_count).map(|index| Self::reported(index, !unable.contains(&index)));
        fleet.handle_all(reports.collect());
        fleet
    }

    pub fn zone(&self, index: usize) -> String {
        format!("zone-{}", index % self.zone_count)
    }

    pub fn vm(index: usize) -> String {
        format!("entry-{index}")
    }

    pub fn address(index: usize) -> SocketAddr {
        let index = u8::try_from(index).expect("a small index");
        SocketAddr::from(([10, 1, 0, index], 7560))
    }

    /// Connects an entry VM that takes part in relaying.
    pub fn connect(&mut self, index: usize) {
        self.connect_as(index as EntryLinkId, index, Some(Self::address(index)));
        self.vm_count = self.vm_count.max(index + 1);
    }

    pub fn connect_as(&mut self, link: EntryLinkId, index: usize, relay: Option<SocketAddr>) {
        let connected = self.connected(link, index, relay);
        self.handle_all(vec![connected]);
    }

    fn connected(&self, link: EntryLinkId, index: usize, relay: Option<SocketAddr>) -> SiteEvent {
        SiteEvent::EntryConnected {
            link,
            vm: Self::vm(index),
            zone: self.zone(index),
            known: DirectoryPosition::default(),
            relay_address: relay,
            cpu_share: None,
        }
    }

    pub fn disconnect(&mut self, link: EntryLinkId) {
        self.handle_all(vec![SiteEvent::EntryDisconnected { link }]);
        self.lists.remove(&link);
    }

    /// Sends the periodic report of an entry VM.
    pub fn report(&mut self, index: usize, can_relay: bool) {
        self.handle_all(vec![Self::reported(index, can_relay)]);
    }

    fn reported(index: usize, can_relay: bool) -> SiteEvent {
        let report = EntryReport {
            can_relay,
            accepts_server_limits: true,
            ..EntryReport::default()
        };
        SiteEvent::EntrySent {
            link: index as EntryLinkId,
            message: EntryMessage::Report(report),
        }
    }

    pub fn send(&mut self, link: EntryLinkId, report: EntryReport) {
        let message = EntryMessage::Report(report);
        self.handle_all(vec![SiteEvent::EntrySent { link, message }]);
    }

    pub fn wait(&mut self, time: Duration) {
        self.now += time;
        self.handle_all(vec![SiteEvent::Tick]);
    }

    /// Lets a link write nothing from its next message on.
    pub fn block(&mut self, link: EntryLinkId) {
        self.stuck.insert(link);
    }

    pub fn unblock(&mut self, link: EntryLinkId) {
        self.stuck.remove(&link);
        self.handle_all(vec![SiteEvent::EntryLinkReady { link }]);
    }

    /// Returns the indices of the entry VMs that an entry VM received last.
    pub fn relays_of(&self, index: usize) -> Vec<usize> {
        let list = self.lists.get(&(index as EntryLinkId));
        let indices = list.into_iter().flatten().map(|peer| {
            let index = peer.vm.strip_prefix("entry-").expect("an entry VM");
            index.parse().expect("an index")
        });
        indices.collect()
    }

    /// Returns the relay peers of all entry VMs.
    pub fn all_relays(&self) -> Vec<Vec<usize>> {
        (0..self.vm_count)
            .map(|index| self.relays_of(index))
            .collect()
    }

    /// Handles events that were received together.
    fn handle_all(&mut self, mut events: Vec<SiteEvent>) {
        while !events.is_empty() {
            let effects = self.core.reduce_all(self.now, std::mem::take(&mut events));
            for effect in effects {
                events.extend(self.run_effect(effect));
            }
        }
    }

    fn run_effect(&mut self, effect: SiteEffect) -> Vec<SiteEvent> {
        match effect {
            SiteEffect::SendToEntries { links, message } => {
                if let ControlMessage::Relays(peers) = message {
                    for link in &links {
                        self.sent.push(*link);
                        self.lists.insert(*link, peers.clone());
                    }
                }
                let written = links.into_iter().filter(|link| !self.stuck.contains(link));
                written
                    .map(|link| SiteEvent::EntryLinkReady { link })
                    .collect()
            }
            SiteEffect::Note(note) => {
                self.notes.push(note);
                Vec::new()
            }
            _ => Vec::new(),
        }
    }
}
