//! Calls that other processes make, and what they are answered.

use std::collections::BTreeSet;

use chicory_consensus::MemberId;
use chicory_ownership::{
    ClaimAnswer, ClaimRequest, ClaimResolution, Claimant, RenewAnswer, RenewRequest, ServerRecord,
    ZoneDirectory, ZoneSyncAnswer, ZoneSyncRequest,
};
use chicory_table::{AuditRecord, EditOutcome, Table, TableChange};
use chicory_types::{
    EditId, FencingToken, Incarnation, OperatorName, OrderKey, Revision, ServerId, ServiceName,
    Slot, VmId, ZoneName,
};
use serde::{Deserialize, Serialize};

use crate::GroupName;

/// Identifier of a call in this process.
pub type CallId = u64;

/// Who made a call, as its certificate says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Caller {
    /// An entry process.
    Entry(VmId),
    /// A control process.
    Control(VmId),
    /// An operator.
    Operator(OperatorName),
}

/// A call of another process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlCall {
    /// An entry process renews its lease.
    Renew(RenewRequest),
    /// An entry process asks for the right to run an order.
    Claim(ClaimRequest),
    /// An entry process tells how an order ended.
    ResolveClaim {
        /// The service.
        service: ServiceName,
        /// The order key.
        order_key: OrderKey,
        /// Who held the claim.
        claimant: Claimant,
        /// How it ended.
        resolution: ClaimResolution,
    },
    /// An entry process tells that a backend server crashed.
    ReportCrash {
        /// The server.
        server: ServerId,
        /// Fingerprints of the requests that it ran.
        fingerprints: Vec<u64>,
        /// Whether the only suspect ran alone.
        was_alone: bool,
    },
    /// The leader of a zone group synchronises with the global group.
    ZoneSync(ZoneSyncRequest),
    /// A member of a zone group without memory asks what to do.
    AskFormation(FormationRequest),
    /// An operator's call.
    Operator(OperatorCall),
}

/// A member of a zone group that has no memory of its group asks the global group what to do.
///
/// Until it is told to join, it takes no part in any group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FormationRequest {
    /// The zone.
    pub zone: ZoneName,
    /// The VM of the process.
    pub vm: VmId,
    /// The process's start.
    pub incarnation: Incarnation,
    /// All VMs that are to be voters of the zone's group.
    pub zone_vms: BTreeSet<VmId>,
    /// Whether the receiver is asked as a member of the zone's group or of the global group.
    pub asked_group: GroupName,
    /// Epoch of the group that the process remembers but can't find a leader of; `None` for a
    /// process without memory.
    pub remembered_epoch: Option<u64>,
}

/// What a member without memory is told.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FormationAnswer {
    /// Ask again: it isn't clear yet whether the group lives.
    Wait,
    /// Wait to be admitted by the group of this epoch, which lives.
    Join {
        /// Epoch of the group.
        group_epoch: u64,
    },
    /// Form the group of this epoch with these members.
    Found {
        /// Epoch of the group.
        group_epoch: u64,
        /// Its founders.
        founders: BTreeSet<MemberId>,
    },
    /// Another process leads the global group.
    NotLeader {
        /// The leader, where it is known.
        leader: Option<VmId>,
    },
}

/// A call of an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperatorCall {
    /// Reads the table.
    GetTable,
    /// Edits the table.
    EditTable {
        /// Identifier of the edit; a resend carries the same.
        edit_id: EditId,
        /// Revision that the edit was made on.
        base_revision: Revision,
        /// The changes.
        changes: Vec<TableChange>,
    },
    /// Asks for the state of all zones.
    GetStatus,
    /// Asks for the servers of the zone of the process that is asked.
    GetZone,
    /// Asks who owns a key in the zone of the process that is asked.
    GetOwner {
        /// The service.
        service: ServiceName,
        /// The key.
        key: String,
    },
    /// Takes all custody from a zone, for which the operator vouches that it serves no more.
    EvictZone {
        /// The zone.
        zone: ZoneName,
        /// Identifier of the request; a resend carries the same.
        edit_id: EditId,
    },
    /// Reads the audit trail.
    GetAudit {
        /// Only records of this operator.
        operator: Option<OperatorName>,
        /// First sequence number wanted.
        from_sequence: u64,
        /// Most records wanted.
        limit: u32,
    },
}

/// State of a zone as the leader of the global group knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneSummary {
    /// Its entry processes.
    pub directory: ZoneDirectory,
    /// Revision of the table in force there.
    pub revision_in_force: Revision,
    /// Whether it was heard of lately.
    pub is_reachable: bool,
    /// Slots in its custody, over all services.
    pub custody_slots: u64,
}

/// A backend server as its zone group knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerSummary {
    /// What it announced.
    pub record: ServerRecord,
    /// The VM that dispatches to it.
    pub dispatcher: Option<VmId>,
    /// Slots that it owns.
    pub owned_slots: u64,
    /// Slots that it is giving up.
    pub releasing_slots: u64,
}

/// The owner of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnerSummary {
    /// The key's slot.
    pub slot: Slot,
    /// The zone that has custody; `None` for nobody.
    pub custody_zone: Option<ZoneName>,
    /// The owner, where it is in the zone that was asked.
    pub server: Option<ServerId>,
    /// Its dispatcher.
    pub dispatcher: Option<VmId>,
    /// Its fencing token.
    pub token: Option<FencingToken>,
}

/// Why an operator's call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperatorFailure {
    /// The process takes no part in the group that could answer.
    WrongProcess,
    /// The group has no leader or lost it. The outcome of a change is unknown: it is to be sent
    /// again with the same identifier.
    Unavailable,
    /// No such zone or service.
    NotFound,
}

/// The answer to an operator's call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorReply {
    /// The table.
    Table(Table),
    /// What an edit did.
    Edited(EditOutcome),
    /// The revision in force and the state of all zones.
    Status {
        /// Newest revision.
        revision: Revision,
        /// The zones.
        zones: Vec<ZoneSummary>,
    },
    /// The servers of a zone.
    Zone {
        /// The zone.
        zone: ZoneName,
        /// Revision of the table in force.
        revision_in_force: Revision,
        /// Its backend servers.
        servers: Vec<ServerSummary>,
    },
    /// The owner of a key.
    Owner(OwnerSummary),
    /// A zone was evicted.
    Evicted {
        /// Slots that were in its custody.
        moved_slots: u64,
    },
    /// Records of the audit trail.
    Audit(Vec<AuditRecord>),
    /// Another process leads the group.
    NotLeader {
        /// The leader, where it is known.
        leader: Option<VmId>,
    },
    /// The call failed.
    Failed(OperatorFailure),
}

/// The answer to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlReply {
    /// To a renewal.
    Renew(RenewAnswer),
    /// To a claim.
    Claim(ClaimAnswer),
    /// To the end of a claim or to the report of a crash.
    Acknowledged(Acknowledgement),
    /// To a zone's sync.
    ZoneSync(ZoneSyncAnswer),
    /// To a member without memory.
    Formation(FormationAnswer),
    /// To an operator.
    Operator(OperatorReply),
    /// The caller's certificate doesn't allow the call.
    NotAllowed,
    /// This process answers no such call.
    WrongProcess,
}

/// Whether the zone group has what it was told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Acknowledgement {
    /// A majority has it.
    Done,
    /// Another process leads the group.
    NotLeader {
        /// The leader, where it is known.
        leader: Option<VmId>,
    },
}
