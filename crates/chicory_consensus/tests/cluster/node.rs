//! One member of the simulated group.

use std::collections::VecDeque;
use std::time::Duration;

use chicory_consensus::{MemberId, PeerMessage, Replica, ReplicaEffect};

use crate::durable_state::DurableState;

pub struct Node {
    pub member: MemberId,
    pub replica: Option<Replica>,
    pub has_disk: bool,
    pub is_paused: bool,
    /// Messages that arrived while the process was paused.
    pub inbox: Vec<PeerMessage>,
    pub durable_state: DurableState,
    /// Effects that the disk has not completed yet, each with its time of completion.
    pub unsynced: VecDeque<(Duration, ReplicaEffect)>,
    /// Applied commands with their indices.
    pub state: Vec<(u64, Vec<u8>)>,
    pub clock_rate_permille: u32,
    pub started_at: Duration,
}

impl Node {
    pub fn new(vm: &str, has_disk: bool, clock_rate_permille: u32) -> Self {
        Self {
            member: MemberId::new(vm, 0),
            replica: None,
            has_disk,
            is_paused: false,
            inbox: Vec::new(),
            durable_state: DurableState::default(),
            unsynced: VecDeque::new(),
            state: Vec::new(),
            clock_rate_permille,
            started_at: Duration::ZERO,
        }
    }

    /// Returns the time on the process's own monotonic clock, which restarts with each process.
    pub fn local_time(&self, now: Duration) -> Duration {
        now.saturating_sub(self.started_at) * self.clock_rate_permille / 1000
            + Duration::from_secs(1)
    }

    /// Returns when the process's timer fires or its disk completes an effect, whichever is first.
    pub fn wakeup(&self) -> Option<Duration> {
        let replica = self.replica.as_ref().filter(|_| !self.is_paused)?;
        let local_wakeup = replica.next_wakeup();
        let synced_at = self.unsynced.front().map(|(at, _)| *at);
        let replica_wakeup = (local_wakeup < Duration::from_secs(1_000_000)).then(|| {
            let since_start = local_wakeup.saturating_sub(Duration::from_secs(1));
            self.started_at
                + since_start * 1000 / self.clock_rate_permille
                + Duration::from_nanos(1)
        });
        replica_wakeup.into_iter().chain(synced_at).min()
    }

    pub fn has_lease(&self, now: Duration) -> bool {
        let replica = self.replica.as_ref();
        replica.is_some_and(|r| r.has_leader_lease(self.local_time(now)))
    }

    /// Encodes the applied commands as the data of a snapshot.
    pub fn encode_state(&self) -> Vec<u8> {
        let mut data = Vec::new();
        for (index, command) in &self.state {
            data.extend(index.to_le_bytes());
            data.extend(command.len().to_le_bytes());
            data.extend(command);
        }
        data
    }

    pub fn decode_state(mut data: &[u8]) -> Vec<(u64, Vec<u8>)> {
        let mut state = Vec::new();
        while !data.is_empty() {
            let index = u64::from_le_bytes(data[..8].try_into().expect("8 bytes"));
            let len = usize::from_le_bytes(data[8..16].try_into().expect("8 bytes"));
            state.push((index, data[16..16 + len].to_vec()));
            data = &data[16 + len..];
        }
        state
    }
}
