//! A load run from start to end.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::{Instant, MissedTickBehavior};
use uuid::Uuid;

use super::report::LoadSummary;
use super::{Call, CallKind, Caller, KeyChooser, LoadConfig, LoadReport, Pace};
use crate::history::{HistoryError, Recorder};

/// A load run in progress.
struct LoadRun {
    config: LoadConfig,
    caller: Caller,
    keys: RefCell<KeyChooser>,
    report: RefCell<LoadReport>,
    started: Cell<u64>,
    start: Instant,
}

/// Runs load on the current `LocalSet` and returns its summary.
///
/// # Errors
///
/// [`HistoryError`] if the history can't be opened.
pub async fn run_load(config: LoadConfig) -> Result<LoadSummary, HistoryError> {
    let recorder = Rc::new(Recorder::open(config.history.as_deref())?);
    let run = Rc::new(LoadRun {
        caller: Caller::new(&config.name, config.deadline, recorder),
        keys: RefCell::new(KeyChooser::new(
            config.seed,
            config.key_count,
            config.pattern,
        )),
        report: RefCell::default(),
        started: Cell::new(0),
        start: Instant::now(),
        config,
    });
    match run.config.pace {
        Pace::Closed { workers } => run_closed(&run, workers).await,
        Pace::Open { rate_per_s } => run_open(&run, rate_per_s).await,
    }
    let summary = run.report.borrow().summary(run.start.elapsed());
    Ok(summary)
}

async fn run_closed(run: &Rc<LoadRun>, workers: usize) {
    let mut tasks = JoinSet::new();
    for _ in 0..workers {
        let run = run.clone();
        tasks.spawn_local(async move {
            while let Some((index, call)) = run.next_call() {
                run.make_call(index, call, Instant::now()).await;
            }
        });
    }
    while tasks.join_next().await.is_some() {}
}

async fn run_open(run: &Rc<LoadRun>, rate_per_s: f64) {
    let mut tasks = JoinSet::new();
    let mut ticks = tokio::time::interval(Duration::from_secs_f64(1.0 / rate_per_s));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
    loop {
        let due_at = ticks.tick().await;
        let Some((index, call)) = run.next_call() else {
            break;
        };
        let run = run.clone();
        tasks.spawn_local(async move { run.make_call(index, call, due_at).await });
        while tasks.try_join_next().is_some() {}
    }
    while tasks.join_next().await.is_some() {}
}

impl LoadRun {
    fn next_call(&self) -> Option<(usize, Call)> {
        let index = self.started.get();
        let is_at_max_calls = self.config.max_calls != 0 && index >= self.config.max_calls;
        if is_at_max_calls || self.start.elapsed() >= self.config.duration {
            return None;
        }
        self.started.set(index + 1);
        let call = Call {
            service: self.config.service.clone(),
            key: self.keys.borrow_mut().next_key(),
            order_key: self.order_key(),
            marker: self.config.marker.clone(),
        };
        Some((usize::try_from(index).unwrap_or_default(), call))
    }

    fn order_key(&self) -> Option<String> {
        match self.config.call_kind {
            CallKind::Keys => None,
            CallKind::Orders => Some(Uuid::new_v4().simple().to_string()),
        }
    }

    async fn make_call(&self, index: usize, call: Call, due_at: Instant) {
        let addresses = &self.config.addresses;
        let resends = self.config.resends;
        let result = self
            .caller
            .send_with_resends(addresses, index, &call, resends)
            .await;
        self.report.borrow_mut().add(&result, due_at.elapsed());
    }
}
