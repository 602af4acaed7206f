//! Servers in order of their load.

use std::collections::BTreeSet;

use crate::PlacementInput;

/// A load that can be ordered.
#[derive(Clone, Copy, Debug, PartialEq)]
struct OrderedLoad(f64);

impl Eq for OrderedLoad {}

impl Ord for OrderedLoad {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}

impl PartialOrd for OrderedLoad {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

/// Servers in order of their load per weight.
#[derive(Clone, Debug)]
pub struct LoadQueue {
    loads: Vec<f64>,
    weights: Vec<f64>,
    order: BTreeSet<(OrderedLoad, u16)>,
}

impl LoadQueue {
    /// Creates the queue from the present owners.
    pub fn new(input: &PlacementInput<'_>) -> Self {
        let loads = input.server_loads();
        let order = (0..).zip(&loads).map(|(i, load)| (OrderedLoad(*load), i));
        Self {
            order: order.collect(),
            loads,
            weights: input.servers.iter().map(|server| server.weight).collect(),
        }
    }

    /// The server with the least load per weight.
    pub fn least(&self) -> Option<u16> {
        self.order.first().map(|(_, server)| *server)
    }

    /// The server with the greatest load per weight.
    pub fn greatest(&self) -> Option<u16> {
        self.order.last().map(|(_, server)| *server)
    }

    /// Load per weight.
    pub fn load(&self, server: u16) -> f64 {
        self.loads[usize::from(server)]
    }

    /// Load per weight that the server would have with `load` more.
    pub fn load_with(&self, server: u16, load: f64) -> f64 {
        self.load(server) + load / self.weights[usize::from(server)]
    }

    /// Adds load to a server, or takes it away where `load` is negative.
    pub fn add(&mut self, server: u16, load: f64) {
        let before = self.load(server);
        self.order.remove(&(OrderedLoad(before), server));
        let after = self.load_with(server, load);
        self.loads[usize::from(server)] = after;
        self.order.insert((OrderedLoad(after), server));
    }
}
