//! All processes of a deployment.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::time::Duration;

use chicory_standin::check::{CheckReport, check_records, read_histories};
use chicory_standin::server::send_once;
use serde_json::Value;
use snafu::{OptionExt, ResultExt, ensure};
use tempfile::TempDir;

use super::operator::OPERATOR_NAME;
use super::ports::Ports;
use super::process_args::{KEEP_FILES_VARIABLE, data_folder, fault_file, peer_list, process_args};
use super::{DeploymentSize, Operator, Role, StandinConfig, StandinGroup, Vm};
use crate::child_process::{ChildProcess, Signal};
use crate::runner_error::{FileSnafu, UnexpectedSnafu};
use crate::{RunnerError, wait};

/// Time limit for the deployment to form its groups and become ready.
const FORM_TIMEOUT: Duration = Duration::from_secs(40);
/// Time limit of one readiness check.
const HEALTH_TIMEOUT: Duration = Duration::from_secs(1);

/// All processes of a deployment. They are killed when this value is dropped.
#[derive(Debug)]
pub struct Cluster {
    /// The VMs.
    pub vms: Vec<Vm>,
    /// The operator.
    pub operator: Operator,
    /// Running stand-ins by name.
    pub standins: BTreeMap<String, StandinGroup>,
    processes: BTreeMap<String, ChildProcess>,
    histories: Vec<PathBuf>,
    folder: TempDir,
    binaries: PathBuf,
}

impl Cluster {
    /// Issues certificates, starts all entry and control processes and waits until the global group
    /// is formed.
    ///
    /// # Errors
    ///
    /// [`RunnerError`] if a process doesn't start or the group isn't formed in time.
    pub async fn start(size: DeploymentSize, binaries: &Path) -> Result<Self, RunnerError> {
        let folder = new_folder()?;
        let mut ports = Ports::new();
        let vms = plan(size, &mut ports)?;
        let global = peer_list(vms.iter().filter(|vm| vm.is_global()));
        let mut cluster = Self {
            operator: Operator::new(binaries, folder.path(), global),
            vms,
            standins: BTreeMap::new(),
            processes: BTreeMap::new(),
            histories: Vec::new(),
            folder,
            binaries: binaries.to_owned(),
        };
        cluster.issue_certificates().await?;
        drop(ports);
        for vm in cluster.vms.clone() {
            cluster.start_process(&vm.name)?;
        }
        cluster.wait_formed().await?;
        Ok(cluster)
    }

    /// Returns the folder of all files of the run.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Returns the path of a new history file, which [`Self::check_histories`] includes.
    pub fn new_history(&mut self, name: &str) -> PathBuf {
        let path = self.folder.path().join(format!("{name}.jsonl"));
        self.histories.push(path.clone());
        path
    }

    /// Returns the VM `name`.
    ///
    /// # Errors
    ///
    /// [`RunnerError::Unexpected`] if there is none.
    pub fn vm(&self, name: &str) -> Result<&Vm, RunnerError> {
        let vm = self.vms.iter().find(|vm| vm.name == name);
        vm.with_context(|| UnexpectedSnafu {
            expected: "a VM of the deployment",
            found: name,
        })
    }

    /// Returns the answer of `chicoryctl owner` for a key, from the zone that has custody of it.
    ///
    /// # Errors
    ///
    /// [`RunnerError::Command`] if no control process of that zone answers.
    pub async fn owner(&self, service: &str, key: &str) -> Result<Value, RunnerError> {
        let question = ["owner", service, key];
        let zone = self.vms[0].zone.clone();
        let owner = self.zone_operator(&zone).run(&question).await?;
        match owner["custody_zone"].as_str() {
            Some(custody) if custody != zone => self.zone_operator(custody).run(&question).await,
            _ => Ok(owner),
        }
    }

    /// Returns an operator who calls only the control processes of one zone.
    fn zone_operator(&self, zone: &str) -> Operator {
        let is_selected = |vm: &&Vm| vm.is_control() && vm.zone == zone;
        let control = peer_list(self.vms.iter().filter(is_selected));
        self.operator.with_control_processes(control)
    }

    /// Returns the entry VMs of `zone`, or of all zones if it is `None`.
    pub fn entries(&self, zone: Option<&str>) -> Vec<Vm> {
        let is_selected =
            |vm: &&Vm| vm.role == Role::Entry && zone.is_none_or(|zone| vm.zone == zone);
        self.vms.iter().filter(is_selected).cloned().collect()
    }

    /// Returns the addresses for callers of those entry VMs whose process runs.
    pub fn caller_addresses(&self, zone: Option<&str>) -> Vec<String> {
        let entries = self.entries(zone).into_iter();
        entries
            .filter(|vm| self.processes.contains_key(&vm.name))
            .map(|vm| vm.listen.to_string())
            .collect()
    }

