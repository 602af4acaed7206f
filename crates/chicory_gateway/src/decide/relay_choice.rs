//! Chooses the entry VM that relays a request.

use std::collections::BTreeMap;
use std::time::Duration;

use chicory_directory::RelayPeer;
use chicory_types::{MonoTime, VmId, ZoneName};
use rand::RngExt;
use rand::rngs::StdRng;

/// Pause after a relay peer has failed or refused. Each further failure doubles it.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause.
const MAX_PAUSE: Duration = Duration::from_millis(800);
/// Consecutive requests whose server a relay peer could not reach after which it is paused. One may
/// be the server's fault.
const UNREACHED_BEFORE_PAUSE: u32 = 2;

/// What is known of one relay peer.
#[derive(Clone, Copy, Debug, Default)]
struct PeerState {
    in_flight: u32,
    unreached: u32,
    pause: Duration,
    paused_until: MonoTime,
}

impl PeerState {
    fn start_pause(&mut self, now: MonoTime) {
        self.pause = (self.pause * 2).clamp(FIRST_PAUSE, MAX_PAUSE);
        self.paused_until = now + self.pause;
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
    pub(super) fn is_available(&self, now: MonoTime, tried: &[RelayPeer]) -> bool {
        self.available(now, tried).next().is_some()
    }

    fn available(
        &self,
        now: MonoTime,
        tried: &[RelayPeer],
    ) -> impl Iterator<Item = (&RelayPeer, PeerState)> {
        let peers = self.peers.iter().map(|peer| {
            let state = self.states.get(&peer.vm).copied();
            (peer, state.unwrap_or_default())
        });
        peers.filter(move |(peer, state)| {
            now >= state.paused_until && tried.iter().all(|tried| tried.vm != peer.vm)
        })
    }

    /// Returns the relay peer for a request, if one is available. Peers of the entry VM's own zone
    /// are preferred, unless one was tried: a zone may be cut off as a whole.
    pub(super) fn choose(
        &self,
        now: MonoTime,
        own_zone: &ZoneName,
        tried: &[RelayPeer],
        rng: &mut StdRng,
    ) -> Option<RelayPeer> {
        let best = self.available(now, tried).min_by_key(|(peer, state)| {
            let is_zone_tried = tried.iter().any(|tried| tried.zone == peer.zone);
            let is_in_other_zone = peer.zone != *own_zone;
            let order: u32 = rng.random();
            (is_zone_tried, is_in_other_zone, state.in_flight, order)
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
    pub(super) fn record_answer(&mut self, peer: &RelayPeer) {
        let state = self.states.entry(peer.vm.clone()).or_default();
        state.unreached = 0;
        state.pause = Duration::ZERO;
    }

    /// Records that a relay peer failed or refused.
    pub(super) fn record_failure(&mut self, now: MonoTime, peer: &RelayPeer) {
        let state = self.states.entry(peer.vm.clone()).or_default();
        state.start_pause(now);
    }

    /// Records that a relay peer could not reach a server.
    pub(super) fn record_unreached(&mut self, now: MonoTime, peer: &RelayPeer) {
        let state = self.states.entry(peer.vm.clone()).or_default();
        state.unreached += 1;
        if state.unreached >= UNREACHED_BEFORE_PAUSE {
            state.start_pause(now);
        }
    }
}
