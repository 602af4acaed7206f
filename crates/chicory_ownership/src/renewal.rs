//! The renewal that every entry process sends to the leader of its zone group.
//!
//! One message carries all that changes often: the lease of the process's dispatcher roles, server
//! announcements, released slots, conditions and heat. So the number of control messages grows with
//! the VMs, not with keys, slots or requests.

use std::time::Duration;

use chicory_types::{Incarnation, ServerId, ServiceName, Slot, SlotRun, ViewVersion, VmId};
use serde::{Deserialize, Serialize};

use crate::{EntryRecord, ServerRecord, ViewChange};

/// Slots that a dispatcher has stopped serving for good.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleasedSlots {
    /// The service.
    pub service: ServiceName,
    /// The slots.
    pub runs: Vec<SlotRun>,
    /// The backend server that no longer owns them.
    pub server: ServerId,
}

/// What a dispatcher makes of a backend server, from its own traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerCondition {
    /// It answers.
    Up,
    /// It has been unreachable or without progress for longer than the detection timeout.
    Down,
}

/// Load of one slot since the last report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotHeat {
    /// The slot.
    pub slot: Slot,
    /// Requests dispatched.
    pub requests: u32,
}

/// A dispatcher's report on one backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerReport {
    /// The backend server.
    pub server: ServerId,
    /// Its start that the report is about.
    pub incarnation: Incarnation,
    /// Its condition.
    pub condition: ServerCondition,
    /// Requests dispatched since the last report.
    pub requests: u32,
    /// Its hottest slots, at most [`MAX_REPORTED_SLOTS`](RenewRequest::MAX_REPORTED_SLOTS).
    pub hottest_slots: Vec<SlotHeat>,
}

/// What an entry process sends at each renewal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewRequest {
    /// The sender.
    pub entry: EntryRecord,
    /// Version of the view that the sender has.
    pub known_view: ViewVersion,
    /// Whether the sender is stopping and gives up its dispatcher roles.
    pub stopping: bool,
    /// Servers that announced themselves here since the last answered renewal.
    pub announcements: Vec<ServerRecord>,
    /// Slots released since the last answered renewal.
    pub released: Vec<ReleasedSlots>,
    /// Dispatcher roles given up, with nothing left in flight.
    pub resigned: Vec<ServerId>,
    /// Reports on the servers that the sender dispatches to.
    pub reports: Vec<ServerReport>,
}

impl RenewRequest {
    /// Most slots in one report.
    pub const MAX_REPORTED_SLOTS: usize = 32;
}

/// Changes that bring a view up to date.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewUpdate {
    /// Version of the view after the changes.
    pub version: ViewVersion,
    /// The changes, in order.
    pub changes: Vec<ViewChange>,
}

/// Why a renewal was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RenewRefusal {
    /// A later incarnation of the same VM is known.
    SupersededIncarnation,
    /// An announcement names another availability zone.
    WrongZone,
}

/// The answer to a renewal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RenewAnswer {
    /// The lease holds for `lease` from before the request was sent.
    Granted {
        /// Length of the lease.
        lease: Duration,
        /// Changes since the known view.
        update: ViewUpdate,
    },
    /// Another process leads the zone group.
    NotLeader {
        /// The leader, where it is known.
        leader: Option<VmId>,
    },
    /// The renewal is wrong and must not be sent again as it is.
    Refused(RenewRefusal),
}
