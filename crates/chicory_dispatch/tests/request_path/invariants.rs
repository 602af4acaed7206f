//! Invariants that must hold for random sequences of events.
//!
//! [`World`] itself asserts at each step that nothing is written without a lease, that the limits
//! of requests in flight and of connections hold, that each request gets one final effect, that
//! each claim of an order leads to at most one write, and that no request that ran is refused as
//! not run. Its zone group is a naive implementation of at-most-once, which serves as the reference
//! for claims.

use chicory_dispatch::{Event, Outcome, ProbeResult, RelayFailure, RelayLoad, RequestPathConfig};
use chicory_ownership::{ClaimAnswer, ViewChange};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

use crate::support::*;

const SERVERS: [(&str, &str); 5] = [
    (BOARD, "b1"),
    (LEDGER, "l1"),
    (LEDGER, "l2"),
    (PLANS, "p1"),
    (PLANS, "p2"),
];
const MODES: [Mode; 9] = [
    Mode::Up,
    Mode::Up,
    Mode::Frozen,
    Mode::Shedding,
    Mode::Failing,
    Mode::WrongAnswers,
    Mode::TruncatedAnswers,
    Mode::BreakingConnections,
    Mode::CrashOn(5),
];

#[derive(Clone, Debug)]
enum Step {
    Request(u8, u8),
    Order(u8),
    Burst(u8),
    Run(u16),
    ClockJump(u16),
    SetMode(u8, u8),
    Crash(u8),
    StallConnections(u8),
    GroupReachable(bool),
    GroupAnswersClaims(bool),
    Leave(u8),
    Dispatcher(u8, bool),
    MoveCustody(bool),
    RelayFails(u8),
    RelayAnswers(u8, bool),
    UnexpectedEvent(u8, u8),
    Drain(u8, bool),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (any::<u8>(), any::<u8>()).prop_map(|(service, key)| Step::Request(service, key)),
        4 => any::<u8>().prop_map(|key| Step::Order(key % 8)),
        1 => any::<u8>().prop_map(Step::Burst),
        8 => (1_u16..400).prop_map(Step::Run),
        1 => (1_u16..4_000).prop_map(Step::ClockJump),
        2 => (any::<u8>(), any::<u8>()).prop_map(|(server, mode)| Step::SetMode(server, mode)),
        1 => any::<u8>().prop_map(Step::Crash),
        1 => any::<u8>().prop_map(Step::StallConnections),
        1 => any::<bool>().prop_map(Step::GroupReachable),
        1 => any::<bool>().prop_map(Step::GroupAnswersClaims),
        1 => any::<u8>().prop_map(Step::Leave),
        1 => (any::<u8>(), any::<bool>()).prop_map(|(server, own)| Step::Dispatcher(server, own)),
        1 => any::<bool>().prop_map(Step::MoveCustody),
        1 => any::<u8>().prop_map(Step::RelayFails),
        1 => (any::<u8>(), any::<bool>()).prop_map(|(back, ran)| Step::RelayAnswers(back, ran)),
        2 => (any::<u8>(), any::<u8>()).prop_map(|(kind, back)| Step::UnexpectedEvent(kind, back)),
        1 => (any::<u8>(), any::<bool>()).prop_map(|(server, on)| Step::Drain(server, on)),
    ]
}

/// A world with the state that the steps share.
struct Run {
    world: World,
    next: u64,
    epoch: u64,
}

