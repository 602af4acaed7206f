//! The callers of a run.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use platform_stand_ins::{Caller, CallerAnswer, CallerRequest, CallerRequestKind, is_ready};
use rand::RngExt;
use slog::{Logger, info};
use tokio::task::JoinSet;

use crate::entry_cut_guarantees::FirstTry;
use crate::fleet::{ARCHIVE, LEDGER, LIBRARY};
use crate::guarantees::Guarantees;
use crate::unserved_requests::UnservedRequests;

/// Host of all routes.
pub(crate) const HOST: &str = "soak.example";
/// Number of concurrent callers.
const CALLERS: u32 = 14;
/// Longest pause of a caller between two requests.
const MAX_PAUSE_MS: u64 = 120;
/// Interval of the load balancer's readiness checks of an entry VM.
const BALANCER_INTERVAL: Duration = Duration::from_secs(1);
/// Failed readiness checks in a row that take an entry VM out of rotation.
const MAX_FAILED_CHECKS: u32 = 2;
/// Share of the requests for which a caller opens a new connection, so that callers go on coming to
/// entry VMs that serve badly.
const NEW_CONNECTION_SHARE: f64 = 0.2;
/// Time for which a caller waits for an answer.
pub(crate) const REQUEST_TIMEOUT: Duration = Duration::from_millis(1500);
/// Share of the keyed requests that are for the hot key while there is one.
const HOT_KEY_SHARE: f64 = 0.5;

/// An entry VM as the load balancer and the callers know it.
#[derive(Debug)]
struct Entry {
    address: SocketAddr,
    readiness: SocketAddr,
    failed_checks: AtomicU32,
    /// Whether its process was sent the signal to stop, without another fault on it.
    is_stopping: AtomicBool,
}

/// The callers of a run.
#[derive(Debug)]
pub(crate) struct Load {
    guarantees: Arc<Guarantees>,
    log: Logger,
    entries: Vec<Entry>,
    hot_key: Mutex<Option<u16>>,
    last_id: AtomicU64,
    sent: AtomicU64,
    served: AtomicU64,
    refused: AtomicU64,
    unserved: Mutex<UnservedRequests>,
}

impl Load {
    pub(crate) fn new(
        guarantees: Arc<Guarantees>,
        entries: Vec<(SocketAddr, SocketAddr)>,
        log: Logger,
    ) -> Arc<Self> {
        let entries = entries.into_iter().map(|(address, readiness)| Entry {
            address,
            readiness,
            failed_checks: AtomicU32::new(MAX_FAILED_CHECKS),
            is_stopping: AtomicBool::new(false),
        });
        Arc::new(Self {
            guarantees,
            log,
            entries: entries.collect(),
            hot_key: Mutex::new(None),
            last_id: AtomicU64::new(0),
            sent: AtomicU64::new(0),
            served: AtomicU64::new(0),
            refused: AtomicU64::new(0),
            unserved: Mutex::default(),
        })
    }

    /// Starts the load balancer and the callers. They end when the returned set is dropped.
    pub(crate) fn start(self: &Arc<Self>) -> JoinSet<()> {
        let mut tasks = JoinSet::new();
        for index in 0..self.entries.len() {
            tasks.spawn(self.clone().check_readiness_forever(index));
        }
        for _ in 0..CALLERS {
            tasks.spawn(self.clone().send_requests_forever());
        }
        tasks
    }

    /// Returns the numbers of requests sent, served and refused so far.
    pub(crate) fn counts(&self) -> (u64, u64, u64) {
        let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        (load(&self.sent), load(&self.served), load(&self.refused))
    }

    /// Returns the requests that were not served since the last call.
    pub(crate) fn take_unserved(&self) -> UnservedRequests {
        std::mem::take(&mut *self.lock_unserved())
    }

    fn lock_unserved(&self) -> MutexGuard<'_, UnservedRequests> {
        self.unserved.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the key that half of the keyed requests are for, or ends the hot key with `None`.
    pub(crate) fn set_hot_key(&self, key: Option<u16>) {
        *self.hot_key.lock().unwrap_or_else(PoisonError::into_inner) = key;
    }

    /// Records that the process of an entry VM was sent the signal to stop, or has started again.
    pub(crate) fn set_stopping(&self, entry: SocketAddr, is_stopping: bool) {
        for known in self.entries.iter().filter(|known| known.address == entry) {
            known.is_stopping.store(is_stopping, Ordering::SeqCst);
        }
    }

    async fn check_readiness_forever(self: Arc<Self>, index: usize) {
        let entry = &self.entries[index];
        loop {
            if is_ready(entry.readiness).await {
                entry.failed_checks.store(0, Ordering::SeqCst);
            } else {
                entry.failed_checks.fetch_add(1, Ordering::SeqCst);
            }
            tokio::time::sleep(BALANCER_INTERVAL).await;
        }
    }

