//! Decisions of the gateway, without a network.

mod choices;
mod retries;
mod support;
