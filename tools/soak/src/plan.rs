//! The plan of a run, generated from its seed.

use std::fmt;
use std::time::Duration;

use platform_stand_ins::{LoadStatement, ServerBehaviour};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::cluster::{CONTROL_VMS, Vm};
use crate::cut_manner::CutManner;
use crate::fault::Fault;
use crate::fault_kind::FaultKind;
use crate::fleet::KEYED_SERVERS;
use crate::successor::Successor;

/// Time in which the faults of a round begin.
const FAULT_PHASE: Duration = Duration::from_secs(8);
/// Time for the deployment to recover, after which guarantees with a time bound hold again.
const RECOVERY_PHASE: Duration = Duration::from_secs(8);
/// Length of the planned work of a round.
const PLANNED_WORK_PHASE: Duration = Duration::from_secs(6);
/// Time in which some entry VMs are cut off from all backend servers, without other faults.
const CUT_PHASE: Duration = Duration::from_secs(12);
/// Length of a round.
const ROUND: Duration = FAULT_PHASE
    .saturating_add(RECOVERY_PHASE)
    .saturating_add(PLANNED_WORK_PHASE)
    .saturating_add(CUT_PHASE);

/// Time of an evacuation without other faults than those that follow its acknowledgement. It begins
/// once the cuts no longer excuse anything.
const EVACUATION_PHASE: Duration = Duration::from_secs(22);

/// Number of notices of servers that begin beside the faults of a round.
const NOTICES: usize = 4;
/// Number of cuts of control VMs beside the faults of a round.
const CONTROL_CUTS: usize = 2;

/// Number of servers that state their load falsely beside the faults of a round.
const FALSE_LOADS: usize = 3;
/// Number of servers that are replaced beside the planned work of a round, in addition to one.
const COLD_STARTS: usize = 2;
/// First seed whose runs have evacuations, servers that start cold and servers that state their load.
/// Earlier seeds are regression cases.
const FIRST_SEED_WITH_EVACUATIONS: u64 = 10_000;

/// The faults and planned work of a run, each with its time.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Faults and planned work with the time at which each begins, sorted by time.
    pub(crate) steps: Vec<(Duration, Fault)>,
    /// Time at which the last round is over.
    pub(crate) end: Duration,
}

impl Plan {
    /// Creates the plan of a seed. Equal arguments give equal plans.
    #[must_use]
    pub fn from_seed(seed: u64, rounds: u32, entry_count: u8, server_count: usize) -> Self {
        let mut planner = Planner {
            rng: StdRng::seed_from_u64(seed),
            entry_count,
            server_count,
            has_wiped: false,
            steps: Vec::new(),
        };
        let has_evacuations = Self::has_evacuations(seed);
        let round_length = if has_evacuations {
            ROUND + EVACUATION_PHASE
        } else {
            ROUND
        };
        let mut at = Duration::ZERO;
        for _ in 0..rounds {
            planner.add_faults(at);
            at += FAULT_PHASE + RECOVERY_PHASE;
            planner.add_planned_work(at);
            at += round_length.saturating_sub(FAULT_PHASE + RECOVERY_PHASE);
        }
        // Newer kinds are drawn after all else, so that a seed has the same faults as before there
        // were any.
        for round in 0..rounds {
            planner.add_notices(round_length * round);
        }
        for round in 0..rounds {
            planner.add_restarts(round_length * round);
        }
        for round in 0..rounds {
            planner.add_entry_cuts(round_length * round);
        }
        for round in 0..rounds {
            planner.add_control_cuts(round_length * round);
        }
        if has_evacuations {
            for round in 0..rounds {
                planner.add_evacuations(round_length * round);
                planner.add_false_load(round_length * round);
                planner.add_cold_starts(round_length * round);
            }
        }
        let mut steps = planner.steps;
        steps.sort_by_key(|(at, _)| *at);
        Self { steps, end: at }
    }

    /// Whether the runs of a seed have evacuations, servers that start cold and servers that state
    /// their load.
    #[must_use]
    pub fn has_evacuations(seed: u64) -> bool {
        seed >= FIRST_SEED_WITH_EVACUATIONS
    }

    /// Removes all faults and planned work that are not of this kind.
    #[must_use]
    pub fn only(mut self, kind: FaultKind) -> Self {
        self.steps.retain(|(_, fault)| fault.kind() == Some(kind));
        self
    }
}

impl fmt::Display for Plan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (at, fault) in &self.steps {
            writeln!(f, "{:.3} {fault:?}", at.as_secs_f64())?;
        }
        Ok(())
    }
}

struct Planner {
    rng: StdRng,
    entry_count: u8,
    server_count: usize,
    /// Whether a disk was wiped. A plan wipes one disk only, as the deployment tolerates the loss
    /// of no more.
    has_wiped: bool,
    steps: Vec<(Duration, Fault)>,
}

