//! Servers ordered by load.

use std::collections::BTreeSet;

use crate::{PlacementInput, PlacementServer};

/// Load with a total order.
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

/// Servers ordered by load: by load per full weight to choose where to remove slots, and by load
/// per warm weight to choose where to add them.
#[derive(Clone, Debug)]
pub struct LoadQueue {
    servers: Vec<PlacementServer>,
    loads: Vec<f64>,
    by_weight: BTreeSet<(OrderedLoad, u16)>,
    by_warm_weight: BTreeSet<(OrderedLoad, u16)>,
}

impl LoadQueue {
    /// Creates the queue from the current slot owners.
    pub fn new(input: &PlacementInput<'_>) -> Self {
        let mut queue = Self {
            servers: input.servers.to_vec(),
            loads: input.server_loads(),
            by_weight: BTreeSet::new(),
            by_warm_weight: BTreeSet::new(),
        };
        for (server, _) in (0..).zip(input.servers) {
            queue.insert(server);
        }
        queue
    }

    /// Returns the server with the least load per warm weight.
    pub fn least(&self) -> Option<u16> {
        self.by_warm_weight.first().map(|(_, server)| *server)
    }

    /// Returns the server with the greatest load per weight.
    pub fn greatest(&self) -> Option<u16> {
        self.by_weight.last().map(|(_, server)| *server)
    }

    /// Returns the load per weight of a server.
    pub fn load(&self, server: u16) -> f64 {
        let index = usize::from(server);
        self.loads[index] / self.servers[index].weight
    }

    /// Returns `load` divided by the weight of the server.
    pub fn share_of(&self, server: u16, load: f64) -> f64 {
        load / self.servers[usize::from(server)].weight
    }

    /// Returns the load per warm weight that the server would have after adding `load`.
    pub fn warm_load_with(&self, server: u16, load: f64) -> f64 {
        let index = usize::from(server);
        (self.loads[index] + load) / self.servers[index].warm_weight()
    }

    /// Returns the load per weight that the server would have after removing `load`.
    pub fn load_without(&self, server: u16, load: f64) -> f64 {
        let index = usize::from(server);
        (self.loads[index] - load) / self.servers[index].weight
    }

    /// Adds load to a server, or removes it if `load` is negative.
    pub fn add(&mut self, server: u16, load: f64) {
        self.by_weight.remove(&self.key(server));
        self.by_warm_weight.remove(&self.warm_key(server));
        self.loads[usize::from(server)] += load;
        self.insert(server);
    }

    fn insert(&mut self, server: u16) {
        self.by_weight.insert(self.key(server));
        self.by_warm_weight.insert(self.warm_key(server));
    }

    fn key(&self, server: u16) -> (OrderedLoad, u16) {
        (OrderedLoad(self.load(server)), server)
    }

    fn warm_key(&self, server: u16) -> (OrderedLoad, u16) {
        (OrderedLoad(self.warm_load_with(server, 0.0)), server)
    }
}
