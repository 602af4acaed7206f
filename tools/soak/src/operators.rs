//! The operators of a run, who change, read and check route tables.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use platform_stand_ins::{Caller, CallerAnswer, CallerRequest, CallerRequestKind, Operator};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::Value;
use tokio::task::JoinSet;

use crate::fleet::{ARCHIVE, COLD_LIMIT, LEDGER, LIBRARY};
use crate::guarantees::Guarantees;
use crate::load::HOST;

/// Number of versions whose marker routes a table contains.
const MAX_MARKERS: usize = 8;
/// Longest pause between two table changes.
const MAX_PAUSE_MS: u64 = 2500;
/// Attempts to have a table acknowledged before the operator goes on to the next one.
const MAX_TRIES: u32 = 4;
/// Share of the tables that are invalid.
const INVALID_SHARE: f64 = 0.15;
/// Share of the changes that two operators make at the same time.
const RACE_SHARE: f64 = 0.2;

/// The operators of a run: one changes tables, one reads them, and one for each entry VM checks
/// which table is in force there.
#[derive(Debug)]
pub(crate) struct Operators {
    guarantees: Arc<Guarantees>,
    control_vms: Vec<SocketAddr>,
    entries: Vec<SocketAddr>,
    /// Whether tables state what cold servers can take.
    has_cold_limits: bool,
}

impl Operators {
    pub(crate) fn new(
        guarantees: Arc<Guarantees>,
        control_vms: Vec<SocketAddr>,
        entries: Vec<SocketAddr>,
        has_cold_limits: bool,
    ) -> Arc<Self> {
        Arc::new(Self {
            guarantees,
            control_vms,
            entries,
            has_cold_limits,
        })
    }

