//! Model of the replicated groups, each with a log, a leader and pending commands.

use std::time::Duration;

use chicory_ownership::*;

use super::clock_model::ClockModel;

/// Group of one zone.
pub struct ZoneGroup {
    pub state: ZoneState,
    pub leader: Option<ZoneLeader>,
    pub clock: ClockModel,
    pub term: u64,
    /// Proposed commands with the time at which they are applied.
    pub pending: Vec<(Duration, ZoneCommand)>,
    pub is_cut_off: bool,
    pub next_election: Duration,
    pub next_plan: Duration,
    pub next_sync: Duration,
}

impl ZoneGroup {
    pub fn new(zone: &str, group_epoch: u64) -> Self {
        Self {
            state: ZoneState::new(zone.to_owned(), group_epoch),
            leader: None,
            clock: ClockModel::new(0),
            term: 0,
            pending: Vec::new(),
            is_cut_off: false,
            next_election: Duration::ZERO,
            next_plan: Duration::ZERO,
            next_sync: Duration::ZERO,
        }
    }

    /// Removes the leader. The first `kept` of its pending commands still enter the log.
    pub fn lose_leader(&mut self, now: Duration, kept: usize, election: Duration) {
        self.leader = None;
        self.pending.truncate(kept);
        self.next_election = now + election;
    }

    /// Applies the commands that earlier terms left in the log, then elects a leader.
    pub fn elect(&mut self, now: Duration, clock: ClockModel) -> Vec<(ZoneCommand, ZoneOutcome)> {
        let outcomes = self.apply_until(Duration::MAX);
        self.term += 1;
        self.clock = clock;
        self.leader = Some(ZoneLeader::new(clock.at(now), ZoneLeaderConfig::default()));
        outcomes
    }

    pub fn apply_until(&mut self, now: Duration) -> Vec<(ZoneCommand, ZoneOutcome)> {
        let mut outcomes = Vec::new();
        while self.pending.first().is_some_and(|(at, _)| *at <= now) {
            let (_, command) = self.pending.remove(0);
            let outcome = self.state.apply(self.state.applied() + 1, &command);
            outcomes.push((command, outcome));
        }
        outcomes
    }

    pub fn propose(&mut self, at: Duration, commands: Vec<ZoneCommand>) {
        // Commands enter the log in the order in which they were proposed.
        let at = self.pending.last().map_or(at, |(last, _)| at.max(*last));
        self.pending.extend(commands.into_iter().map(|c| (at, c)));
    }
}

/// Global group.
pub struct GlobalGroup {
    pub state: GlobalState,
    pub leader: Option<GlobalLeader>,
    pub clock: ClockModel,
    pub pending: Vec<(Duration, GlobalCommand)>,
    pub next_election: Duration,
    pub next_plan: Duration,
}

impl GlobalGroup {
    pub fn new() -> Self {
        Self {
            state: GlobalState::default(),
            leader: None,
            clock: ClockModel::new(0),
            pending: Vec::new(),
            next_election: Duration::ZERO,
            next_plan: Duration::ZERO,
        }
    }

    pub fn lose_leader(&mut self, now: Duration, kept: usize, election: Duration) {
        self.leader = None;
        self.pending.truncate(kept);
        self.next_election = now + election;
    }

    pub fn elect(
        &mut self,
        now: Duration,
        clock: ClockModel,
    ) -> Vec<(GlobalCommand, GlobalOutcome)> {
        let outcomes = self.apply_until(Duration::MAX);
        self.clock = clock;
        self.leader = Some(GlobalLeader::new(
            clock.at(now),
            GlobalLeaderConfig::default(),
        ));
        outcomes
    }

    pub fn apply_until(&mut self, now: Duration) -> Vec<(GlobalCommand, GlobalOutcome)> {
        let mut outcomes = Vec::new();
        while self.pending.first().is_some_and(|(at, _)| *at <= now) {
            let (_, command) = self.pending.remove(0);
            let outcome = self.state.apply(self.state.applied() + 1, &command);
            outcomes.push((command, outcome));
        }
        outcomes
    }

    pub fn propose(&mut self, at: Duration, commands: Vec<GlobalCommand>) {
        let at = self.pending.last().map_or(at, |(last, _)| at.max(*last));
        self.pending.extend(commands.into_iter().map(|c| (at, c)));
    }
}
