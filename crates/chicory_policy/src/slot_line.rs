//! Divides the slots of a service's servers among senders.

use std::collections::BTreeMap;

use chicory_types::ZoneName;

use crate::{LineSender, LineServer};

/// Demand of a sender that asks for less, relative to the average. Such a sender has a small part
/// as well, because its demand may have just begun.
const MIN_RELATIVE_DEMAND: f64 = 0.05;
/// Smallest part of a slot that is given away; what is less is a rounding error.
const MIN_PART: f64 = 1e-6;

/// The slots of a service's servers on a line, of which each sender gets a part.
///
/// Slots of one zone are adjacent. Within a zone, the line has one slot of each server, then another
/// one of each, and so on. A sender therefore gets slots of several servers, and sees in the answers
/// of its own requests how busy several servers are. In a simulation with 12 senders and 12 servers,
/// at 0.8 of capacity, 0.38 of the requests then arrived at a full server, compared to 0.44 with all
/// slots of a server adjacent.
///
/// # Examples
///
/// ```
/// use chicory_policy::{LineSender, LineServer, SlotLine};
///
/// let server = |id| LineServer { id, zone: "north".into(), slots: 2, speed: 1.0 };
/// let sender = || LineSender { zone: "north".into(), demand: 5.0 };
/// let line = SlotLine::new(vec![server(1), server(2)]);
/// let parts = line.parts(&[sender(), sender()]);
/// assert_eq!(parts, [[(1, 1.0), (2, 1.0)], [(1, 1.0), (2, 1.0)]]);
/// ```
#[derive(Clone, Debug)]
pub struct SlotLine<S> {
    servers: Vec<LineServer<S>>,
    /// Indexes of the servers that the slots on the line belong to.
    slots: Vec<usize>,
}

impl<S: Clone + Ord> SlotLine<S> {
    /// Arranges the slots of servers.
    #[must_use]
    pub fn new(servers: Vec<LineServer<S>>) -> Self {
        let mut zones: BTreeMap<&ZoneName, Vec<usize>> = BTreeMap::new();
        for (index, server) in servers.iter().enumerate() {
            zones.entry(&server.zone).or_default().push(index);
        }
        let mut slots = Vec::new();
        for zone in zones.into_values() {
            let layers = zone.iter().map(|index| servers[*index].slots).max();
            for layer in 0..layers.unwrap_or(0) {
                // Each layer begins one server later, so that neighbours on the line differ from
                // layer to layer.
                let shift = layer as usize % zone.len();
                let order = zone[shift..].iter().chain(&zone[..shift]);
                slots.extend(order.filter(|index| servers[**index].slots > layer));
            }
        }
        Self { servers, slots }
    }

    /// Returns the part of each sender, in the order of the senders: slots of servers, which may be
    /// fractions, in the order of the servers' ids.
    ///
    /// Parts are in proportion to demand, and a slot counts as much as its server is fast. As both
    /// servers and senders are ordered by zone, a part lies in or close to the zone of its sender.
    #[must_use]
    pub fn parts(&self, senders: &[LineSender]) -> Vec<Vec<(S, f64)>> {
        let mut order: Vec<usize> = (0..senders.len()).collect();
        order.sort_by_key(|index| &senders[*index].zone);
        let demands = Self::demands(senders);
        let total_demand: f64 = demands.iter().sum();
        let speeds = self.slots.iter().map(|index| self.servers[*index].speed);
        let total_speed: f64 = speeds.sum();
        let mut parts = vec![BTreeMap::new(); senders.len()];
        let mut slots = self.slots.iter();
        let mut slot = slots.next();
        let mut slot_left = 1.0;
        for sender in order {
            let mut wanted = demands[sender] / total_demand * total_speed;
            while let Some(index) = slot
                && wanted > MIN_PART
            {
                let server = &self.servers[*index];
                let taken = (wanted / server.speed).min(slot_left);
                *parts[sender].entry(server.id.clone()).or_insert(0.0) += taken;
                wanted -= taken * server.speed;
                slot_left -= taken;
                if slot_left < MIN_PART {
                    slot = slots.next();
                    slot_left = 1.0;
                }
            }
        }
        let parts = parts.into_iter();
        parts.map(|part| part.into_iter().collect()).collect()
    }

    /// Returns the demands by which parts are measured: none is zero.
    fn demands(senders: &[LineSender]) -> Vec<f64> {
        let total: f64 = senders.iter().map(|sender| sender.demand).sum();
        let count = u32::try_from(senders.len()).unwrap_or(u32::MAX);
        let average = total / f64::from(count.max(1));
        let least = if average > 0.0 {
            average * MIN_RELATIVE_DEMAND
        } else {
            1.0
        };
        let demands = senders.iter().map(|sender| sender.demand.max(least));
        demands.collect()
    }
}
