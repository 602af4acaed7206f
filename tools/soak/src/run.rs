//! One run of the soak.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use slog::{Logger, info};
use snafu::ResultExt;
use tokio::sync::Mutex;
use tokio::task::JoinSet;

use crate::addresses::Addresses;
use crate::cluster::{CONTROL_VMS, Cluster, Vm};
use crate::fleet::Fleet;
use crate::guarantees::Guarantees;
use crate::link_source::Recognition;
use crate::load::Load;
use crate::machine_usage::MachineUsage;
use crate::not_serving::NotServing;
use crate::operators::Operators;
use crate::options::Options;
use crate::plan::Plan;
use crate::proxy::Proxy;
use crate::proxy_rules::ProxyRules;
use crate::run_log::new_run_log;
use crate::run_result::RunResult;
use crate::soak_error::{FileSnafu, SoakError};
use crate::stall_watch::StallWatch;

/// Time limit for a new deployment to serve requests.
const START_LIMIT: Duration = Duration::from_secs(20);
/// Time limit for a deployment to serve again once all faults have ended. It is part of the
/// operators' requirements.
const RECOVERY_LIMIT: Duration = Duration::from_secs(15);
/// Interval at which the keys that servers hold are checked.
const KEY_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which servers that have ended are started again.
const SERVER_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Interval over which the share of served requests is computed.
const RECOVERY_SPAN: Duration = Duration::from_secs(2);
/// Share of the requests that has to be served after a recovery; much more than the quarter that
/// the operators require.
const RECOVERED_SHARE: f64 = 0.9;

/// One run: a deployment with its servers, callers and operators.
pub struct Run {
    pub(crate) addresses: Addresses,
    log: Logger,
    stall_watch: StallWatch,
    pub(crate) guarantees: Arc<Guarantees>,
    pub(crate) rules: Arc<ProxyRules>,
    pub(crate) cluster: Mutex<Cluster>,
    pub(crate) fleet: Mutex<Fleet>,
    pub(crate) load: Arc<Load>,
    pub(crate) operators: Arc<Operators>,
    pub(crate) entry_count: u8,
}

impl Run {
    /// Runs the plan of a seed. `index` selects the addresses, so that runs at the same time use
    /// different ones. `repetition` tells the runs of one seed apart.
    ///
    /// # Errors
    ///
    /// [`SoakError`] if the run can't be carried out, which says nothing about the guarantees.
    pub async fn execute(
        options: &Options,
        index: usize,
        seed: u64,
        repetition: usize,
    ) -> Result<RunResult, SoakError> {
        let folder = tempfile::tempdir().context(FileSnafu { path: "a folder" })?;
        let (log, log_guard) = new_run_log(folder.path())?;
        let addresses = Addresses::new(index);
        let guarantees = Arc::new(Guarantees::new());
        let rules = Arc::new(ProxyRules::default());
        let fleet = Fleet::new(addresses, guarantees.clone(), rules.clone(), seed);
        let entries = 0..options.entry_count;
        let entries: Vec<_> = entries
            .map(|index| (addresses.callers(index), addresses.readiness(index)))
            .collect();
        let callers = entries.iter().map(|(callers, _)| *callers).collect();
        let control_vms = (0..CONTROL_VMS).map(|index| addresses.control_interface(index));
        let has_evacuations = Plan::has_evacuations(seed);
        let operators = Operators::new(
            guarantees.clone(),
            control_vms.collect(),
            callers,
            has_evacuations,
        );
        let binaries = options.binaries.clone();
        let folder_path = folder.path().to_owned();
        let owners = rules.owners.clone();
        let cluster = Cluster::new(binaries, folder_path, addresses, owners, has_evacuations);
        let run = Arc::new(Self {
            addresses,
            load: Load::new(guarantees.clone(), entries, log.clone()),
            stall_watch: StallWatch::start(&log),
            log,
            guarantees,
            rules,
            cluster: Mutex::new(cluster),
            fleet: Mutex::new(fleet),
            operators,
            entry_count: options.entry_count,
        });
        let plan = Plan::from_seed(seed, options.rounds, options.entry_count, Fleet::count());
        let plan = match options.only {
            Some(kind) => plan.only(kind),
            None => plan,
        };
        let executed = run.clone().execute_plan(&plan, seed).await;
        run.fleet.lock().await.crash_all();
        executed?;
        let (sent, served, refused) = run.load.counts();
        let result = RunResult {
            seed,
            sent,
            served,
            refused,
            steps: plan.steps.len(),
            violations: run.guarantees.violations(),
        };
        drop(log_guard);
        if options.keeps_logs || !result.violations.is_empty() {
            let name = match repetition {
                0 => seed.to_string(),
                _ => format!("{seed}-{repetition}"),
            };
            copy_logs(folder.path(), &options.logs.join(name), &plan)?;
        }
        Ok(result)
    }

    async fn execute_plan(self: Arc<Self>, plan: &Plan, seed: u64) -> Result<(), SoakError> {
        let _proxies = self.start_all().await?;
        let _operators = self.operators.start(seed);
        let _callers = self.load.start();
        let mut key_check = JoinSet::new();
        key_check.spawn(check_held_keys_forever(self.guarantees.clone()));
        if Plan::has_evacuations(seed) {
            key_check.spawn(self.clone().restart_ended_servers_forever());
        }
        if let Err(seen) = self.wait_until_serving(START_LIMIT).await {
            self.guarantees.record_violations([format!(
                "deployment does not serve requests after its start: {seen}"
            )]);
            return Ok(());
        }
        let begin = Instant::now();
        let mut tasks = JoinSet::new();
        for (at, fault) in plan.steps.clone() {
            tokio::time::sleep_until((begin + at).into()).await;
            let run = self.clone();
            tasks.spawn(async move { run.inject(fault).await });
            self.restart_unexpectedly_ended().await?;
        }
        while let Some(ended) = tasks.join_next().await {
            if let Ok(Err(failure)) = ended {
                return Err(failure);
            }
        }
        tokio::time::sleep_until((begin + plan.end).into()).await;
        if let Err(seen) = self.wait_until_serving(RECOVERY_LIMIT).await {
            self.guarantees
                .record_violations([format!("deployment does not recover: {seen}")]);
        }
        self.check_final_tables().await;
        self.restart_unexpectedly_ended().await?;
        let panicked = self.cluster.lock().await.panicked()?;
        let panicked = panicked.into_iter();
        self.guarantees
            .record_violations(panicked.map(|log| format!("panic in {log}")));
        Ok(())
    }