    /// Starts the process of a VM, for the first time or after it was killed.
    ///
    /// # Errors
    ///
    /// [`RunnerError`] if it can't be started.
    pub fn start_process(&mut self, vm: &str) -> Result<(), RunnerError> {
        let vm = self.vm(vm)?.clone();
        let program = self.binaries.join(format!("chicory-{}", vm.role.name()));
        let args = process_args(&vm, &self.vms, self.folder.path());
        let process = ChildProcess::start(&vm.name, &program, &args, self.folder.path())?;
        self.processes.insert(vm.name, process);
        Ok(())
    }

    /// Kills the process of a VM.
    ///
    /// # Errors
    ///
    /// [`RunnerError`] if it isn't running.
    pub async fn kill_process(&mut self, vm: &str) -> Result<(), RunnerError> {
        self.take_process(vm)?.kill().await
    }

    /// Stops the process of a VM as planned.
    ///
    /// # Errors
    ///
    /// [`RunnerError`] if it doesn't end with exit code 0.
    pub async fn stop_process(&mut self, vm: &str) -> Result<(), RunnerError> {
        self.take_process(vm)?.stop().await
    }

    /// Waits for the end of a process that was sent the signal to stop.
    ///
    /// # Errors
    ///
    /// [`RunnerError`] if it doesn't end in time, or its exit code isn't 0.
    pub async fn wait_stopped(&mut self, vm: &str) -> Result<(), RunnerError> {
        self.take_process(vm)?.wait_stopped().await
    }

    /// Sends a signal to the process of a VM.
    ///
    /// # Errors
    ///
    /// [`RunnerError`] if it isn't running.
    pub async fn signal(&self, vm: &str, signal: Signal) -> Result<(), RunnerError> {
        let process = self.processes.get(vm);
        let process = process.with_context(|| UnexpectedSnafu {
            expected: "a running process",
            found: vm,
        })?;
        process.signal(signal).await
    }

    /// Deletes the data folder of a VM.
    ///
    /// # Errors
    ///
    /// [`RunnerError::File`] if it can't be deleted.
    pub fn delete_data(&self, vm: &str) -> Result<(), RunnerError> {
        let path = data_folder(self.vm(vm)?, self.folder.path());
        std::fs::remove_dir_all(&path).context(FileSnafu { path })
    }

    /// Cuts a zone off from all others, in both directions.
    ///
    /// # Errors
    ///
    /// [`RunnerError::File`] if a fault file can't be written.
    pub fn cut_off(&self, zone: &str) -> Result<(), RunnerError> {
        for vm in &self.vms {
            let is_across = |other: &&Vm| (vm.zone == zone) != (other.zone == zone);
            let across = self.vms.iter().filter(is_across);
            let lines: Vec<String> = across.map(|other| other.peer.to_string()).collect();
            self.write_cut(vm, &lines)?;
        }
        Ok(())
    }

    /// Cuts one VM off from all others, in both directions.
    ///
    /// # Errors
    ///
    /// [`RunnerError::File`] if a fault file can't be written.
    pub fn isolate(&self, name: &str) -> Result<(), RunnerError> {
        for vm in &self.vms {
            let is_across = |other: &&Vm| (vm.name == name) != (other.name == name);
            let across = self.vms.iter().filter(is_across);
            let lines: Vec<String> = across.map(|other| other.peer.to_string()).collect();
            self.write_cut(vm, &lines)?;
        }
        Ok(())
    }

    /// Ends all cuts.
    ///
    /// # Errors
    ///
    /// [`RunnerError::File`] if a fault file can't be written.
    pub fn end_cuts(&self) -> Result<(), RunnerError> {
        self.vms.iter().try_for_each(|vm| self.write_cut(vm, &[]))
    }

    /// Starts a stand-in process, whose servers announce themselves to the entry VMs of their zone.
    ///
    /// # Errors
    ///
    /// [`RunnerError`] if it doesn't start.
    pub async fn start_standin(&mut self, config: StandinConfig) -> Result<(), RunnerError> {
        let entries = self.entries(Some(&config.zone)).into_iter();
        let announce: Vec<String> = entries.map(|vm| vm.announce.to_string()).collect();
        let (binaries, folder) = (&self.binaries, self.folder.path());
        let group = StandinGroup::start(config, &announce, binaries, folder).await?;
        if !self.histories.contains(&group.history) {
            self.histories.push(group.history.clone());
        }
        self.standins.insert(group.config.name.clone(), group);
        Ok(())
    }

    /// Kills a stand-in process.
    ///
    /// # Errors
    ///
    /// [`RunnerError`] if it isn't running.
    pub async fn kill_standin(&mut self, name: &str) -> Result<(), RunnerError> {
        let group = self.standins.remove(name);
        let group = group.with_context(|| UnexpectedSnafu {
            expected: "a running stand-in",
            found: name,
        })?;
        group.process.kill().await
    }

    /// Waits until a process reports that it is ready.
    ///
    /// # Errors
    ///
    /// [`RunnerError`] if a process ends on its own, or this one isn't ready in time.
    pub async fn wait_ready(&mut self, vm: &str) -> Result<(), RunnerError> {
        let admin = self.vm(vm)?.admin.to_string();
        let what = format!("readiness of {vm}");
        let ready = wait::until(&what, FORM_TIMEOUT, async || {
            match send_once(&admin, "/readyz", None, HEALTH_TIMEOUT).await {
                Ok(answer) if answer.status == 200 => Ok(()),
                Ok(answer) => Err(format!("{} {:?}", answer.status, answer.body)),
                Err(error) => Err(error.to_string()),
            }
        });
        let ready = ready.await;
        self.check_alive()?;
        ready
    }

