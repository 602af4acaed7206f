//! Which entry VMs relay requests for which others.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use chicory_directory::RelayPeer;
use chicory_types::{VmId, ZoneName, fingerprint_of};

/// Greatest number of relay peers of one entry VM. Each sends to the one with the fewest requests in
/// flight, which evens out what the entry VMs that relay get if there are several to choose from.
const MAX_RELAYS: usize = 8;
/// Number of them that are in other availability zones if possible: a whole zone may be cut off,
/// and one of the others may fail at the same time.
const RELAYS_OF_OTHER_ZONES: usize = 4;
/// Greatest multiple of the even share of entry VMs that have the same first relay peer.
const MAX_SHARES: usize = 2;

/// Assigns relay peers to some entry VMs, so that these prefer different ones.
///
/// Each entry VM orders the peers by their zone and by a hash of both ids. A change of one peer
/// then concerns few entry VMs, and the peers of one that is cut off share its load with those of
/// the next one. The first place is limited, because a hash alone is uneven when there are few.
#[derive(Debug)]
pub(super) struct RelayAssignment<'a> {
    peers: &'a [RelayPeer],
    /// Number of entry VMs that prefer each peer so far.
    first_counts: BTreeMap<&'a VmId, usize>,
    max_first_count: usize,
}

impl<'a> RelayAssignment<'a> {
    /// Prepares the assignment of `peers`, all of which can relay, to `vm_count` entry VMs.
    pub(super) fn new(peers: &'a [RelayPeer], vm_count: usize) -> Self {
        Self {
            peers,
            first_counts: BTreeMap::new(),
            max_first_count: (vm_count * MAX_SHARES).div_ceil(peers.len().max(1)),
        }
    }

    /// Returns the relay peers of an entry VM, the preferred one first.
    pub(super) fn assign(&mut self, vm: &VmId, zone: &ZoneName) -> Vec<RelayPeer> {
        let mut others = self.ordered_for(vm, zone);
        let Some(first) = self.take_first(&mut others) else {
            return Vec::new();
        };
        let (own_zone, other_zones): (Vec<_>, Vec<_>) =
            others.into_iter().partition(|peer| peer.zone == *zone);
        let places = MAX_RELAYS - 1;
        let wanted = RELAYS_OF_OTHER_ZONES - usize::from(first.zone != *zone);
        let own_count = places - wanted.min(other_zones.len());
        let others = own_zone.into_iter().take(own_count).chain(other_zones);
        let relays = std::iter::once(first).chain(others.take(places));
        relays.cloned().collect()
    }

    /// Returns the peers of an entry VM, those of its zone first.
    fn ordered_for(&self, vm: &VmId, zone: &ZoneName) -> Vec<&'a RelayPeer> {
        let mut others: Vec<_> = self.peers.iter().filter(|peer| peer.vm != *vm).collect();
        others.sort_by_cached_key(|peer| {
            let hash = fingerprint_of(&[vm.as_bytes(), peer.vm.as_bytes()]);
            (peer.zone != *zone, Reverse(hash))
        });
        others
    }

    /// Takes the first peer that not too many others prefer.
    fn take_first(&mut self, others: &mut Vec<&'a RelayPeer>) -> Option<&'a RelayPeer> {
        let has_room = |peer: &&RelayPeer| {
            let count = self.first_counts.get(&peer.vm).copied().unwrap_or(0);
            count < self.max_first_count
        };
        if others.is_empty() {
            return None;
        }
        let first = others.remove(others.iter().position(has_room).unwrap_or(0));
        *self.first_counts.entry(&first.vm).or_default() += 1;
        Some(first)
    }
}
