//! Tests of the gateway's decisions, without a network.

mod choices;
mod follow_ups;
mod notices;
mod reachability;
mod relays;
mod retries;
mod shares;
mod support;
