//! Compares the runs of slots in a zone's state, and a view updated from it, with a naive model
//! that stores each slot separately.

mod common;

use chicory_ownership::*;
use chicory_types::{FencingToken, SlotRun};
use common::fixtures::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const SLOTS: u16 = 48;
const SERVERS: [&str; 3] = ["s0", "s1", "s2"];

#[derive(Clone, Copy, Debug)]
enum Step {
    Adopt {
        owner: u8,
        run: SlotRun,
        is_moving: bool,
    },
    Assign {
        server: usize,
        run: SlotRun,
    },
    Release {
        server: usize,
        run: SlotRun,
    },
    Confirm {
        server: usize,
        run: SlotRun,
        of_slot: u16,
    },
    Seal {
        run: SlotRun,
        generation: u64,
    },
    UpdateView,
    Restore,
}

fn run() -> impl Strategy<Value = SlotRun> {
    (0..SLOTS, 0..SLOTS).prop_map(|(a, b)| SlotRun::new(a.min(b), a.max(b)))
}

fn step() -> impl Strategy<Value = Step> {
    let server = 0..SERVERS.len();
    prop_oneof![
        2 => (0..3_u8, run(), any::<bool>())
            .prop_map(|(owner, run, is_moving)| Step::Adopt { owner, run, is_moving }),
        4 => (server.clone(), run()).prop_map(|(server, run)| Step::Assign { server, run }),
        3 => (server.clone(), run()).prop_map(|(server, run)| Step::Release { server, run }),
        3 => (server, run(), 0..SLOTS)
            .prop_map(|(server, run, of_slot)| Step::Confirm { server, run, of_slot }),
        1 => (run(), 1..9_u64).prop_map(|(run, generation)| Step::Seal { run, generation }),
        1 => Just(Step::UpdateView),
        1 => Just(Step::Restore),
    ]
}

#[derive(Clone, Debug, Default, PartialEq)]
struct NaiveSlot {
    custody: Option<Custody>,
    is_sealed: bool,
    /// Server, token, and whether the server must release the slot.
    hold: Option<(String, FencingToken, bool)>,
}

impl NaiveSlot {
    fn own(&self) -> Option<&Custody> {
        self.custody.as_ref().filter(|custody| custody.zone == "a")
    }

    fn adopt(&mut self, custody: Custody) {
        let before = self.own().map(|own| own.generation);
        self.custody = Some(custody);
        let after = self.own().map(|own| own.generation);
        if before.is_some() && before != after {
            self.is_sealed = false;
            if let Some((_, _, is_releasing)) = &mut self.hold {
                *is_releasing = true;
            }
        }
    }
}

#[derive(Default)]
struct Naive {
    slots: Vec<NaiveSlot>,
    counter: u64,
    generation: u64,
}

impl Naive {
    fn within(&mut self, run: SlotRun) -> &mut [NaiveSlot] {
        &mut self.slots[usize::from(run.first)..=usize::from(run.last)]
    }

    fn assign(&mut self, run: SlotRun, server: &str) {
        let counter = self.counter + 1;
        let mut has_assigned = false;
        for slot in self.within(run) {
            let generation = slot.own().map(|own| own.generation);
            if let (Some(generation), None, false) = (generation, &slot.hold, slot.is_sealed) {
                let token = FencingToken::new(generation, counter);
                slot.hold = Some((server.to_owned(), token, false));
                has_assigned = true;
            }
        }
        self.counter += u64::from(has_assigned);
    }
}

struct Comparison {
    naive: Naive,
    state: ZoneState,
    /// Slot owners according to the view changes sent to an entry process.
    view: RunMap<SlotOwner>,
    known: u64,
}

impl Comparison {
    fn new() -> Self {
        let mut state = ZoneState::new("a".to_owned(), 1);
        for (index, server) in (1..).zip(SERVERS) {
            let record = server_record(server, BOARD, "a", 1);
            state.apply(index, &ZoneCommand::RegisterServer { record });
        }
        Self {
            naive: Naive {
                slots: vec![NaiveSlot::default(); usize::from(SLOTS)],
                ..Naive::default()
            },
            state,
            view: RunMap::default(),
            known: 0,
        }
    }

    fn apply(&mut self, command: &ZoneCommand) {
        self.state.apply(self.state.applied() + 1, command);
    }

