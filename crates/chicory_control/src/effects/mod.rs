//! The actions that the reducer of a control process requests.

mod control_effect;
mod control_note;

pub use control_effect::ControlEffect;
pub use control_note::ControlNote;
