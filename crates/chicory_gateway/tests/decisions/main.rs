//! Tests of the gateway's decisions, without a network.

mod choices;
mod notices;
mod reachability;
mod retries;
mod support;
