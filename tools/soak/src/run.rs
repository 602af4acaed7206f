//! One run.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use snafu::ResultExt;
use tokio::sync::Mutex;
use tokio::task::JoinSet;

use crate::addresses::Addresses;
use crate::cluster::{CONTROL_VMS, Cluster, Vm};
use crate::fleet::Fleet;
use crate::load::Load;
use crate::operators::Operators;
use crate::options::Options;
use crate::plan::Plan;
use crate::promises::Promises;
use crate::proxy::Proxy;
use crate::proxy_rules::ProxyRules;
use crate::soak_error::{FileSnafu, SoakError};
use crate::verdict::Verdict;

/// Time within which a deployment has to serve after its first start.
const START_LIMIT: Duration = Duration::from_secs(20);
/// Time within which a deployment has to serve after all is whole; stated by the operators.
const RECOVERY_LIMIT: Duration = Duration::from_secs(15);
/// Span over which recovery is judged.
const RECOVERY_SPAN: Duration = Duration::from_secs(2);
/// Part of the requests that have to be served then; much above the quarter that is stated.
const RECOVERED_PART: f64 = 0.9;

/// One run: a deployment with its servers, callers and operators.
pub struct Run {
    pub(crate) addresses: Addresses,
    pub(crate) promises: Arc<Promises>,
    pub(crate) rules: Arc<ProxyRules>,
    pub(crate) cluster: Mutex<Cluster>,
    pub(crate) fleet: Mutex<Fleet>,
    pub(crate) load: Arc<Load>,
    pub(crate) operators: Arc<Operators>,
    pub(crate) entry_count: u8,
}

impl Run {
    /// Plays a seed; `index` tells runs at the same time apart.
    ///
    /// # Errors
    ///
    /// [`SoakError`] where the run can't be played, which says nothing of the promises.
    pub async fn play(options: &Options, index: usize, seed: u64) -> Result<Verdict, SoakError> {
        let folder = tempfile::tempdir().context(FileSnafu { path: "a folder" })?;
        let addresses = Addresses::new(index);
        let promises = Arc::new(Promises::new());
        let rules = Arc::new(ProxyRules::default());
        let fleet = Fleet::new(addresses, promises.clone(), rules.clone(), seed);
        let entries = 0..options.entry_count;
        let entries: Vec<_> = entries
            .map(|index| (addresses.callers(index), addresses.readiness(index)))
            .collect();
        let callers = entries.iter().map(|(callers, _)| *callers).collect();
        let control_vms = (0..CONTROL_VMS).map(|index| addresses.control_interface(index));
        let operators = Operators::new(promises.clone(), control_vms.collect(), callers);
        let binaries = options.binaries.clone();
        let cluster = Cluster::new(binaries, folder.path().to_owned(), addresses);
        let run = Arc::new(Self {
            addresses,
            load: Load::new(promises.clone(), entries),
            promises,
            rules,
            cluster: Mutex::new(cluster),
            fleet: Mutex::new(fleet),
            operators,
            entry_count: options.entry_count,
        });
        let plan = Plan::of(seed, options.rounds, options.entry_count, Fleet::count());
        run.clone().carry_out(&plan, seed).await?;
        let (asked, served, refused) = run.load.counts();
        let verdict = Verdict {
            seed,
            asked,
            served,
            refused,
            steps: plan.steps.len(),
            violations: run.promises.violations(),
        };
        if options.keeps_logs || !verdict.violations.is_empty() {
            keep_logs(folder.path(), &options.logs.join(seed.to_string()), &plan)?;
        }
        Ok(verdict)
    }

    async fn carry_out(self: Arc<Self>, plan: &Plan, seed: u64) -> Result<(), SoakError> {
        let _proxies = self.start_all().await?;
        let _operators = self.operators.start(seed);
        let _callers = self.load.start();
        if !self.recover(START_LIMIT).await {
            self.promises
                .note(["does not serve after its start".to_owned()]);
            return Ok(());
        }
        let begin = Instant::now();
        let mut works = JoinSet::new();
        for (at, fault) in plan.steps.clone() {
            tokio::time::sleep_until((begin + at).into()).await;
            let run = self.clone();
            works.spawn(async move { run.inflict(fault).await });
            self.look_for_ends().await?;
        }
        while let Some(ended) = works.join_next().await {
            if let Ok(Err(failure)) = ended {
                return Err(failure);
            }
        }
        tokio::time::sleep_until((begin + plan.end).into()).await;
        if !self.recover(RECOVERY_LIMIT).await {
            self.promises.note(["does not recover".to_owned()]);
        }
        self.read_back().await;
        self.look_for_ends().await?;
        let panicked = self.cluster.lock().await.panicked()?;
        let panicked = panicked.into_iter();
        self.promises
            .note(panicked.map(|log| format!("panic in {log}")));
        Ok(())
    }

    async fn start_all(&self) -> Result<Vec<Proxy>, SoakError> {
        let mut proxies = Vec::new();
        for index in 0..CONTROL_VMS {
            let own = self.addresses.control_own(index);
            let interface = self.addresses.control_interface(index);
            let links = self.addresses.control_id(index);
            for (told, is_link) in [(interface, false), (links, true)] {
                let own = (own, told.port()).into();
                let rules = self.rules.clone();
                proxies.push(Proxy::start(told, own, is_link, rules).await?);
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
        if !self.operators.put_first(START_LIMIT).await {
            self.promises
                .note(["no first table is acknowledged".to_owned()]);
        }
        self.fleet.lock().await.start().await?;
        Ok(proxies)
    }

    /// Waits until nearly all requests are served for a while; `false` if that takes too long.
    async fn recover(&self, limit: Duration) -> bool {
        let give_up_at = Instant::now() + limit;
        while Instant::now() < give_up_at {
            let (asked, served, _) = self.load.counts();
            tokio::time::sleep(RECOVERY_SPAN).await;
            let (asked_later, served_later, _) = self.load.counts();
            let asked = asked_later - asked;
            let served = served_later - served;
            #[expect(clippy::cast_precision_loss, reason = "counts are small")]
            let part = served as f64 / asked.max(1) as f64;
            if asked > 0 && part >= RECOVERED_PART {
                return true;
            }
        }
        false
    }

    /// In the end every control VM tells what was acknowledged.
    async fn read_back(&self) {
        for index in 0..CONTROL_VMS {
            let vm = self.addresses.control_interface(index);
            let give_up_at = Instant::now() + RECOVERY_LIMIT;
            while !self.operators.read(vm).await {
                if Instant::now() > give_up_at {
                    self.promises
                        .note([format!("{vm} does not tell the table")]);
                    break;
                }
                tokio::time::sleep(Duration::from_millis(200)).await;
            }
        }
    }

    /// Processes that end by themselves break a promise, and are started again.
    async fn look_for_ends(&self) -> Result<(), SoakError> {
        let mut cluster = self.cluster.lock().await;
        for vm in cluster.ended_by_themselves() {
            self.promises
                .note([format!("{} ends by itself", vm.name())]);
            cluster.start(vm, false)?;
        }
        Ok(())
    }
}

/// Moves the logs of a run to where they stay, with its plan.
fn keep_logs(folder: &Path, to: &Path, plan: &Plan) -> Result<(), SoakError> {
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
