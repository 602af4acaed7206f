//! Tests of the gateway's decisions, without a network.

mod choices;
mod retries;
mod support;
