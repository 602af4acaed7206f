//! The events that the reducer of a control process handles.

mod control_event;
mod group_name;

pub use control_event::ControlEvent;
pub use group_name::GroupName;
