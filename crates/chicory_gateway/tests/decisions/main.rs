//! Tests of the gateway's decisions, without a network.

mod choices;
mod cold;
mod evacuations;
mod follow_ups;
mod notices;
mod owner_admission;
mod planned_stops;
mod reachability;
mod relay_refusals;
mod relays;
mod retries;
mod shares;
mod support;
