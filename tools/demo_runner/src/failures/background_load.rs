//! Load on a deployment during a failure.

use std::cell::Cell;
use std::path::Path;
use std::rc::Rc;

use chicory_standin::load::{KeyChooser, KeyPattern};
use tokio::task::JoinSet;
use uuid::Uuid;

use crate::RunnerError;
use crate::run_caller::{RunCaller, key_call, order_call};
use crate::services::{ARCHIVE, ORDERS};

/// Number of concurrent callers.
const WORKERS: u64 = 4;
/// Number of keys that they request.
const KEY_COUNT: usize = 40;
/// Number of calls of which one is an order.
const CALLS_PER_ORDER: u32 = 5;

/// Load that runs during a failure until it is stopped.
#[derive(Debug)]
pub struct BackgroundLoad {
    is_stopped: Rc<Cell<bool>>,
    good_calls: Rc<Cell<u64>>,
    tasks: JoinSet<()>,
}

impl BackgroundLoad {
    /// Starts callers that send to all of `addresses` in turn.
    ///
    /// # Errors
    ///
    /// [`RunnerError::History`] if the history can't be opened.
    pub fn start(addresses: &[String], history: &Path) -> Result<Self, RunnerError> {
        let is_stopped = Rc::new(Cell::new(false));
        let good_calls = Rc::new(Cell::new(0));
        let mut tasks = JoinSet::new();
        for seed in 1..=WORKERS {
            let worker = Worker {
                caller: RunCaller::new(&format!("load-{seed}"), history)?,
                addresses: addresses.to_vec(),
                keys: KeyChooser::new(seed, KEY_COUNT, KeyPattern::Uniform),
                is_stopped: is_stopped.clone(),
                good_calls: good_calls.clone(),
            };
            tasks.spawn_local(worker.work());
        }
        Ok(Self {
            is_stopped,
            good_calls,
            tasks,
        })
    }

    /// Returns the number of good answers so far.
    pub fn good_calls(&self) -> u64 {
        self.good_calls.get()
    }

    /// Stops the callers after the answers to their current calls.
    pub async fn stop(mut self) {
        self.is_stopped.set(true);
        while self.tasks.join_next().await.is_some() {}
    }
}

struct Worker {
    caller: RunCaller,
    addresses: Vec<String>,
    keys: KeyChooser,
    is_stopped: Rc<Cell<bool>>,
    good_calls: Rc<Cell<u64>>,
}

impl Worker {
    async fn work(mut self) {
        let addresses = self.addresses.clone();
        for (iteration, address) in (1..).zip(addresses.iter().cycle()) {
            if self.is_stopped.get() {
                return;
            }
            let key = self.keys.next_key();
            let call = if iteration % CALLS_PER_ORDER == 0 {
                order_call(ORDERS, &key, &Uuid::new_v4().to_string())
            } else {
                key_call(ARCHIVE, &key)
            };
            if self.caller.send(address, &call).await.is_good() {
                self.good_calls.set(self.good_calls.get() + 1);
            }
        }
    }
}