impl Planner {
    fn add_faults(&mut self, begin: Duration) {
        let mut at = begin;
        while at < begin + FAULT_PHASE {
            let fault = self.fault();
            self.steps.push((at, fault));
            at += self.millis(50..1500);
        }
    }

    /// Adds notices of servers beside faults, and one beside planned work.
    fn add_notices(&mut self, begin: Duration) {
        for _ in 0..NOTICES {
            let at = begin + self.millis(0..6000);
            let step = self.notice();
            self.steps.push((at, step));
        }
        let at = begin + FAULT_PHASE + RECOVERY_PHASE;
        let step = self.notice();
        self.steps.push((at, step));
    }

    /// Adds restarts in series beside faults, mostly of servers that own keys. They come in turn, as
    /// a server that is down can't be restarted.
    fn add_restarts(&mut self, begin: Duration) {
        let mut at = begin + self.millis(0..1000);
        let mut keyed = self.rng.random_range(0..KEYED_SERVERS);
        while at < begin + FAULT_PHASE {
            let server = if self.rng.random_bool(0.8) {
                keyed = (keyed + 1) % KEYED_SERVERS;
                keyed
            } else {
                self.server()
            };
            let fault = Fault::RestartServer {
                server,
                successor: match self.rng.random_range(0..3) {
                    0 => Successor::NewId,
                    1 => Successor::NewIdSameStart,
                    _ => Successor::SameId,
                },
                down: self.millis(200..1500),
            };
            self.steps.push((at, fault));
            at += self.millis(100..1500);
        }
    }

    /// Adds a short cut of entry VMs beside faults, and a long one without them.
    fn add_entry_cuts(&mut self, begin: Duration) {
        let at = begin + self.millis(0..6000);
        let length = self.millis(1000..5000);
        let fault = self.entry_cut(length);
        self.steps.push((at, fault));
        let at = begin + ROUND.saturating_sub(CUT_PHASE) + self.millis(500..1500);
        let length = self.millis(8000..9500);
        let fault = self.entry_cut(length);
        self.steps.push((at, fault));
    }

    fn entry_cut(&mut self, length: Duration) -> Fault {
        let first = self.rng.random_range(0..self.entry_count);
        let in_turn = (first..self.entry_count).chain(0..first);
        let group: Vec<u8> = match self.rng.random_range(0..4) {
            0 => vec![first],
            1 => in_turn
                .take(usize::from(self.entry_count.div_ceil(3)))
                .collect(),
            2 => in_turn
                .filter(|entry| entry % CONTROL_VMS == first % CONTROL_VMS)
                .collect(),
            _ => in_turn.skip(1).collect(),
        };
        Fault::CutFromServers {
            vms: group.into_iter().map(Vm::Entry).collect(),
            manner: self.cut_manner(),
            length,
        }
    }

    /// Adds cuts of control VMs beside faults.
    fn add_control_cuts(&mut self, begin: Duration) {
        for _ in 0..CONTROL_CUTS {
            let at = begin + self.millis(0..6000);
            let first = self.rng.random_range(0..CONTROL_VMS);
            let count = self.rng.random_range(1..=CONTROL_VMS);
            let vms = (0..count).map(|index| Vm::Control((first + index) % CONTROL_VMS));
            let manner = if self.rng.random_bool(0.3) {
                CutManner::Late(self.millis(200..1500))
            } else {
                self.cut_manner()
            };
            let fault = Fault::CutFromServers {
                vms: vms.collect(),
                manner,
                length: self.millis(1000..5000),
            };
            self.steps.push((at, fault));
        }
    }

    /// Adds an evacuation beside faults, and one whose acknowledgement is followed by a fault of control
    /// VMs, which lose nothing that they acknowledged.
    fn add_evacuations(&mut self, begin: Duration) {
        let at = begin + self.millis(0..3000);
        let length = self.millis(10_000..17_000);
        let evacuation = self.evacuation(length);
        self.steps.push((at, evacuation));
        let at = begin + ROUND + self.millis(3000..4000);
        let length = self.millis(14_000..16_000);
        let evacuation = self.evacuation(length);
        self.steps.push((at, evacuation));
        let control = self.rng.random_range(0..CONTROL_VMS);
        let down = self.millis(300..1000);
        let fault = match self.rng.random_range(0..4) {
            0 if !self.has_wiped => {
                self.has_wiped = true;
                Fault::Wipe { control, down }
            }
            0 | 1 => Fault::KillAllControl { down },
            2 => Fault::Pause {
                vm: Vm::Control(control),
                length: down,
            },
            _ => return,
        };
        let later = at + self.millis(200..1500);
        self.steps.push((later, fault));
    }

    fn evacuation(&mut self, length: Duration) -> Fault {
        Fault::Evacuate {
            zone: self.rng.random_range(0..usize::from(CONTROL_VMS)),
            length,
            ends_cold: self.rng.random_bool(0.6),
        }
    }

