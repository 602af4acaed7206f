//! A model of servers, their network and a leader whose interleavings are explored one by one.

mod action;
mod bounds;
mod call;
mod directory;
mod explorer;
mod links;
mod process;
mod violation;
mod world;

pub use action::{Action, Successor, TimeStep};
pub use bounds::Bounds;
pub use call::{Call, CallRoute, CallStage};
pub use directory::{Directory, Heard};
pub use explorer::explore;
pub use links::Links;
pub use process::{AddressIndex, Process, ProcessIndex};
pub use violation::Violation;
pub use world::World;
