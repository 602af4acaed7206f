//! Decides which keys should move to another owner.

use std::collections::{BTreeMap, BTreeSet};

use chicory_types::ServiceName;

use crate::server_share::ServerShare;
use crate::{KeyRange, KeyWeights, PlannedServer, ServerIncarnation, Transfer};

type Shares = BTreeMap<ServerIncarnation, ServerShare>;

/// Keys are moved only from servers that are loaded above the mean by this factor: moves cost
/// callers a short pause, and operators count them.
const OVERLOAD_FACTOR: f64 = 1.25;
/// Part of the mean utilization up to which a server whose capacity has grown is filled.
const GROWTH_FACTOR: f64 = 0.8;
/// Greatest number of pieces into which the keys of a leaving server, or keys without an owner, are
/// cut, so that no other server gets all of their load.
const MAX_PIECES_OF_LEAVING_SERVER: usize = 4;
/// Servers for each transfer that one plan for balance alone may have; the next plan starts from
/// their result.
const SERVERS_PER_BALANCING_TRANSFER: usize = 3;
/// Transfers under way, beyond those of one plan, at which balancing pauses.
const PENDING_TRANSFER_SLACK: usize = 2;
/// Least total weight, in decayed requests, at which load is a reason to move keys.
const MIN_BALANCING_WEIGHT: f64 = 20.0;

/// Plans the transfers of one service.
///
/// # Examples
///
/// ```
/// use chicory_ranges::{KeyWeights, PlannedServer, RangePlanner, ServerIncarnation};
///
/// let servers = vec![
///     PlannedServer { incarnation: ServerIncarnation::new("a", 1), capacity: 3.0 },
///     PlannedServer { incarnation: ServerIncarnation::new("b", 1), capacity: 3.0 },
/// ];
/// let planner = RangePlanner::new("archive".into(), servers, KeyWeights::even());
/// let transfers = planner.plan(&[]);
/// assert_eq!(transfers.len(), 2);
/// ```
#[derive(Debug)]
pub struct RangePlanner {
    service: ServiceName,
    servers: Vec<PlannedServer>,
    weights: KeyWeights,
    growing: BTreeSet<ServerIncarnation>,
}

impl RangePlanner {
    /// Creates a planner from the servers that may own keys and the weight of each key.
    #[must_use]
    pub fn new(service: ServiceName, servers: Vec<PlannedServer>, weights: KeyWeights) -> Self {
        Self {
            service,
            servers,
            weights,
            growing: BTreeSet::new(),
        }
    }

    /// Sets servers whose capacity has just grown. They get keys even if no other server is
    /// overloaded.
    #[must_use]
    pub fn with_growing(mut self, growing: BTreeSet<ServerIncarnation>) -> Self {
        self.growing = growing;
        self
    }

    /// Returns the transfers that are due, given the owner of each range.
    ///
    /// Ranges in transfer count for their next owners.
    #[must_use]
    pub fn plan(&self, owners: &[(KeyRange, ServerIncarnation)]) -> Vec<Transfer> {
        if self.servers.is_empty() {
            return Vec::new();
        }
        if owners.is_empty() {
            return self.initial_transfers();
        }
        let mut shares = self.shares(owners);
        let mut transfers = self.assign_orphans(owners, &mut shares);
        if transfers.is_empty() {
            transfers = self.balance(owners, &mut shares);
        }
        transfers
    }

    /// Returns the number of transfers under way at which none should be added for balance alone.
    #[must_use]
    pub fn max_pending_transfers(&self) -> usize {
        self.max_balancing_transfers() + PENDING_TRANSFER_SLACK
    }

    fn max_balancing_transfers(&self) -> usize {
        self.servers.len().div_ceil(SERVERS_PER_BALANCING_TRANSFER)
    }

    /// Divides all keys in proportion to the servers' capacity.
    fn initial_transfers(&self) -> Vec<Transfer> {
        let mut rest = Some(KeyRange::ALL);
        let mut capacity_left: f64 = self.servers.iter().map(|server| server.capacity).sum();
        let mut transfers = Vec::new();
        for (index, server) in self.servers.iter().enumerate() {
            let Some(range) = rest else { break };
            let is_last = index + 1 == self.servers.len();
            let weight = self.weights.of(range) * server.capacity / capacity_left;
            let part = if is_last {
                range
            } else {
                self.weights.lower_part(range, weight)
            };
            capacity_left -= server.capacity;
            rest = range.without(part)[1];
            transfers.push(self.transfer(part, None, &server.incarnation));
        }
        transfers
    }