    async fn start_all(&self) -> Result<Vec<Proxy>, SoakError> {
        let mut proxies = Vec::new();
        for index in 0..CONTROL_VMS {
            let target = self.addresses.control_listen(index);
            let interface = self.addresses.control_interface(index);
            let links = self.addresses.control_id(index);
            let interfaces = [(interface, Recognition::None), (links, Recognition::Hello)];
            for (advertised, recognition) in interfaces {
                let target = (target, advertised.port()).into();
                let rules = self.rules.clone();
                proxies.push(Proxy::start(advertised, target, recognition, rules).await?);
            }
        }
        {
            let mut cluster = self.cluster.lock().await;
            for index in 0..CONTROL_VMS {
                cluster.start(Vm::Control(index), true)?;
            }
            for index in 0..self.entry_count {
                cluster.start(Vm::Entry(index), true)?;
            }
        }
        if !self.operators.put_first_table(START_LIMIT).await {
            self.guarantees
                .record_violations(["the first table is not acknowledged".to_owned()]);
        }
        self.fleet.lock().await.start().await?;
        Ok(proxies)
    }

    /// Waits until nearly all requests of an interval are served.
    ///
    /// # Errors
    ///
    /// [`NotServing`] if that takes longer than `limit`.
    async fn wait_until_serving(&self, limit: Duration) -> Result<(), NotServing> {
        let deadline = Instant::now() + limit;
        let machine = MachineUsage::read();
        let usage_before = self.cluster.lock().await.usage();
        drop((self.load.take_unserved(), self.stall_watch.take_longest()));
        while Instant::now() < deadline {
            let (sent, served, _) = self.load.counts();
            tokio::time::sleep(RECOVERY_SPAN).await;
            let (sent_later, served_later, _) = self.load.counts();
            let sent = sent_later - sent;
            let served = served_later - served;
            #[expect(clippy::cast_precision_loss, reason = "counts are small")]
            let share = served as f64 / sent.max(1) as f64;
            if sent > 0 && share >= RECOVERED_SHARE {
                return Ok(());
            }
            info!(self.log, "not serving yet"; "sent" => sent, "served" => served);
        }
        let usage = self.cluster.lock().await.usage().into_iter();
        let processes = usage.map(|(name, usage)| {
            let before = usage_before.get(&name).copied();
            (name, usage.since(before))
        });
        Err(NotServing {
            unserved: self.load.take_unserved(),
            delays: self.stall_watch.take_longest(),
            machine: MachineUsage::read().since(machine),
            processes: processes.collect(),
        })
    }

    /// Reads the table of every control VM at the end of the run and checks it against the
    /// acknowledged ones.
    async fn check_final_tables(&self) {
        for index in 0..CONTROL_VMS {
            let vm = self.addresses.control_interface(index);
            let deadline = Instant::now() + RECOVERY_LIMIT;
            while !self.operators.read(vm).await {
                if Instant::now() > deadline {
                    self.guarantees
                        .record_violations([format!("{vm} does not return its table")]);
                    break;
                }
                tokio::time::sleep(Duration::from_millis(200)).await;
            }
        }
    }

    /// Starts the servers again that ended as they got too many requests while they were cold.
    async fn restart_ended_servers_forever(self: Arc<Self>) {
        loop {
            tokio::time::sleep(SERVER_CHECK_INTERVAL).await;
            let restarted = self.fleet.lock().await.restart_ended().await;
            if let Err(failure) = restarted {
                let violation = format!("a server can't be started again: {failure}");
                self.guarantees.record_violations([violation]);
            }
        }
    }

    /// Records a violation for each process that exited without a fault or a planned stop, and
    /// starts it again.
    async fn restart_unexpectedly_ended(&self) -> Result<(), SoakError> {
        let mut cluster = self.cluster.lock().await;
        for vm in cluster.remove_unexpectedly_ended() {
            self.guarantees
                .record_violations([format!("{} exited on its own", vm.name())]);
            cluster.start(vm, false)?;
        }
        Ok(())
    }
}

async fn check_held_keys_forever(guarantees: Arc<Guarantees>) {
    loop {
        guarantees.check_held_keys();
        tokio::time::sleep(KEY_CHECK_INTERVAL).await;
    }
}

/// Copies the logs of a run to the folder `to` and writes its plan there.
fn copy_logs(folder: &Path, to: &Path, plan: &Plan) -> Result<(), SoakError> {
    std::fs::create_dir_all(to).context(FileSnafu { path: to })?;
    let path = to.join("plan");
    std::fs::write(&path, plan.to_string()).context(FileSnafu { path })?;
    for entry in std::fs::read_dir(folder).context(FileSnafu { path: folder })? {
        let path: PathBuf = entry.context(FileSnafu { path: folder })?.path();
        if path.extension().is_some_and(|extension| extension == "log")
            && let Some(name) = path.file_name()
        {
            let kept = to.join(name);
            std::fs::copy(&path, &kept).context(FileSnafu { path: kept })?;
        }
    }
    Ok(())
}
