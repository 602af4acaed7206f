//! A request path in virtual time, with fake backend servers and a fake zone group.

mod fake_group;
mod fake_server;
mod fixtures;
mod world;

pub use fake_server::{FakeServer, Mode};
pub use fixtures::*;
pub use world::{Final, World};
