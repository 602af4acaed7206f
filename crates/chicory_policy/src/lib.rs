//! Decisions about requests under load and faults, without I/O.
//!
//! Each type handles one kind of load or fault. It reads no clock and draws no random numbers, so
//! that tests can run a load against it in virtual time:
//!
//! | type | load or fault | decision |
//! |---|---|---|
//! | [`AdmittedFractions`] | more requests for the keys of one server than it can answer, at one sender | which of them are sent |
//! | [`BulkTurns`] | large bodies of many callers on a thin link | when each one is transferred, or refuse it at once |
//! | [`ConnectionBudget`] | clients that keep large requests or many connections open | which of them make room for others, or refuse one at once |
//! | [`LinkBacklog`] | answers passed on for other entry VMs beside own ones, on a thin link | how long a further answer would wait |
//! | [`NamedLimits`] | rate limits that servers state in answers, which overtake each other | which limit is in force |
//! | [`Occupancy`] | what a server states about its load, which is soon outdated | how probably the server is full |
//! | [`Outages`] | keys without an owner, or unreachable servers, for seconds | wait, probe now and then, or refuse at once |
//! | [`ColdAllowance`] | servers that bear few requests just after their start | how many permits for them may accumulate |
//! | [`OwnerAdmission`] | more requests for the keys of one server than it can answer, from many senders that see only a few of them each | which fraction may be sent |
//! | [`PermitIssuer`] | more requests to a server than its limit, from many senders | which sender may send the next one |
//! | [`PermitHolder`] | the same, at one sender | send, wait for a permit, or refuse at once |
//! | [`SpacedShare`] | the same, without anybody who issues permits | when a sender may send the next one by itself |
//! | [`Rests`] | servers that ask for a pause | until when nothing is sent to them |
//! | [`SlotLine`] | many senders that choose among the same servers at once | which slots each sender prefers |
//! | [`SlotChoice`] | the same, at one sender | send to an own slot, to another one, or wait for an own one |
//! | [`RetryAfter`] | refused callers | when they should retry |
//! | [`TokenBucket`] | more requests than a rate allows | when the next one may go |

mod admitted_fractions;
mod admitted_share;
mod bulk_turns;
mod cold_allowance;
mod connection_budget;
mod decaying_rate;
mod line_sender;
mod line_server;
mod link_backlog;
mod named_limits;
mod observed_answers;
mod occupancy;
mod outages;
mod owner_admission;
mod owner_load;
mod owner_overload;
mod owner_slots;
mod permit_holder;
mod permit_issuer;
mod permit_limit;
mod rests;
mod retry_after;
mod slot_candidate;
mod slot_choice;
mod slot_line;
mod spaced_share;
mod token_bucket;

pub use admitted_fractions::AdmittedFractions;
pub use bulk_turns::{BulkStep, BulkTurns};
pub use cold_allowance::ColdAllowance;
pub use connection_budget::{
    BudgetStep, CONNECTION_BYTES, ConnectionBudget, ConnectionId, ConnectionState, Eviction,
    ListenerId,
};
pub use line_sender::LineSender;
pub use line_server::LineServer;
pub use link_backlog::LinkBacklog;
pub use named_limits::{LimitChange, LimitObservation, NamedLimits};
pub use observed_answers::ObservedAnswers;
pub use occupancy::Occupancy;
pub use outages::Outages;
pub use owner_admission::OwnerAdmission;
pub use owner_overload::OwnerOverload;
pub use owner_slots::OwnerSlots;
pub use permit_holder::{PermitHolder, PermitStep, SenderState};
pub use permit_issuer::{PermitDecision, PermitIssuer, Rank};
pub use permit_limit::PermitLimit;
pub use rests::{Rest, Rests};
pub use retry_after::RetryAfter;
pub use slot_candidate::SlotCandidate;
pub use slot_choice::{SlotChoice, SlotStep};
pub use slot_line::SlotLine;
pub use spaced_share::SpacedShare;
pub use token_bucket::TokenBucket;
