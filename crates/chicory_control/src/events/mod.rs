//! Everything that can happen to a control process.

mod control_event;
mod group_name;

pub use control_event::ControlEvent;
pub use group_name::GroupName;
