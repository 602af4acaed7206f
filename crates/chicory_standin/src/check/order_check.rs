//! Checks that no order runs more than once.

use std::collections::BTreeMap;

use super::{Run, Violation};

/// Finds orders that ran more than once; runs that were abandoned without effect don't count.
pub fn find_repeated_orders(runs: &[Run]) -> Vec<Violation> {
    let mut runs_by_order: BTreeMap<(&str, &str), Vec<&Run>> = BTreeMap::new();
    for run in runs.iter().filter(|run| run.may_have_effect()) {
        if let Some(order_key) = &run.order_key {
            let runs_of_order = runs_by_order.entry((&run.service, order_key));
            runs_of_order.or_default().push(run);
        }
    }
    runs_by_order
        .into_iter()
        .filter(|(_, runs)| runs.len() > 1)
        .map(|((service, order_key), runs)| Violation::OrderRanTwice {
            service: service.to_owned(),
            order_key: order_key.to_owned(),
            servers: runs.iter().map(|run| run.server.clone()).collect(),
        })
        .collect()
}
