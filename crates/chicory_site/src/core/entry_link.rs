//! The state of a link to an entry VM.

use std::net::SocketAddr;

use chicory_directory::{DirectoryPosition, MovesVersion, PermitRequest, RelayPeer};
use chicory_types::{VmId, ZoneName};

use super::owner_admissions::AdmissionVersion;
use super::relay_ability::RelayAbility;
use super::server_limits::LimitsVersion;

/// Identifier of a link to an entry VM, unique while the process runs.
pub type EntryLinkId = u64;

/// The state of the link to one entry VM that follows this member.
#[derive(Clone, Debug)]
pub(crate) struct EntryLink {
    pub(crate) vm: VmId,
    pub(crate) zone: ZoneName,
    /// Address on which it accepts requests of other entry VMs, if it takes part in relaying.
    pub(crate) relay_address: Option<SocketAddr>,
    pub(crate) relay_ability: RelayAbility,
    /// Entry VMs that relay for it.
    pub(crate) relays: Vec<RelayPeer>,
    /// Those that were sent to it.
    pub(crate) sent_relays: Vec<RelayPeer>,
    /// Position of the directory that was sent to it.
    pub(crate) sent_position: DirectoryPosition,
    /// Version of the moving ranges that was sent to it.
    pub(crate) sent_moves: MovesVersion,
    /// Number of reports to receive before the first update is sent. An entry VM that was
    /// redirected to another leader connects to that leader before it sends this many.
    pub(crate) reports_before_update: u32,
    /// Whether the state of this member has to be sent to it.
    pub(crate) is_status_due: bool,
    /// Whether the link has written all that was sent. Changes in the meantime are sent
    /// as one update.
    pub(crate) is_ready: bool,
    /// Whether the entry VM understands messages about rate limits of servers.
    pub(crate) accepts_server_limits: bool,
    /// Version of the rate limits that was sent to it.
    pub(crate) sent_limits: LimitsVersion,
    /// Version of the admission to owners that was sent to it, 0 if none was; `None` while it has
    /// not shown that it understands such messages.
    pub(crate) sent_admission: Option<AdmissionVersion>,
    /// Requests for permits that were not answered yet.
    pub(crate) permit_requests: Vec<PermitRequest>,
}

impl EntryLink {
    pub(crate) fn new(
        vm: VmId,
        zone: ZoneName,
        relay_address: Option<SocketAddr>,
        known: DirectoryPosition,
        reports_before_update: u32,
    ) -> Self {
        Self {
            vm,
            zone,
            relay_address,
            relay_ability: RelayAbility::default(),
            relays: Vec::new(),
            sent_relays: Vec::new(),
            sent_position: known,
            sent_moves: 0,
            reports_before_update,
            is_status_due: true,
            is_ready: true,
            accepts_server_limits: false,
            sent_limits: 0,
            sent_admission: None,
            permit_requests: Vec::new(),
        }
    }

    /// Returns what other entry VMs need to have requests relayed by this one, if it takes part.
    pub(crate) fn relay_peer(&self) -> Option<RelayPeer> {
        let address = self.relay_address?;
        Some(RelayPeer {
            vm: self.vm.clone(),
            address,
            zone: self.zone.clone(),
        })
    }

    /// Whether an update to `newest` is missing and can be sent now.
    pub(crate) fn awaits_update(&self, newest: DirectoryPosition) -> bool {
        self.is_ready
            && self.reports_before_update == 0
            && self.sent_position.version < newest.version
    }
}
