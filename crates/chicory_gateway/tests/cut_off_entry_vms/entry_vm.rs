//! One entry VM, and its connections to the backend servers.

use std::collections::BTreeMap;
use std::time::Duration;

use chicory_directory::{DirectoryUpdate, LinkStatus, RelayPeer};
use chicory_gateway::{Gateway, GatewayConfig, RelayAdmission, RelayLoad, RelaySize, Target};
use chicory_policy::LinkBacklog;
use chicory_ranges::ServerIncarnation;
use chicory_types::ZoneName;

use crate::plan::{CutKind, ThinLinks};
use crate::thin_link::ThinLink;
use crate::world::HOP;

/// Requests that an entry VM relays at a time.
const RELAY_ROOM: usize = 8;
/// Length that is assumed for a large answer.
const ASSUMED_BYTES: u64 = 64 * 1024;

pub struct EntryVm {
    pub gateway: Gateway,
    /// How the path to the servers is cut, if it is.
    pub cut: Option<CutKind>,
    /// The link, if it is thin.
    pub link: Option<ThinLink>,
    /// Requests of other entry VMs that are being relayed.
    relaying: usize,
    /// What is being relayed, if the link is thin.
    relay_load: RelayLoad,
    /// Assumed length of the large answers that servers have not sent yet.
    expected_bytes: u64,
    /// Whether the previous report says that this entry VM can relay.
    pub can_relay: bool,
    /// Entry VMs that may relay, as the control VM named them last.
    relays: Vec<RelayPeer>,
    /// Times since which connections to each server are idle.
    idle_connections: BTreeMap<ServerIncarnation, Vec<Duration>>,
}

impl EntryVm {
    pub fn new(
        now: Duration,
        index: usize,
        zone: ZoneName,
        directory: DirectoryUpdate,
        links: Option<ThinLinks>,
    ) -> Self {
        let mut gateway = Gateway::new(GatewayConfig {
            random_seed: index as u64,
            zone,
            ..GatewayConfig::default()
        });
        gateway.update(now, directory);
        Self {
            gateway,
            cut: None,
            link: links.map(|links| ThinLink::new(links.bytes_per_s)),
            relaying: 0,
            relay_load: RelayLoad::default(),
            expected_bytes: 0,
            can_relay: true,
            relays: Vec::new(),
            idle_connections: BTreeMap::new(),
        }
    }

    /// Exchanges messages with the control VM.
    pub fn report(&mut self, now: Duration, vm_count: usize) {
        let status = LinkStatus {
            is_in_contact: true,
            entry_count: u32::try_from(vm_count).expect("a small number"),
            routes_version: 1,
            ..LinkStatus::default()
        };
        self.gateway.record_status(now, &status);
        self.can_relay = self.gateway.take_report(now).can_relay;
    }

    /// Learns which entry VMs may relay. Control VMs report only changes.
    pub fn set_relays(&mut self, relays: Vec<RelayPeer>) {
        if relays != self.relays {
            self.gateway.set_relays(relays.clone());
            self.relays = relays;
        }
    }

    pub fn set_cut(&mut self, cut: Option<CutKind>) {
        self.cut = cut;
        if cut == Some(CutKind::Reset) {
            self.idle_connections.clear();
        }
    }

    /// Returns the time until a new connection to a server opens or fails.
    pub fn connect_time(&self, now: Duration, time_limit: Duration) -> Duration {
        if self.cut == Some(CutKind::Silent) {
            time_limit
        } else {
            (2 * HOP + self.link_delay(now)).min(time_limit)
        }
    }

    /// Returns for how long what this entry VM sends or receives now waits behind other bytes.
    pub fn link_delay(&self, now: Duration) -> Duration {
        self.link.map_or(Duration::ZERO, |link| link.delay(now))
    }

    /// Receives an answer and passes it on. Returns when its last byte has crossed the link.
    pub fn pass_on(&mut self, now: Duration, bytes: u64) -> Duration {
        let link = self.link.as_mut();
        link.map_or(now, |link| link.transfer(now, bytes))
    }

    /// Takes a connection to a server that may be reused. Returns whether there was one.
    pub fn take_connection(&mut self, now: Duration, target: &Target) -> bool {
        let idle = self.idle_connections.get_mut(&target.incarnation);
        let latest = idle.and_then(Vec::pop);
        latest.is_some_and(|since| now <= since + target.max_idle)
    }

    pub fn keep_connection(&mut self, now: Duration, server: &ServerIncarnation) {
        let idle = self.idle_connections.entry(server.clone()).or_default();
        idle.push(now);
    }

    pub fn close_connections(&mut self, server: &ServerIncarnation) {
        self.idle_connections.remove(server);
    }

    /// Begins to relay a request of another entry VM, if there is room.
    pub fn try_begin_relay(&mut self, now: Duration, is_large: bool) -> bool {
        let answer_bytes = if is_large { ASSUMED_BYTES } else { 0 };
        let has_room = match self.link {
            None => self.relaying < RELAY_ROOM,
            Some(link) => {
                let size = RelaySize {
                    body_bytes: 0,
                    answer_bytes,
                };
                let mut backlog = LinkBacklog::new(link.bytes_per_s());
                backlog.expect(link.pending_bytes(now) + self.expected_bytes);
                self.relay_load.try_begin(now, size, Some(&backlog)) == RelayAdmission::Accepted
            }
        };
        if has_room {
            self.relaying += 1;
            self.expected_bytes += answer_bytes;
        }
        has_room
    }

    /// Records that a server has sent the answer to a relayed request.
    pub fn record_relayed_answer(&mut self, is_large: bool) {
        let answer_bytes = if is_large { ASSUMED_BYTES } else { 0 };
        self.expected_bytes -= answer_bytes;
    }

    /// Ends a request of another entry VM.
    pub fn end_relay(&mut self) {
        self.relaying -= 1;
        if self.link.is_some() {
            self.relay_load.end(0);
        }
    }
}