    /// Stops all entry processes, then all control processes, and kills all stand-ins.
    ///
    /// # Errors
    ///
    /// [`RunnerError`] if a stopped process doesn't end with exit code 0.
    pub async fn stop(&mut self) -> Result<(), RunnerError> {
        let vms = self.vms.clone();
        let in_order = vms.iter().filter(|vm| !vm.is_control());
        for vm in in_order.chain(vms.iter().filter(|vm| vm.is_control())) {
            if self.processes.contains_key(&vm.name) {
                self.stop_process(&vm.name).await?;
            }
        }
        while let Some((_, group)) = self.standins.pop_first() {
            group.process.kill().await?;
        }
        Ok(())
    }

    /// Checks the histories of the run. `keyed` lists the services whose keys must have one owner
    /// at a time.
    ///
    /// # Errors
    ///
    /// [`RunnerError::History`] if a history can't be read.
    pub fn check_histories(&self, keyed: &[&str]) -> Result<CheckReport, RunnerError> {
        let operator = self.operator.history();
        let histories = self.histories.iter().chain([&operator]);
        let histories: Vec<PathBuf> = histories.filter(|path| path.exists()).cloned().collect();
        let records = read_histories(&histories)?;
        let keyed = keyed.iter().map(|service| (*service).to_owned()).collect();
        Ok(check_records(&records, &keyed))
    }

    /// Checks that the histories of the run contain no violation, and returns the result.
    ///
    /// # Errors
    ///
    /// [`RunnerError::Unexpected`] with the violations, if there are any.
    pub fn check_clean(&self, keyed: &[&str]) -> Result<CheckReport, RunnerError> {
        let check_result = self.check_histories(keyed)?;
        let violations = check_result
            .violations
            .iter()
            .map(|found| format!("\n  {found}"));
        ensure!(
            check_result.is_clean,
            UnexpectedSnafu {
                expected: "a clean history",
                found: violations.collect::<String>(),
            }
        );
        Ok(check_result)
    }

    /// Checks that all entry and control processes are still running.
    ///
    /// # Errors
    ///
    /// [`RunnerError::Ended`] with the last part of the log of one that has ended.
    pub fn check_alive(&mut self) -> Result<(), RunnerError> {
        let mut processes = self.processes.values_mut();
        processes.try_for_each(ChildProcess::check_alive)
    }

    async fn wait_formed(&mut self) -> Result<(), RunnerError> {
        let operator = self.operator.clone();
        let formed = wait::until("formation of the global group", FORM_TIMEOUT, async || {
            let status = operator.run(&["table", "status"]).await;
            status.map_err(|error| error.to_string())
        });
        let formed = formed.await;
        self.check_alive()?;
        formed.map(|_| ())
    }

    async fn issue_certificates(&self) -> Result<(), RunnerError> {
        let vms = self.vms.iter();
        let holders = vms.map(|vm| (vm.role.name(), vm.name.as_str()));
        let holders: Vec<(&str, &str)> = holders.chain([("operator", OPERATOR_NAME)]).collect();
        self.operator.issue_certificates(&holders).await
    }

    fn take_process(&mut self, vm: &str) -> Result<ChildProcess, RunnerError> {
        let process = self.processes.remove(vm);
        process.with_context(|| UnexpectedSnafu {
            expected: "a running process",
            found: vm,
        })
    }

    fn write_cut(&self, vm: &Vm, blocked: &[String]) -> Result<(), RunnerError> {
        let path = fault_file(vm, self.folder.path());
        std::fs::write(&path, blocked.join("\n")).context(FileSnafu { path })
    }
}

/// Creates a folder that is deleted with the deployment, unless [`KEEP_FILES_VARIABLE`] is set.
fn new_folder() -> Result<TempDir, RunnerError> {
    let mut folder = TempDir::new().context(FileSnafu {
        path: std::env::temp_dir(),
    })?;
    if std::env::var_os(KEEP_FILES_VARIABLE).is_some() {
        println!("files are kept in {}", folder.path().display());
        folder.disable_cleanup(true);
    }
    Ok(folder)
}

fn plan(size: DeploymentSize, ports: &mut Ports) -> Result<Vec<Vm>, RunnerError> {
    let mut vms = Vec::new();
    for (index, zone) in size.zone_names().enumerate() {
        let zone_number = index + 1;
        for number in 1..=size.controls {
            let is_global = number <= size.global_controls;
            let role = Role::Control { is_global };
            let name = format!("control-{zone_number}-{number}");
            vms.push(Vm::new(name, zone, role, ports)?);
        }
        for number in 1..=size.entries {
            let name = format!("entry-{zone_number}-{number}");
            vms.push(Vm::new(name, zone, Role::Entry, ports)?);
        }
    }
    Ok(vms)
}
