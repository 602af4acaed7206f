//! Tests of the gateway's decisions, without a network.

mod choices;
mod notices;
mod retries;
mod support;
