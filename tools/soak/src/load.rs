//! The callers of a run.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use platform_stand_ins::{Caller, CallerAnswer, CallerRequest, CallerRequestKind, is_ready};
use rand::RngExt;
use tokio::task::JoinSet;

use crate::fleet::{ARCHIVE, LEDGER, LIBRARY};
use crate::promises::Promises;

/// Host of all routes.
pub(crate) const HOST: &str = "soak.example";
/// Callers at a time.
const CALLERS: u32 = 14;
/// Longest pause of a caller between two requests.
const MAX_PAUSE_MS: u64 = 120;
/// How often the balancer asks an entry VM whether it is ready.
const BALANCER_INTERVAL: Duration = Duration::from_secs(1);
/// Answers in a row that take an entry VM out of rotation.
const MISSES: u32 = 2;
/// Time that callers wait.
const TIME_LEFT: Duration = Duration::from_millis(1500);
/// Part of the requests that are for the hot key while there is one.
const HOT_PART: f64 = 0.5;

/// An entry VM as the balancer and the callers see it.
#[derive(Debug)]
struct Entry {
    address: SocketAddr,
    readiness: SocketAddr,
    misses: AtomicU32,
    /// Its process was asked to stop, and nothing else was done to it.
    is_stopping: AtomicBool,
}

/// The callers of a run.
#[derive(Debug)]
pub(crate) struct Load {
    promises: Arc<Promises>,
    entries: Vec<Entry>,
    hot_key: Mutex<Option<u16>>,
    last_id: AtomicU64,
    asked: AtomicU64,
    served: AtomicU64,
    refused: AtomicU64,
}

impl Load {
    pub(crate) fn new(
        promises: Arc<Promises>,
        entries: Vec<(SocketAddr, SocketAddr)>,
    ) -> Arc<Self> {
        let entries = entries.into_iter().map(|(address, readiness)| Entry {
            address,
            readiness,
            misses: AtomicU32::new(MISSES),
            is_stopping: AtomicBool::new(false),
        });
        Arc::new(Self {
            promises,
            entries: entries.collect(),
            hot_key: Mutex::new(None),
            last_id: AtomicU64::new(0),
            asked: AtomicU64::new(0),
            served: AtomicU64::new(0),
            refused: AtomicU64::new(0),
        })
    }

    /// Starts the balancer and the callers; they end with the set.
    pub(crate) fn start(self: &Arc<Self>) -> JoinSet<()> {
        let mut tasks = JoinSet::new();
        for index in 0..self.entries.len() {
            tasks.spawn(self.clone().balance(index));
        }
        for _ in 0..CALLERS {
            tasks.spawn(self.clone().call_for_good());
        }
        tasks
    }

    /// Requests that were asked, served and refused so far.
    pub(crate) fn counts(&self) -> (u64, u64, u64) {
        let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        (load(&self.asked), load(&self.served), load(&self.refused))
    }

    /// Half of the keyed requests are for one key from now on, or for none.
    pub(crate) fn set_hot_key(&self, key: Option<u16>) {
        *self.hot_key.lock().unwrap_or_else(PoisonError::into_inner) = key;
    }

    /// The process of an entry VM was asked to stop, or has started again.
    pub(crate) fn set_stopping(&self, entry: SocketAddr, is_stopping: bool) {
        for known in self.entries.iter().filter(|known| known.address == entry) {
            known.is_stopping.store(is_stopping, Ordering::SeqCst);
        }
    }

    async fn balance(self: Arc<Self>, index: usize) {
        let entry = &self.entries[index];
        loop {
            if is_ready(entry.readiness).await {
                entry.misses.store(0, Ordering::SeqCst);
            } else {
                entry.misses.fetch_add(1, Ordering::SeqCst);
            }
            tokio::time::sleep(BALANCER_INTERVAL).await;
        }
    }

    /// An entry VM in rotation; any if none is.
    fn choose_entry(&self) -> usize {
        let in_rotation = |index: &usize| {
            let entry = &self.entries[*index];
            entry.misses.load(Ordering::SeqCst) < MISSES
        };
        let ready: Vec<usize> = (0..self.entries.len()).filter(in_rotation).collect();
        if ready.is_empty() {
            return rand::rng().random_range(0..self.entries.len());
        }
        ready[rand::rng().random_range(0..ready.len())]
    }

    async fn call_for_good(self: Arc<Self>) {
        let mut caller = Caller::default();
        loop {
            let open = caller.connected_to();
            let open = self.entries.iter().position(|e| Some(e.address) == open);
            let index = open.unwrap_or_else(|| self.choose_entry());
            let (request, services) = self.request();
            self.ask(&mut caller, index, &request, services).await;
            let pause = rand::rng().random_range(0..MAX_PAUSE_MS);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
    }

    async fn ask(
        &self,
        caller: &mut Caller,
        index: usize,
        request: &CallerRequest,
        services: &[&'static str],
    ) {
        let entry = &self.entries[index];
        self.promises.asks(request, services);
        self.asked.fetch_add(1, Ordering::Relaxed);
        let asked_at = Instant::now();
        let answer = caller.send(entry.address, request).await;
        let is_stopping = entry.is_stopping.load(Ordering::SeqCst);
        let promises = &self.promises;
        promises.answered(request, entry.address, is_stopping, &answer);
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
            // All tables have these routes.
            404 => promises.note([format!(
                "{} at {} is not found after {:?}",
                request.path,
                entry.address,
                asked_at.elapsed()
            )]),
            _ => {}
        }
    }

    fn request(&self) -> (CallerRequest, &'static [&'static str]) {
        let id = self.last_id.fetch_add(1, Ordering::Relaxed) + 1;
        let mut rng = rand::rng();
        let hot_key = *self.hot_key.lock().unwrap_or_else(PoisonError::into_inner);
        let (path, key, services): (_, _, &'static [&'static str]) = match rng.random_range(0..10) {
            0..=5 => {
                let hot = hot_key.filter(|_| rng.random_bool(HOT_PART));
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
            time_left: TIME_LEFT,
        };
        (request, services)
    }
}
