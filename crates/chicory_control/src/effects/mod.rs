//! Everything that a control process asks of its surroundings.

mod control_effect;
mod control_note;

pub use control_effect::ControlEffect;
pub use control_note::ControlNote;