    fn apply_step(&mut self, step: Step) {
        let service = BOARD.to_owned();
        match step {
            Step::Adopt {
                owner,
                run,
                is_moving,
            } => self.adopt(owner, run, is_moving),
            Step::Assign { server, run } => {
                self.naive.assign(run, SERVERS[server]);
                let (server, runs) = (SERVERS[server].to_owned(), vec![run]);
                self.apply(&ZoneCommand::AssignSlots {
                    service,
                    runs,
                    server,
                });
            }
            Step::Release { server, run } => {
                for slot in self.naive.within(run) {
                    if let Some((of, _, is_releasing)) = &mut slot.hold {
                        *is_releasing |= of == SERVERS[server];
                    }
                }
                let (server, runs) = (SERVERS[server].to_owned(), vec![run]);
                self.apply(&ZoneCommand::ReleaseSlots {
                    service,
                    runs,
                    server,
                });
            }
            Step::Confirm {
                server,
                run,
                of_slot,
            } => self.confirm(SERVERS[server], run, of_slot),
            Step::Seal { run, generation } => {
                for slot in self.naive.within(run) {
                    let is_leaving = slot
                        .own()
                        .is_some_and(|own| own.generation == generation && own.moving_to.is_some());
                    slot.is_sealed |= is_leaving;
                }
                self.apply(&ZoneCommand::SealCustody {
                    service,
                    run,
                    generation,
                });
            }
            Step::UpdateView => self.update_view(),
            Step::Restore => self.state = ZoneState::restore(self.state.snapshot()),
        }
    }

    fn adopt(&mut self, owner: u8, run: SlotRun, is_moving: bool) {
        self.naive.generation += 1;
        let custody = Custody {
            zone: ["a", "a", "b"][usize::from(owner)].to_owned(),
            generation: self.naive.generation,
            cause: CustodyCause::Initial,
            moving_to: is_moving.then(|| "b".to_owned()),
        };
        for slot in self.naive.within(run) {
            slot.adopt(custody.clone());
        }
        let slots = (0..SLOTS).zip(&self.naive.slots);
        let listed = slots.filter_map(|(slot, naive)| {
            Some(CustodyRun {
                service: BOARD.to_owned(),
                run: SlotRun::new(slot, slot),
                custody: naive.custody.clone()?,
            })
        });
        let update = CustodyUpdate {
            version: self.naive.generation,
            runs: listed.collect(),
            handovers: Vec::new(),
        };
        self.apply(&ZoneCommand::AdoptCustody { update, at_ms: 0 });
    }

    fn confirm(&mut self, server: &str, run: SlotRun, of_slot: u16) {
        let named = self.naive.slots[usize::from(of_slot)].hold.clone();
        let token = named.map(|(_, token, _)| token).unwrap_or_default();
        for slot in self.naive.within(run) {
            if slot.hold == Some((server.to_owned(), token, true)) {
                slot.hold = None;
            }
        }
        self.apply(&ZoneCommand::ConfirmReleased {
            service: BOARD.to_owned(),
            runs: vec![run],
            server: server.to_owned(),
            token,
        });
    }

    fn update_view(&mut self) {
        let update = self.state.changes_since(self.known);
        self.known = update.version;
        for change in update.changes {
            match change {
                ViewChange::Reset => self.view = RunMap::default(),
                ViewChange::SlotsAssigned { runs, owner, .. } => {
                    for run in runs {
                        self.view.set(run, owner.clone());
                    }
                }
                _ => {}
            }
        }
    }

    fn check(&mut self, is_view_updated: bool) {
        let holds = self.state.holds(&BOARD.to_owned());
        for (slot, naive) in (0..SLOTS).zip(&self.naive.slots) {
            let hold = holds.and_then(|holds| holds.get(slot));
            let described = hold.map(|h| (h.server.clone(), h.token, h.releasing_since.is_some()));
            assert_eq!(described, naive.hold, "slot {slot}");
            if !is_view_updated {
                continue;
            }
            let seen = self
                .view
                .get(slot)
                .filter(|owner| **owner != SlotOwner::Unowned);
            assert_eq!(
                seen.cloned(),
                hold.map(SlotHold::owner),
                "view of slot {slot}"
            );
        }
    }
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn runs_agree_with_a_model_of_single_slots(steps in prop::collection::vec(step(), 1..80)) {
        let mut comparison = Comparison::new();
        for step in steps {
            let is_view_updated = matches!(step, Step::UpdateView);
            comparison.apply_step(step);
            comparison.check(is_view_updated);
        }
        comparison.update_view();
        comparison.check(true);
    }
}