    /// Returns the share of each server that may own keys.
    fn shares(&self, owners: &[(KeyRange, ServerIncarnation)]) -> Shares {
        let without_load = |server: &PlannedServer| ServerShare {
            load: 0.0,
            capacity: server.capacity,
        };
        let servers = self.servers.iter();
        let mut shares: Shares = servers
            .map(|server| (server.incarnation.clone(), without_load(server)))
            .collect();
        for (range, owner) in owners {
            if let Some(share) = shares.get_mut(owner) {
                share.load += self.weights.of(*range);
            }
        }
        shares
    }

    /// Assigns keys that have no owner, and keys of servers that may own none.
    fn assign_orphans(
        &self,
        owners: &[(KeyRange, ServerIncarnation)],
        shares: &mut Shares,
    ) -> Vec<Transfer> {
        let mut orphans: Vec<(KeyRange, Option<ServerIncarnation>)> = Vec::new();
        let gaps = gaps(owners);
        orphans.extend(gaps.into_iter().map(|range| (range, None)));
        let of_ineligible = owners
            .iter()
            .filter(|(_, owner)| !shares.contains_key(owner));
        orphans.extend(of_ineligible.map(|(range, owner)| (*range, Some(owner.clone()))));
        let mut transfers = Vec::new();
        for (range, from) in orphans {
            for piece in self.pieces(range) {
                let Some(to) = least_loaded(shares) else {
                    break;
                };
                if let Some(share) = shares.get_mut(&to) {
                    share.load += self.weights.of(piece);
                }
                transfers.push(self.transfer(piece, from.clone(), &to));
            }
        }
        transfers
    }

    /// Cuts a range into pieces of about a third of a server's fair share, as far as
    /// [`MAX_PIECES_OF_LEAVING_SERVER`] allows.
    fn pieces(&self, range: KeyRange) -> Vec<KeyRange> {
        let load_per_capacity = self.weights.of(KeyRange::ALL) / self.total_capacity();
        let mean_capacity = self.total_capacity() / self.server_count();
        let limit = load_per_capacity * mean_capacity / 3.0;
        let mut pieces = Vec::new();
        let mut rest = range;
        while pieces.len() + 1 < MAX_PIECES_OF_LEAVING_SERVER && self.weights.of(rest) > limit * 1.5
        {
            let part = self.weights.lower_part(rest, limit);
            let Some(above) = rest.without(part)[1] else {
                break;
            };
            pieces.push(part);
            rest = above;
        }
        pieces.push(rest);
        pieces
    }

    /// Moves load from the servers with the most to those with the least.
    fn balance(
        &self,
        owners: &[(KeyRange, ServerIncarnation)],
        shares: &mut Shares,
    ) -> Vec<Transfer> {
        let total = self.weights.of(KeyRange::ALL);
        let mean_utilization = total / self.total_capacity();
        let mut owners = owners.to_vec();
        let mut transfers = Vec::new();
        let mut immovable: BTreeSet<ServerIncarnation> = BTreeSet::new();
        while transfers.len() < self.max_balancing_transfers() {
            let Some(from) = most_loaded(shares, &immovable) else {
                break;
            };
            let has_weight = total >= MIN_BALANCING_WEIGHT;
            let least = self.least_grown(shares, mean_utilization);
            let least = least.filter(|_| has_weight);
            let is_growing = least.is_some();
            let Some(to) = least.or_else(|| least_loaded(shares)) else {
                break;
            };
            let (from_share, to_share) = (shares[&from], shares[&to]);
            let has_no_load = to_share.load <= 0.0;
            // Small counts differ by chance alone, so one standard deviation is tolerated.
            let fair_load = mean_utilization * from_share.capacity;
            let has_excess = from_share.load > fair_load * OVERLOAD_FACTOR + from_share.load.sqrt();
            let is_overloaded = has_weight && has_excess;
            if from == to || !(has_no_load || is_overloaded || is_growing) {
                break;
            }
            let capacities = from_share.capacity + to_share.capacity;
            let difference = from_share.utilization() - to_share.utilization();
            let excess = difference * from_share.capacity * to_share.capacity / capacities;
            let Some(range) = self.part_to_move(&owners, &from, excess) else {
                // A single hot key can't be divided; other servers may still have keys to move.
                immovable.insert(from);
                continue;
            };
            if let Some(share) = shares.get_mut(&from) {
                share.load -= self.weights.of(range);
            }
            if let Some(share) = shares.get_mut(&to) {
                share.load += self.weights.of(range);
            }
            change_owner(&mut owners, range, &from, &to);
            transfers.push(self.transfer(range, Some(from), &to));
        }
        transfers
    }

