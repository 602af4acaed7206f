//! Observes stalls of the soak's own process.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use slog::{Logger, warn};
use tokio::task::AbortHandle;

use crate::delays::Delays;

/// Interval between two observations.
const INTERVAL: Duration = Duration::from_millis(50);
/// Shortest delay of an observation that is logged.
const MIN_LOGGED_MS: u64 = 200;

/// Logs when a thread or the async runtime of this process resumes late. It stops when this value
/// is dropped.
///
/// All connections of a run pass through this process. Its stalls look like a failure of the
/// deployment; the delays that this watch measures tell them apart. A thread is late when the
/// machine is overloaded or this process was stopped; the runtime alone is late when its tasks take
/// all of its workers.
#[derive(Debug)]
pub(crate) struct StallWatch {
    thread_delay: Arc<LongestDelay>,
    runtime_delay: Arc<LongestDelay>,
    is_stopped: Arc<AtomicBool>,
    task: AbortHandle,
}

impl StallWatch {
    /// Starts to observe stalls.
    pub(crate) fn start(log: &Logger) -> Self {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let thread_delay = LongestDelay::new("thread", log);
        let (delay, is_ended) = (thread_delay.clone(), is_stopped.clone());
        std::thread::spawn(move || {
            while !is_ended.load(Ordering::Relaxed) {
                let due = Instant::now() + INTERVAL;
                std::thread::sleep(INTERVAL);
                delay.record(due.elapsed());
            }
        });
        let runtime_delay = LongestDelay::new("runtime", log);
        let delay = runtime_delay.clone();
        let task = tokio::spawn(async move {
            loop {
                let due = Instant::now() + INTERVAL;
                tokio::time::sleep(INTERVAL).await;
                delay.record(due.elapsed());
            }
        });
        Self {
            thread_delay,
            runtime_delay,
            is_stopped,
            task: task.abort_handle(),
        }
    }

    /// Returns the longest delays since the last call.
    pub(crate) fn take_longest(&self) -> Delays {
        Delays {
            thread_ms: self.thread_delay.longest_ms.swap(0, Ordering::Relaxed),
            runtime_ms: self.runtime_delay.longest_ms.swap(0, Ordering::Relaxed),
        }
    }
}

impl Drop for StallWatch {
    fn drop(&mut self) {
        self.task.abort();
        self.is_stopped.store(true, Ordering::Relaxed);
    }
}

/// The longest delay of a part of this process, each long one of which is logged.
#[derive(Debug)]
struct LongestDelay {
    part: &'static str,
    log: Logger,
    longest_ms: AtomicU64,
}

impl LongestDelay {
    fn new(part: &'static str, log: &Logger) -> Arc<Self> {
        Arc::new(Self {
            part,
            log: log.clone(),
            longest_ms: AtomicU64::new(0),
        })
    }

    fn record(&self, delay: Duration) {
        let delay_ms = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
        self.longest_ms.fetch_max(delay_ms, Ordering::Relaxed);
        if delay_ms >= MIN_LOGGED_MS {
            warn!(self.log, "resumed late"; "part" => self.part, "delay_ms" => delay_ms);
        }
    }
}