    /// Returns the index of a random entry VM in rotation, or of any entry VM if none is.
    fn choose_entry(&self) -> usize {
        let in_rotation = |index: &usize| {
            let entry = &self.entries[*index];
            entry.failed_checks.load(Ordering::SeqCst) < MAX_FAILED_CHECKS
        };
        let ready: Vec<usize> = (0..self.entries.len()).filter(in_rotation).collect();
        if ready.is_empty() {
            return rand::rng().random_range(0..self.entries.len());
        }
        ready[rand::rng().random_range(0..ready.len())]
    }

    async fn send_requests_forever(self: Arc<Self>) {
        let mut caller = Caller::default();
        loop {
            if rand::rng().random_bool(NEW_CONNECTION_SHARE) {
                caller = Caller::default();
            }
            let open = caller.connected_to();
            let open = self
                .entries
                .iter()
                .position(|candidate| Some(candidate.address) == open);
            let index = open.unwrap_or_else(|| self.choose_entry());
            let (request, services) = self.request();
            self.send_request(&mut caller, index, &request, services)
                .await;
            let pause = rand::rng().random_range(0..MAX_PAUSE_MS);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
    }

    async fn send_request(
        &self,
        caller: &mut Caller,
        index: usize,
        request: &CallerRequest,
        services: &[&'static str],
    ) {
        let entry = &self.entries[index];
        self.guarantees
            .record_request(request, entry.address, services);
        self.sent.fetch_add(1, Ordering::Relaxed);
        let sent_at = Instant::now();
        let answer = caller.send(entry.address, request).await;
        let is_stopping = entry.is_stopping.load(Ordering::SeqCst);
        let guarantees = &self.guarantees;
        guarantees.record_answer(request, entry.address, is_stopping, &answer);
        self.record_unserved(entry.address, request, sent_at.elapsed(), &answer);
        guarantees.record_try(FirstTry {
            entry: entry.address,
            sent_at,
            ended_at: Instant::now(),
            is_served: matches!(answer, CallerAnswer::Complete { status: 200, .. }),
        });
        let CallerAnswer::Complete { status, .. } = answer else {
            return;
        };
        match status {
            200 => {
                self.served.fetch_add(1, Ordering::Relaxed);
            }
            503 => {
                self.refused.fetch_add(1, Ordering::Relaxed);
            }
            // Every table contains these routes.
            404 => guarantees.record_violations([format!(
                "{} at {} gets 404 after {:?}",
                request.path,
                entry.address,
                sent_at.elapsed()
            )]),
            _ => {}
        }
    }

    fn record_unserved(
        &self,
        entry: SocketAddr,
        request: &CallerRequest,
        elapsed: Duration,
        answer: &CallerAnswer,
    ) {
        let outcome = match answer {
            CallerAnswer::Complete { status: 200, .. } => return,
            CallerAnswer::Complete { status, .. } => status.to_string(),
            ended => format!("{ended:?}"),
        };
        self.lock_unserved()
            .record(entry, &request.path, &outcome, elapsed);
        info!(self.log, "request not served";
            "entry" => %entry,
            "id" => &request.attempt_id,
            "path" => &request.path,
            "key" => request.key,
            "outcome" => outcome,
            "elapsed_ms" => u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX));
    }

    fn request(&self) -> (CallerRequest, &'static [&'static str]) {
        let id = self.last_id.fetch_add(1, Ordering::Relaxed) + 1;
        let mut rng = rand::rng();
        let hot_key = *self.hot_key.lock().unwrap_or_else(PoisonError::into_inner);
        let (path, key, services): (_, _, &'static [&'static str]) = match rng.random_range(0..10) {
            0..=5 => {
                let hot = hot_key.filter(|_| rng.random_bool(HOT_KEY_SHARE));
                let key = hot.unwrap_or_else(|| rng.random());
                ("reads", Some(key), &[ARCHIVE])
            }
            6..=7 => ("orders", None, &[LEDGER]),
            8 => ("drafts", None, &[LEDGER]),
            _ => ("plans", None, &[LIBRARY, LEDGER]),
        };
        let request = CallerRequest {
            attempt_id: format!("a{id:08x}"),
            host: HOST.to_owned(),
            path: format!("/{path}/{id}?x=1"),
            kind: match path {
                "orders" => CallerRequestKind::Order,
                "drafts" => CallerRequestKind::Upload,
                _ => CallerRequestKind::Read,
            },
            key,
            time_left: REQUEST_TIMEOUT,
        };
        (request, services)
    }
}
