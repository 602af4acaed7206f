//! The operators of a run.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use platform_stand_ins::{Caller, CallerAnswer, CallerRequest, CallerRequestKind, Operator};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::Value;
use tokio::task::JoinSet;

use crate::fleet::{ARCHIVE, LEDGER, LIBRARY};
use crate::load::HOST;
use crate::promises::Promises;

/// Marks of former versions that a table keeps.
const MARKS: usize = 8;
/// Longest pause between two changes.
const MAX_PAUSE_MS: u64 = 2500;
/// Tries to have a table acknowledged before the operator goes on to the next one.
const TRIES: u32 = 4;
/// Part of the tables that are invalid.
const INVALID_PART: f64 = 0.15;
/// Part of the changes that two operators make at the same time.
const RACE_PART: f64 = 0.2;

/// The operators of a run: one changes tables, one reads them, one looks at what is in force.
#[derive(Debug)]
pub(crate) struct Operators {
    promises: Arc<Promises>,
    control_vms: Vec<SocketAddr>,
    entries: Vec<SocketAddr>,
}

impl Operators {
    pub(crate) fn new(
        promises: Arc<Promises>,
        control_vms: Vec<SocketAddr>,
        entries: Vec<SocketAddr>,
    ) -> Arc<Self> {
        Arc::new(Self {
            promises,
            control_vms,
            entries,
        })
    }

    /// Puts the first table in force, which takes until there is a leader.
    pub(crate) async fn put_first(&self, limit: Duration) -> bool {
        let table = table(1, &[1]);
        let put = async {
            while !self.put(1, &table, true, self.control_vms[0]).await {
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        };
        tokio::time::timeout(limit, put).await.is_ok()
    }

    /// Starts the operators; they end with the set.
    pub(crate) fn start(self: &Arc<Self>, seed: u64) -> JoinSet<()> {
        let mut tasks = JoinSet::new();
        tasks.spawn(self.clone().change_for_good(seed));
        tasks.spawn(self.clone().read_for_good());
        for entry in self.entries.clone() {
            tasks.spawn(self.clone().look_for_good(entry));
        }
        tasks
    }

    async fn change_for_good(self: Arc<Self>, seed: u64) {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut version = 1;
        let mut marks = vec![1];
        loop {
            let pause = rng.random_range(0..MAX_PAUSE_MS);
            tokio::time::sleep(Duration::from_millis(pause)).await;
            if rng.random_bool(INVALID_PART) {
                version += 1;
                self.send_invalid(version, &marks, &mut rng).await;
                continue;
            }
            version += rng.random_range(1..4);
            marks.push(version);
            if marks.len() > MARKS {
                marks.remove(0);
            }
            let first = table(version, &marks);
            if rng.random_bool(RACE_PART) {
                version += 1;
                marks.push(version);
                let second = table(version, &marks);
                let (one, other) = (self.any(&mut rng), self.any(&mut rng));
                tokio::join!(
                    self.put_patiently(version - 1, &first, one),
                    self.put_patiently(version, &second, other),
                );
            } else {
                let to = self.any(&mut rng);
                self.put_patiently(version, &first, to).await;
            }
        }
    }

    async fn send_invalid(&self, version: u64, marks: &[u64], rng: &mut StdRng) {
        let mut table = table(version, marks);
        match rng.random_range(0..3) {
            0 => table["routes"]["rows"][0][8] = Value::from("nowhere"),
            1 => table["routes"]["rows"][0][1] = Value::from(""),
            _ => {
                let copy = table["routes"]["rows"][0].clone();
                if let Some(rows) = table["routes"]["rows"].as_array_mut() {
                    rows.push(copy);
                }
            }
        }
        let to = self.any(rng);
        self.put(version, &table, false, to).await;
    }

    fn any(&self, rng: &mut StdRng) -> SocketAddr {
        self.control_vms[rng.random_range(0..self.control_vms.len())]
    }

    /// Sends a table until it is acknowledged, to one control VM after the other.
    async fn put_patiently(&self, version: u64, table: &Value, first: SocketAddr) {
        let place = self.control_vms.iter().position(|vm| *vm == first);
        let mut vms = self.control_vms.iter().cycle().skip(place.unwrap_or(0));
        for _ in 0..TRIES {
            let Some(vm) = vms.next() else { return };
            if self.put(version, table, true, *vm).await {
                return;
            }
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
    }

    async fn put(&self, version: u64, table: &Value, is_valid: bool, to: SocketAddr) -> bool {
        self.promises.sends_table(version, table, is_valid);
        let status = Operator::put(to, table).await;
        self.promises.put_answered(version, status);
        status == Some(200)
    }

    async fn read_for_good(self: Arc<Self>) {
        for vm in self.control_vms.iter().cycle() {
            self.read(*vm).await;
            tokio::time::sleep(Duration::from_millis(150)).await;
        }
    }

    /// Reads the table of one control VM; whether it told it.
    pub(crate) async fn read(&self, vm: SocketAddr) -> bool {
        let asked_at = Instant::now();
        let read = Operator::read(vm).await;
        if let Some(read) = &read {
            self.promises.read(asked_at, read);
        }
        read.is_some()
    }

    /// Asks an entry VM for the mark of the newest table.
    async fn look_for_good(self: Arc<Self>, entry: SocketAddr) {
        let mut caller = Caller::default();
        for number in 0_u64.. {
            tokio::time::sleep(Duration::from_millis(200)).await;
            let version = self.promises.greatest_acknowledged();
            let request = CallerRequest {
                attempt_id: format!("look-{}-{number}", entry.ip()),
                host: HOST.to_owned(),
                path: format!("{}{number}", mark(version)),
                kind: CallerRequestKind::Read,
                key: None,
                time_left: Duration::from_millis(800),
            };
            self.promises.asks(&request, &[LIBRARY]);
            let asked_at = Instant::now();
            let answer = caller.send(entry, &request).await;
            let CallerAnswer::Complete { status, .. } = answer else {
                continue;
            };
            let promises = &self.promises;
            match status {
                404 => promises.mark_answered(entry, version, asked_at, false),
                200 => promises.mark_answered(entry, version, asked_at, true),
                _ => {}
            }
        }
    }
}

/// Prefix of a route that shows that a version, or a later one, is in force.
fn mark(version: u64) -> String {
    format!("/version-{version}/")
}

fn table(version: u64, marks: &[u64]) -> Value {
    let route = |name: &str, prefix: String, form: CallerRequestKind, service: &str| {
        (name.to_owned(), prefix, form, service.to_owned())
    };
    // The plans go to another service with every third version.
    let plans = if version.is_multiple_of(3) {
        LEDGER
    } else {
        LIBRARY
    };
    let mut routes = vec![
        route(
            "reads",
            "/reads/".to_owned(),
            CallerRequestKind::Read,
            ARCHIVE,
        ),
        route(
            "orders",
            "/orders/".to_owned(),
            CallerRequestKind::Order,
            LEDGER,
        ),
        route(
            "drafts",
            "/drafts/".to_owned(),
            CallerRequestKind::Upload,
            LEDGER,
        ),
        route(
            "plans",
            "/plans/".to_owned(),
            CallerRequestKind::Read,
            plans,
        ),
    ];
    for version in marks {
        routes.push(route(
            "mark",
            mark(*version),
            CallerRequestKind::Read,
            LIBRARY,
        ));
    }
    Operator::table(version, HOST, &routes, &[ARCHIVE], &[LEDGER, LIBRARY])
}
