//! What happens in a run, by its seed.

use std::fmt;
use std::time::Duration;

use platform_stand_ins::ServerBehaviour;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::cluster::{CONTROL_VMS, Vm};
use crate::fault::Fault;

/// Length of a round's faults.
const STORM: Duration = Duration::from_secs(8);
/// Time for all to be whole again, and for promises with a time bound to hold.
const REST: Duration = Duration::from_secs(8);
/// Length of a round's planned work.
const WORK: Duration = Duration::from_secs(6);

/// What happens in a run, and when.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Faults and planned work with the time at which each begins, in order.
    pub(crate) steps: Vec<(Duration, Fault)>,
    /// When the last of it is over.
    pub(crate) end: Duration,
}

impl Plan {
    /// The plan of a seed.
    #[must_use]
    pub fn of(seed: u64, rounds: u32, entry_count: u8, server_count: usize) -> Self {
        let mut planner = Planner {
            rng: StdRng::seed_from_u64(seed),
            entry_count,
            server_count,
            has_wiped: false,
            steps: Vec::new(),
        };
        let mut at = Duration::ZERO;
        for _ in 0..rounds {
            planner.storm(at);
            at += STORM + REST;
            planner.planned_work(at);
            at += WORK;
        }
        let mut steps = planner.steps;
        steps.sort_by_key(|(at, _)| *at);
        Self { steps, end: at }
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
    /// More disks may not be lost than the deployment bears.
    has_wiped: bool,
    steps: Vec<(Duration, Fault)>,
}

impl Planner {
    fn storm(&mut self, begin: Duration) {
        let mut at = begin;
        while at < begin + STORM {
            let fault = self.fault();
            self.steps.push((at, fault));
            at += self.millis(50..1500);
        }
    }

    fn planned_work(&mut self, begin: Duration) {
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
                conduct: self.conduct(),
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

    fn conduct(&mut self) -> ServerBehaviour {
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
