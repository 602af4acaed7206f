//! No order runs more than once.

use std::collections::BTreeMap;

use super::{Run, Violation};

/// Finds orders that ran more than once; runs that were abandoned without effect don't count.
pub fn find_repeated_orders(runs: &[Run]) -> Vec<Violation> {
    let mut servers: BTreeMap<(&str, &str), Vec<&Run>> = BTreeMap::new();
    for run in runs.iter().filter(|run| run.may_have_effect()) {
        if let Some(order_key) = &run.order_key {
            let of_order = servers.entry((&run.service, order_key));
            of_order.or_default().push(run);
        }
    }
    servers
        .into_iter()
        .filter(|(_, runs)| runs.len() > 1)
        .map(|((service, order_key), runs)| Violation::OrderRanTwice {
            service: service.to_owned(),
            order_key: order_key.to_owned(),
            servers: runs.iter().map(|run| run.server.clone()).collect(),
        })
        .collect()
}
