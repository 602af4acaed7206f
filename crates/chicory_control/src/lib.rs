//! The control process: a member of the replicated group of its zone and, on some VMs, of the
//! replicated global group.
//!
//! A control process is a voter in the group of its availability zone and, on the few VMs with a
//! disk, in the global group. [`ControlCore`] is its reducer; the binary carries out its
//! effects.

mod calls;
mod control_config;
mod convert;
mod core;
mod effects;
mod events;
mod formation_coordinator;
mod global;
mod global_group;
mod groups;
mod inquiry_phase;
mod process;
mod state_machine;
mod stored_zone_member;
mod zone_machine;
mod zone_member;

pub use crate::core::{ControlCore, GlobalWaiter, ZoneWaiter};
pub use calls::{
    Acknowledgement, CallId, Caller, ControlCall, ControlReply, FormationAnswer, FormationRequest,
    OperatorCall, OperatorFailure, OperatorReply, OwnerSummary, ServerSummary, ZoneSummary,
};
pub use control_config::{
    ControlConfig, FORMATION_REQUEST_INTERVAL, FORMATION_REQUEST_TTL, FORMATION_WAIT_LIMIT,
    PLAN_INTERVAL, ZONE_SYNC_INTERVAL,
};
pub use convert::{
    call_from_message, formation_answer_from_message, formation_request_message, reply_message,
};
pub use effects::{ControlEffect, ControlNote};
pub use events::{ControlEvent, GroupName};
pub use formation_coordinator::{FormationCoordinator, FormationDecision};
pub use global::{GlobalEntry, GlobalMachine, ZoneFormation};
pub use global_group::{GlobalGroup, new_global_group};
pub use groups::{Group, GroupEffect, GroupEffects, PersistRequest};
pub use process::{ControlError, ControlMetric, ControlSettings, control_command, run};
pub use state_machine::{DecodeError, StateMachine};
pub use stored_zone_member::StoredZoneMember;
pub use zone_machine::ZoneMachine;
pub use zone_member::{FormationQuery, ZoneGroup, ZoneMember};
