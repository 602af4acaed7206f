//! A server that is asked for more than it can do, played in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use chicory_policy::AdmissionWindow;
use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const SLOTS: usize = 6;
const QUEUE: usize = 24;
const ENTRY_VMS: usize = 9;
/// Longer answers have waited: 130 ms is the mean.
const QUEUED: Duration = Duration::from_millis(230);
const TARGET: Duration = Duration::from_millis(300);
const PLAYED: Duration = Duration::from_secs(20);

/// What callers got.
#[derive(Debug, Default)]
struct Outcome {
    in_time: u32,
    late: u32,
    refused: u32,
    /// Answers in time by rank.
    in_time_by_rank: [u32; 3],
    asked_by_rank: [u32; 3],
}

struct Request {
    entry: usize,
    rank: u32,
    arrived_at: Duration,
}

/// One server with slots and a queue, and entry VMs that each know only their own requests.
struct Play {
    rng: StdRng,
    windows: Option<Vec<AdmissionWindow>>,
    in_flight: Vec<u32>,
    running: BinaryHeap<Reverse<(Duration, usize)>>,
    requests: Vec<Request>,
    queue: std::collections::VecDeque<usize>,
    outcome: Outcome,
}

impl Play {
    fn new(has_windows: bool) -> Self {
        Self {
            rng: StdRng::seed_from_u64(5),
            windows: has_windows.then(|| vec![AdmissionWindow::default(); ENTRY_VMS]),
            in_flight: vec![0; ENTRY_VMS],
            running: BinaryHeap::new(),
            requests: Vec::new(),
            queue: std::collections::VecDeque::new(),
            outcome: Outcome::default(),
        }
    }

    fn floor() -> f64 {
        1.5 * f64::from(u32::try_from(SLOTS).expect("few")) / 9.0
    }

    fn run(mut self, requests_per_s: f64) -> Outcome {
        let mut now = Duration::ZERO;
        while now < PLAYED {
            let gap_s = -self.rng.random_range(f64::MIN_POSITIVE..1.0).ln() / requests_per_s;
            now += Duration::from_secs_f64(gap_s);
            while let Some(Reverse((ends_at, id))) = self.running.peek().copied() {
                if ends_at > now {
                    break;
                }
                self.running.pop();
                self.end(ends_at, id);
            }
            self.arrive(now);
        }
        self.outcome
    }

    fn arrive(&mut self, now: Duration) {
        let entry = self.rng.random_range(0..ENTRY_VMS);
        let rank: u32 = if self.rng.random_range(0.0..1.0) < 0.3 {
            1
        } else {
            2
        };
        self.outcome.asked_by_rank[rank as usize] += 1;
        let chance = self.rng.random_range(0.0..1.0);
        let is_admitted = self.windows.as_ref().is_none_or(|windows| {
            windows[entry].admits(self.in_flight[entry], rank, Self::floor(), chance)
        });
        if !is_admitted {
            self.outcome.refused += 1;
            return;
        }
        if self.running.len() >= SLOTS && self.queue.len() >= QUEUE {
            self.outcome.refused += 1;
            if let Some(windows) = &mut self.windows {
                windows[entry].note_shed(now, self.in_flight[entry], Self::floor());
            }
            return;
        }
        self.in_flight[entry] += 1;
        self.requests.push(Request {
            entry,
            rank,
            arrived_at: now,
        });
        self.queue.push_back(self.requests.len() - 1);
        self.fill(now);
    }

    fn fill(&mut self, now: Duration) {
        while self.running.len() < SLOTS {
            let Some(id) = self.queue.pop_front() else {
                return;
            };
            let work = Duration::from_secs_f64(self.rng.random_range(0.06..0.2));
            self.running.push(Reverse((now + work, id)));
        }
    }

    fn end(&mut self, now: Duration, id: usize) {
        let request = &self.requests[id];
        let took = now.saturating_sub(request.arrived_at);
        self.in_flight[request.entry] -= 1;
        if took <= TARGET {
            self.outcome.in_time += 1;
            self.outcome.in_time_by_rank[request.rank as usize] += 1;
        } else {
            self.outcome.late += 1;
        }
        if let Some(windows) = &mut self.windows {
            let in_flight = self.in_flight[request.entry];
            windows[request.entry].note_answer(
                now,
                (took, TARGET),
                took > QUEUED,
                in_flight,
                Self::floor(),
            );
        }
        self.fill(now);
    }
}

/// Requests that the server can answer in the time played, at 130 ms each.
fn capacity() -> f64 {
    f64::from(u32::try_from(SLOTS).expect("few")) / 0.13 * PLAYED.as_secs_f64()
}

#[gtest]
fn overload_is_refused_and_the_rest_is_in_time() {
    let without = Play::new(false).run(120.0);
    let with = Play::new(true).run(120.0);
    // Without a window the queue is always full, and all wait for it.
    expect_that!(f64::from(without.in_time), lt(0.1 * capacity()));
    expect_that!(f64::from(with.in_time), gt(0.75 * capacity()), "{with:?}");
    expect_that!(with.late * 5, lt(with.in_time), "{with:?}");
}

#[gtest]
fn load_that_fits_is_not_refused() {
    let with = Play::new(true).run(30.0);
    expect_that!(with.refused * 100, lt(with.in_time), "{with:?}");
}

#[gtest]
fn higher_rank_is_served_more_often_under_overload() {
    let with = Play::new(true).run(90.0);
    let share =
        |rank: usize| f64::from(with.in_time_by_rank[rank]) / f64::from(with.asked_by_rank[rank]);
    expect_that!(share(1), gt(share(2)), "{with:?}");
}