impl Run {
    fn name(server: u8) -> &'static str {
        SERVERS[usize::from(server) % SERVERS.len()].1
    }

    fn id(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    fn request(&mut self, service: u8, key: u8) {
        let id = self.id();
        let service = [BOARD, PLANS][usize::from(service) % 2];
        let mut request = head(id, service);
        request.key = Some(format!("key-{}", key % 16));
        request.deadline = Some(ms(50 + u64::from(key) * 5));
        request.is_replayable = !key.is_multiple_of(3);
        self.world.arrive(request);
    }

    fn answer_relay(&mut self, back: u8, ran: bool) {
        let request = self.next.saturating_sub(u64::from(back % 8));
        let outcome = if ran { Outcome::Ran } else { Outcome::NotRun };
        self.world.feed(Event::RelayAnswered {
            request,
            outcome,
            retry_after: Some(ms(u64::from(back))),
            load: RelayLoad::default(),
        });
        self.world.feed(Event::RelayFinished { request });
    }

    /// Delivers events that are late, duplicated or out of order.
    fn unexpected_event(&mut self, kind: u8, back: u8) {
        let request = self.next.saturating_sub(u64::from(back % 8));
        let connection = u64::from(back);
        let server = Self::name(back).to_owned();
        let result = if back.is_multiple_of(2) {
            ProbeResult::TimedOut
        } else {
            ProbeResult::Answered { says_healthy: true }
        };
        let answer = ClaimAnswer::NotLeader { leader: None };
        self.world.feed(match kind % 6 {
            0 => Event::RenewFailed,
            1 => Event::Connected { connection },
            2 => Event::ClaimFailed { request },
            3 => Event::ClaimAnswered { request, answer },
            4 => Event::RelayFinished { request },
            _ => Event::Probed { server, result },
        });
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Request(service, key) => self.request(service, key),
            Step::Order(key) => {
                let id = self.id();
                self.world.arrive(order(id, &format!("order-{key}")));
            }
            Step::Burst(service) => (0..60).for_each(|key| self.request(service, key)),
            Step::Run(span) => self.world.run_for(ms(u64::from(span))),
            Step::ClockJump(span) => self.world.now += ms(u64::from(span)),
            Step::SetMode(server, mode) => {
                let mode = MODES[usize::from(mode) % MODES.len()];
                self.world.server(Self::name(server)).mode = mode;
            }
            Step::Crash(server) => self.world.crash(Self::name(server)),
            Step::StallConnections(server) => self.world.stall_connections(Self::name(server)),
            Step::GroupReachable(is_reachable) => self.world.group.is_reachable = is_reachable,
            Step::GroupAnswersClaims(answers) => self.world.group.answers_claims = answers,
            Step::Leave(back) => {
                let request = self.next.saturating_sub(u64::from(back % 8));
                self.world.leave(request);
            }
            Step::Dispatcher(server, is_own) => {
                self.epoch += 1;
                let vm = if is_own { VM } else { PEER };
                let change = dispatcher(Self::name(server), Some(vm), self.epoch);
                self.world.group.pending.push(change);
            }
            Step::MoveCustody(is_here) => {
                let zone = if is_here { ZONE } else { FAR_ZONE };
                self.world.group.pending.push(custody(BOARD, zone));
            }
            Step::RelayFails(back) => {
                let request = self.next.saturating_sub(u64::from(back % 8));
                let failure = RelayFailure::NothingSent;
                self.world.feed(Event::RelayFailed { request, failure });
            }
            Step::RelayAnswers(back, ran) => self.answer_relay(back, ran),
            Step::UnexpectedEvent(kind, back) => self.unexpected_event(kind, back),
            Step::Drain(server, draining) => {
                let (service, name) = SERVERS[usize::from(server) % SERVERS.len()];
                let mut changed = record(service, name);
                changed.draining = draining;
                self.world
                    .group
                    .pending
                    .push(ViewChange::ServerUpserted(changed));
            }
        }
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 300,
        rng_seed: RngSeed::Fixed(20_261_203),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn random_events_break_nothing(
        steps in prop::collection::vec(step(), 1..120),
        seed in any::<u64>(),
    ) {
        let config = RequestPathConfig::builder(VM, ZONE).seed(seed).build();
        let mut run = Run {
            world: World::with_config(config, &SERVERS),
            next: 0,
            epoch: 10,
        };
        for step in &steps {
            run.apply(step);
        }
        run.world.run_for(ms(10_000));
        run.world.feed(Event::StopRequested);
        run.world.run_for(ms(10_000));
        prop_assert!(run.world.is_stopped);
        prop_assert!(
            run.world.all_ended(),
            "requests without a final effect: {}",
            run.world.path.open_requests()
        );
    }
}
