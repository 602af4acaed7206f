//! One replicated state machine: a replica of the log and the state machine that it drives.

mod group;
mod group_effect;
mod persist_request;

use crate::StateMachine;

/// Effects that follow from one event of a group.
pub type GroupEffects<M, W> = Vec<GroupEffect<<M as StateMachine>::Outcome, W>>;

pub use group::Group;
pub use group_effect::GroupEffect;
pub use persist_request::PersistRequest;
