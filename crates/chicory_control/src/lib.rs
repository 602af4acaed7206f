//! The control process: the replicated global and zone groups.
//!
//! A control process is a voter of the group of its availability zone and, on the few VMs with a
//! disk, of the global group. [`ControlCore`] is its reducer; the binary carries out the effects.

mod calls;
mod control_config;
mod convert;
mod core;
mod effects;
mod events;
mod formation_desk;
mod global;
mod global_group;
mod groups;
mod inquiry;
mod process;
mod state_machine;
mod zone_machine;
mod zone_seat;

pub use crate::core::{ControlCore, GlobalWaiter, ZoneWaiter};
pub use calls::{
    Acknowledgement, CallId, Caller, ControlCall, ControlReply, FormationAnswer, FormationRequest,
    OperatorCall, OperatorFailure, OperatorReply, OwnerSummary, ServerSummary, ZoneSummary,
};
pub use control_config::{
    ControlConfig, FORMATION_INTERVAL, FORMATION_MARK_LIMIT, FORMATION_PATIENCE, PLAN_INTERVAL,
    ZONE_SYNC_INTERVAL,
};
pub use convert::{call_of, formation_answer_of, formation_request_message, reply_message};
pub use effects::{ControlEffect, ControlNote};
pub use events::{ControlEvent, GroupName};
pub use formation_desk::{FormationDecision, FormationDesk};
pub use global::{GlobalEntry, GlobalMachine, ZoneFormation};
pub use global_group::{GlobalGroup, new_global_group};
pub use groups::{Group, GroupEffect, GroupEffects, PersistRequest};
pub use process::{ControlError, ControlMetric, ControlSettings, control_command, run};
pub use state_machine::{DecodeError, StateMachine};
pub use zone_machine::ZoneMachine;
pub use zone_seat::{FormationQuestion, ZoneGroup, ZoneSeat};
