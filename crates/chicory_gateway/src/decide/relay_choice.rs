//! Chooses the entry VM that relays a request.

use std::collections::BTreeMap;
use std::time::Duration;

use chicory_directory::RelayPeer;
use chicory_types::{MonoTime, ServiceName, VmId, ZoneName};
use rand::RngExt;
use rand::rngs::StdRng;

use super::relay_need::RelayNeed;

/// Pause after a relay peer has failed or refused. Each further failure doubles it.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause.
const MAX_PAUSE: Duration = Duration::from_millis(800);
/// Consecutive requests whose server a relay peer could not reach after which it is paused. One may
/// be the server's fault.
const UNREACHED_BEFORE_PAUSE: u32 = 2;

/// A time in which a relay peer gets no requests.
#[derive(Clone, Copy, Debug, Default)]
struct Pause {
    length: Duration,
    until: MonoTime,
}

impl Pause {
    fn start(&mut self, now: MonoTime) {
        self.length = (self.length * 2).clamp(FIRST_PAUSE, MAX_PAUSE);
        self.until = now + self.length;
    }
}

/// Requests in flight that a relay peer of the own zone may have more than one of another zone and is
/// still preferred.
const OWN_ZONE_ADVANTAGE: u32 = 2;

/// What is known of one relay peer.
#[derive(Clone, Debug, Default)]
struct PeerState {
    in_flight: u32,
    /// Consecutive requests whose server it could not reach.
    unreached: BTreeMap<ServiceName, u32>,
    pause: Pause,
    /// Pauses of the requests that it has refused, and of others with the same needs.
    refusals: BTreeMap<RelayNeed, Pause>,
}

impl PeerState {
    fn is_paused(&self, now: MonoTime, need: &RelayNeed) -> bool {
        let refusal = self.refusals.get(need);
        now < self.pause.until || refusal.is_some_and(|pause| now < pause.until)
    }
}

/// Chooses the entry VM that relays a request.
#[derive(Clone, Debug, Default)]
pub(super) struct RelayChoice {
    peers: Vec<RelayPeer>,
    states: BTreeMap<VmId, PeerState>,
}

impl RelayChoice {
    /// Sets the entry VMs that may relay. Returns whether they changed.
    pub(super) fn set_peers(&mut self, peers: Vec<RelayPeer>) -> bool {
        let has_changed = self.peers != peers;
        self.states
            .retain(|vm, state| state.in_flight > 0 || peers.iter().any(|peer| peer.vm == *vm));
        self.peers = peers;
        has_changed
    }

    /// Returns the number of entry VMs that may relay.
    pub(super) fn len(&self) -> usize {
        self.peers.len()
    }

    /// Whether no entry VM may relay.
    pub(super) fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Whether there is a relay peer that was not tried and is not paused.
    pub(super) fn is_available(
        &self,
        now: MonoTime,
        need: &RelayNeed,
        tried: &[RelayPeer],
    ) -> bool {
        self.available(now, need, tried).next().is_some()
    }

    /// Returns the relay peers that were not tried and are not paused, and the requests in flight at
    /// each.
    fn available(
        &self,
        now: MonoTime,
        need: &RelayNeed,
        tried: &[RelayPeer],
    ) -> impl Iterator<Item = (&RelayPeer, u32)> {
        self.peers.iter().filter_map(move |peer| {
            let state = self.states.get(&peer.vm);
            let is_paused = state.is_some_and(|state| state.is_paused(now, need));
            let was_tried = tried.iter().any(|tried| tried.vm == peer.vm);
            let in_flight = state.map_or(0, |state| state.in_flight);
            (!is_paused && !was_tried).then_some((peer, in_flight))
        })
    }

    /// Returns the relay peer for a request, if one is available: the one with the fewest requests in
    /// flight, as a slow one has more of them. Peers of the entry VM's own zone are somewhat preferred,
    /// unless one was tried: a zone may be cut off as a whole.
    pub(super) fn choose(
        &self,
        now: MonoTime,
        own_zone: &ZoneName,
        need: &RelayNeed,
        tried: &[RelayPeer],
        rng: &mut StdRng,
    ) -> Option<RelayPeer> {
        let available = self.available(now, need, tried);
        let best = available.min_by_key(|(peer, in_flight)| {
            let is_zone_tried = tried.iter().any(|tried| tried.zone == peer.zone);
            let is_in_other_zone = peer.zone != *own_zone;
            let handicap = u32::from(is_in_other_zone) * OWN_ZONE_ADVANTAGE;
            let order: u32 = rng.random();
            (is_zone_tried, in_flight + handicap, is_in_other_zone, order)
        });
        best.map(|(peer, _)| peer.clone())
    }

    pub(super) fn record_sent(&mut self, peer: &RelayPeer) {
        self.states.entry(peer.vm.clone()).or_default().in_flight += 1;
    }

    pub(super) fn record_end(&mut self, peer: &RelayPeer) {
        let state = self.states.entry(peer.vm.clone()).or_default();
        state.in_flight = state.in_flight.saturating_sub(1);
    }

    /// Records that a relay peer passed an answer of a server on.
    pub(super) fn record_answer(&mut self, peer: &RelayPeer, need: &RelayNeed) {
        let state = self.states.entry(peer.vm.clone()).or_default();
        state.unreached.remove(&need.service);
        state.refusals.remove(need);
        state.pause = Pause::default();
    }

    /// Records that a relay peer could not be reached, or that the connection to it broke.
    pub(super) fn record_failure(&mut self, now: MonoTime, peer: &RelayPeer) {
        let state = self.states.entry(peer.vm.clone()).or_default();
        state.pause.start(now);
    }

    /// Records that a relay peer refused a request.
    pub(super) fn record_refusal(&mut self, now: MonoTime, peer: &RelayPeer, need: &RelayNeed) {
        let state = self.states.entry(peer.vm.clone()).or_default();
        state.refusals.entry(need.clone()).or_default().start(now);
    }

    /// Records that a relay peer could not reach a server.
    pub(super) fn record_unreached(&mut self, now: MonoTime, peer: &RelayPeer, need: &RelayNeed) {
        let state = self.states.entry(peer.vm.clone()).or_default();
        let unreached = state.unreached.entry(need.service.clone()).or_default();
        *unreached += 1;
        if *unreached >= UNREACHED_BEFORE_PAUSE {
            for is_large in [false, true] {
                let service = need.service.clone();
                let need = RelayNeed { service, is_large };
                state.refusals.entry(need).or_default().start(now);
            }
        }
    }
}