    /// Returns the server with the least load among those whose capacity has grown and that are not
    /// filled yet.
    fn least_grown(&self, shares: &Shares, mean_utilization: f64) -> Option<ServerIncarnation> {
        let grown = shares.iter().filter(|(incarnation, share)| {
            self.growing.contains(*incarnation)
                && share.utilization() < mean_utilization * GROWTH_FACTOR
        });
        let least =
            grown.min_by(|one, other| one.1.utilization().total_cmp(&other.1.utilization()));
        least.map(|(incarnation, _)| incarnation.clone())
    }

    /// Returns the part of a server's keys whose load is close to `excess`, with as few
    /// keys as possible.
    fn part_to_move(
        &self,
        owners: &[(KeyRange, ServerIncarnation)],
        from: &ServerIncarnation,
        excess: f64,
    ) -> Option<KeyRange> {
        let own = owners.iter().filter(|(_, owner)| owner == from);
        let parts = own.filter_map(|(range, _)| self.densest_end(*range, excess));
        parts
            .filter(|part| self.weights.of(*part) <= excess * 1.5)
            .max_by(|one, other| self.density(*one).total_cmp(&self.density(*other)))
    }

    /// Returns the denser end of a range with about the given weight, or the whole range if that
    /// weighs less.
    fn densest_end(&self, range: KeyRange, weight: f64) -> Option<KeyRange> {
        let whole = self.weights.of(range);
        if whole <= weight * 1.2 {
            return Some(range);
        }
        if range.key_count() < 2 {
            return None;
        }
        let lower = self.weights.lower_part(range, weight);
        let below = self.weights.lower_part(range, whole - weight);
        let upper = range.without(below)[1]?;
        let is_lower = self.density(lower) >= self.density(upper);
        Some(if is_lower { lower } else { upper })
    }

    fn density(&self, range: KeyRange) -> f64 {
        self.weights.of(range) / f64::from(range.key_count())
    }

    fn total_capacity(&self) -> f64 {
        self.servers.iter().map(|server| server.capacity).sum()
    }

    fn server_count(&self) -> f64 {
        u32::try_from(self.servers.len()).map_or(1.0, f64::from)
    }

    fn transfer(
        &self,
        range: KeyRange,
        from: Option<ServerIncarnation>,
        to: &ServerIncarnation,
    ) -> Transfer {
        Transfer {
            service: self.service.clone(),
            range,
            from,
            to: to.clone(),
        }
    }
}

fn most_loaded(
    shares: &Shares,
    immovable: &BTreeSet<ServerIncarnation>,
) -> Option<ServerIncarnation> {
    let shares = shares
        .iter()
        .filter(|(incarnation, _)| !immovable.contains(incarnation));
    let most = shares.max_by(|one, other| one.1.utilization().total_cmp(&other.1.utilization()));
    most.map(|(incarnation, _)| incarnation.clone())
}

fn least_loaded(shares: &Shares) -> Option<ServerIncarnation> {
    let shares = shares.iter();
    let least = shares.min_by(|one, other| one.1.utilization().total_cmp(&other.1.utilization()));
    least.map(|(incarnation, _)| incarnation.clone())
}

/// Returns the keys that no range covers.
fn gaps(owners: &[(KeyRange, ServerIncarnation)]) -> Vec<KeyRange> {
    let mut free = vec![KeyRange::ALL];
    for (range, _) in owners {
        let parts = free.into_iter().flat_map(|part| part.without(*range));
        free = parts.flatten().collect();
    }
    free
}

/// Gives part of one range of `from` to another server.
fn change_owner(
    owners: &mut Vec<(KeyRange, ServerIncarnation)>,
    range: KeyRange,
    from: &ServerIncarnation,
    to: &ServerIncarnation,
) {
    let is_split =
        |(own, owner): &(KeyRange, ServerIncarnation)| owner == from && own.covers(range);
    let Some(position) = owners.iter().position(is_split) else {
        return;
    };
    let (own, _) = owners.swap_remove(position);
    let rest = own.without(range).into_iter().flatten();
    owners.extend(rest.map(|part| (part, from.clone())));
    owners.push((range, to.clone()));
}