    /// Sends the first table until it is acknowledged, which needs a leader. Returns `false` if
    /// that takes longer than `limit`.
    pub(crate) async fn put_first_table(&self, limit: Duration) -> bool {
        let table = self.table(1, &[1]);
        let put = async {
            while !self.put(1, &table, true, self.control_vms[0]).await {
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        };
        tokio::time::timeout(limit, put).await.is_ok()
    }

    /// Starts the operators. They end when the returned set is dropped.
    pub(crate) fn start(self: &Arc<Self>, seed: u64) -> JoinSet<()> {
        let mut tasks = JoinSet::new();
        tasks.spawn(self.clone().change_tables_forever(seed));
        tasks.spawn(self.clone().read_tables_forever());
        for entry in self.entries.clone() {
            tasks.spawn(self.clone().check_markers_forever(entry));
        }
        tasks
    }

    async fn change_tables_forever(self: Arc<Self>, seed: u64) {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut version = 1;
        let mut marker_versions = vec![1];
        loop {
            let pause = rng.random_range(0..MAX_PAUSE_MS);
            tokio::time::sleep(Duration::from_millis(pause)).await;
            if rng.random_bool(INVALID_SHARE) {
                version += 1;
                self.send_invalid(version, &marker_versions, &mut rng).await;
                continue;
            }
            version += rng.random_range(1..4);
            marker_versions.push(version);
            if marker_versions.len() > MAX_MARKERS {
                marker_versions.remove(0);
            }
            let first = self.table(version, &marker_versions);
            if rng.random_bool(RACE_SHARE) {
                version += 1;
                marker_versions.push(version);
                let second = self.table(version, &marker_versions);
                let (one, other) = (
                    self.random_control_vm(&mut rng),
                    self.random_control_vm(&mut rng),
                );
                tokio::join!(
                    self.put_with_retries(version - 1, &first, one),
                    self.put_with_retries(version, &second, other),
                );
            } else {
                let to = self.random_control_vm(&mut rng);
                self.put_with_retries(version, &first, to).await;
            }
        }
    }

    fn table(&self, version: u64, marker_versions: &[u64]) -> Value {
        let mut table = table(version, marker_versions);
        if self.has_cold_limits {
            Operator::add_cold_limits(&mut table, &COLD_LIMIT);
        }
        table
    }

    /// Returns the control VMs, in turn and without end, from a random one on.
    pub(crate) fn control_vms_in_turn(&self) -> impl Iterator<Item = SocketAddr> {
        let first = rand::rng().random_range(0..self.control_vms.len());
        self.control_vms.iter().copied().cycle().skip(first)
    }

    async fn send_invalid(&self, version: u64, marker_versions: &[u64], rng: &mut StdRng) {
        let mut table = self.table(version, marker_versions);
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
        let to = self.random_control_vm(rng);
        self.put(version, &table, false, to).await;
    }

    fn random_control_vm(&self, rng: &mut StdRng) -> SocketAddr {
        self.control_vms[rng.random_range(0..self.control_vms.len())]
    }

    /// Sends a table to one control VM after another until one of them acknowledges it.
    async fn put_with_retries(&self, version: u64, table: &Value, first: SocketAddr) {
        let first_index = self.control_vms.iter().position(|vm| *vm == first);
        let mut vms = self
            .control_vms
            .iter()
            .cycle()
            .skip(first_index.unwrap_or(0));
        for _ in 0..MAX_TRIES {
            let Some(vm) = vms.next() else { return };
            if self.put(version, table, true, *vm).await {
                return;
            }
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
    }

    async fn put(&self, version: u64, table: &Value, is_valid: bool, to: SocketAddr) -> bool {
        self.guarantees.record_table(version, table, is_valid);
        let status = Operator::put(to, table).await;
        self.guarantees.record_put_answer(version, status);
        status == Some(200)
    }

    async fn read_tables_forever(self: Arc<Self>) {
        for vm in self.control_vms.iter().cycle() {
            self.read(*vm).await;
            tokio::time::sleep(Duration::from_millis(150)).await;
        }
    }

    /// Reads and checks the table of one control VM. Returns whether the VM answered with a table.
    pub(crate) async fn read(&self, vm: SocketAddr) -> bool {
        let requested_at = Instant::now();
        let read = Operator::read(vm).await;
        if let Some(read) = &read {
            self.guarantees.check_read(requested_at, read);
        }
        read.is_some()
    }

    /// Requests the marker route of the newest acknowledged table from an entry VM repeatedly.
    async fn check_markers_forever(self: Arc<Self>, entry: SocketAddr) {
        let mut caller = Caller::default();
        for number in 0_u64.. {
            tokio::time::sleep(Duration::from_millis(200)).await;
            let version = self.guarantees.greatest_acknowledged();
            let request = CallerRequest {
                attempt_id: format!("look-{}-{number}", entry.ip()),
                host: HOST.to_owned(),
                path: format!("{}{number}", marker_prefix(version)),
                kind: CallerRequestKind::Read,
                key: None,
                time_left: Duration::from_millis(800),
            };
            self.guarantees.record_request(&request, entry, &[LIBRARY]);
            let requested_at = Instant::now();
            let answer = caller.send(entry, &request).await;
            let CallerAnswer::Complete { status, .. } = answer else {
                continue;
            };
            let guarantees = &self.guarantees;
            match status {
                404 => guarantees.record_marker_answer(entry, version, requested_at, false),
                200 => guarantees.record_marker_answer(entry, version, requested_at, true),
                _ => {}
            }
        }
    }
}

/// Returns the path prefix of the marker route of a version. An entry VM that knows the route has
/// this version or a later one in force.
fn marker_prefix(version: u64) -> String {
    format!("/version-{version}/")
}

fn table(version: u64, marker_versions: &[u64]) -> Value {
    let route = |name: &str, prefix: String, kind: CallerRequestKind, service: &str| {
        (name.to_owned(), prefix, kind, service.to_owned())
    };
    // Every third version routes the plans to another service.
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
    for version in marker_versions {
        routes.push(route(
            "mark",
            marker_prefix(*version),
            CallerRequestKind::Read,
            LIBRARY,
        ));
    }
    Operator::table(version, HOST, &routes, &[ARCHIVE], &[LEDGER, LIBRARY])
}