    /// Adds servers that state their load falsely beside faults.
    fn add_false_load(&mut self, begin: Duration) {
        for _ in 0..FALSE_LOADS {
            let at = begin + self.millis(0..6000);
            let statement = match self.rng.random_range(0..4) {
                0 => LoadStatement::Idle,
                1 => LoadStatement::Full,
                2 => LoadStatement::NoSlots,
                _ => LoadStatement::Unreadable,
            };
            let step = Fault::Notice {
                server: self.server(),
                conduct: ServerBehaviour::StatesLoad(statement),
                length: self.millis(4000..8000),
            };
            self.steps.push((at, step));
        }
    }

    /// Adds servers that start, and are cold then, beside planned work.
    fn add_cold_starts(&mut self, begin: Duration) {
        for _ in 0..COLD_STARTS {
            let at = begin + FAULT_PHASE + RECOVERY_PHASE + self.millis(0..3000);
            let server = self.server();
            self.steps.push((at, Fault::Replace { server }));
        }
    }

    fn cut_manner(&mut self) -> CutManner {
        match self.rng.random_range(0..4) {
            0 => CutManner::Silent,
            1 => CutManner::Reset,
            2 => CutManner::RefuseNew,
            _ => CutManner::OneWay,
        }
    }

    fn notice(&mut self) -> Fault {
        let server = self.server();
        let length = self.millis(4000..8000);
        let conduct = match self.rng.random_range(0..7) {
            0..=2 => ServerBehaviour::Limited(self.rng.random_range(0.5..12.0)),
            3 | 4 => ServerBehaviour::Resting(self.millis(1000..4000)),
            5 => ServerBehaviour::Leaving,
            _ => {
                return Fault::Misbehave {
                    server,
                    conduct: ServerBehaviour::Endless,
                    length,
                };
            }
        };
        Fault::Notice {
            server,
            conduct,
            length,
        }
    }

    fn add_planned_work(&mut self, begin: Duration) {
        let entry = self.rng.random_range(0..self.entry_count);
        let server = self.server();
        let vm = Vm::Entry(entry);
        self.steps.push((begin, Fault::Stop { vm }));
        let later = begin + self.millis(0..3000);
        self.steps.push((later, Fault::Replace { server }));
        self.steps.push((later, Fault::Reload));
    }

    fn fault(&mut self) -> Fault {
        let control = self.rng.random_range(0..CONTROL_VMS);
        let entry = self.rng.random_range(0..self.entry_count);
        let server = self.server();
        let length = self.millis(200..5000);
        let down = self.millis(50..2500);
        let vm = if self.rng.random_bool(0.6) {
            Vm::Control(control)
        } else {
            Vm::Entry(entry)
        };
        match self.rng.random_range(0..22) {
            0 | 1 => Fault::Kill { vm, down },
            2 => Fault::KillAllControl {
                down: down.min(Duration::from_secs(1)),
            },
            3 | 4 => Fault::Pause { vm, length },
            5 if !self.has_wiped => {
                self.has_wiped = true;
                Fault::Wipe { control, down }
            }
            5 | 6 => Fault::Tear { control, down },
            7 | 8 => Fault::Cut {
                control,
                length,
                is_one_way: self.rng.random_bool(0.4),
            },
            9 => Fault::SlowLinks {
                control,
                delay: self.millis(5..300),
                length,
            },
            10 => Fault::ResetLinks { control },
            11 => Fault::SilenceLinks { control },
            12 => Fault::Reload,
            13 | 14 => Fault::CrashServer { server, down },
            15 => Fault::Misbehave {
                server,
                conduct: self.behaviour(),
                length,
            },
            16 => Fault::CutServerFromControl { server, length },
            17 => Fault::HinderServer {
                server,
                delay: self.rng.random_bool(0.5).then(|| self.millis(20..400)),
                length,
            },
            18 => Fault::KillEntries { down },
            19 => Fault::ResetServer { server },
            20 => Fault::SilenceServer { server },
            _ => match self.rng.random_range(0..3) {
                0 => Fault::HotKey {
                    key: self.rng.random(),
                    length,
                },
                1 => Fault::Stop { vm },
                _ => Fault::Replace { server },
            },
        }
    }

    fn behaviour(&mut self) -> ServerBehaviour {
        match self.rng.random_range(0..3) {
            0 => ServerBehaviour::Slow(self.rng.random_range(2.0..8.0)),
            1 => ServerBehaviour::Failing(self.rng.random_range(0.2..1.0)),
            _ => ServerBehaviour::Mute,
        }
    }

    fn server(&mut self) -> usize {
        self.rng.random_range(0..self.server_count)
    }

    fn millis(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.rng.random_range(range))
    }
}
