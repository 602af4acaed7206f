//! The processes of one deployment.

use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};

use platform_stand_ins::BootFile;
use rustix::process::Signal;
use snafu::ResultExt;

use crate::addresses::{Addresses, LINK_PORT};
use crate::fleet::zone_name;
use crate::process_usage::ProcessUsage;
use crate::soak_error::{FileSnafu, SoakError};
use crate::socket_owner::SocketOwners;
use crate::vm_process::VmProcess;

/// Number of control VMs, one in each availability zone.
pub(crate) const CONTROL_VMS: u8 = 3;

/// Bounds that the settings state in runs with evacuations and cold servers.
const EVACUATION_BOUNDS: [&str; 4] = ["ackS=4", "evacuateS=5", "coldOverage=1.5", "coldSlack=8"];
/// Prefix of the file names of log segments.
const SEGMENT_PREFIX: &str = "log-";
/// Length of a torn record: its header and the first bytes of its body.
const TORN_BYTES: usize = 15;

/// A VM by its role and number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Vm {
    /// A control VM.
    Control(u8),
    /// An entry VM.
    Entry(u8),
}

impl Vm {
    /// Returns the name of the VM in its settings and in log file names.
    pub(crate) fn name(self) -> String {
        match self {
            Self::Control(index) => format!("control-{index}"),
            Self::Entry(index) => format!("entry-{index}"),
        }
    }

    fn index(self) -> u8 {
        match self {
            Self::Control(index) | Self::Entry(index) => index,
        }
    }
}

/// The processes of one deployment, with their settings, disks and logs.
pub(crate) struct Cluster {
    binaries: PathBuf,
    folder: PathBuf,
    addresses: Addresses,
    owners: SocketOwners,
    /// Whether the settings state zones and the bounds on evacuations and cold servers.
    has_evacuations: bool,
    processes: BTreeMap<Vm, VmProcess>,
}

impl Cluster {
    pub(crate) fn new(
        binaries: PathBuf,
        folder: PathBuf,
        addresses: Addresses,
        owners: SocketOwners,
        has_evacuations: bool,
    ) -> Self {
        Self {
            binaries,
            folder,
            addresses,
            owners,
            has_evacuations,
            processes: BTreeMap::new(),
        }
    }

    /// Starts the process of a VM. Only the first start of a deployment may form the group.
    pub(crate) fn start(&mut self, vm: Vm, is_first_start: bool) -> Result<(), SoakError> {
        let settings = self.write_settings(vm, is_first_start)?;
        let (program, listen_address) = match vm {
            Vm::Control(index) => ("platform-control", self.addresses.control_listen(index)),
            Vm::Entry(index) => ("platform-entry", self.addresses.entry(index)),
        };
        let process = VmProcess::start(
            &vm.name(),
            &self.binaries.join(program),
            &settings,
            listen_address,
            &self.folder.join(format!("{}.log", vm.name())),
        )?;
        if let Some(id) = process.id() {
            self.owners.record_start(vm, id);
        }
        self.processes.insert(vm, process);
        Ok(())
    }

    fn write_settings(&self, vm: Vm, is_first_start: bool) -> Result<PathBuf, SoakError> {
        let addresses = self.addresses;
        let index = vm.index();
        let (address, listen) = match vm {
            Vm::Control(_) => {
                let control = ("control".to_owned(), addresses.control_interface(index));
                (addresses.control_advertised(index), vec![control])
            }
            Vm::Entry(_) => {
                let callers = ("front".to_owned(), addresses.callers(index));
                let ready = ("ready".to_owned(), addresses.readiness(index));
                (addresses.entry(index), vec![callers, ready])
            }
        };
        let seeds = (0..CONTROL_VMS).map(|index| addresses.control_interface(index));
        let data_dir = self.data_dir(vm);
        let (zones, bounds) = if self.has_evacuations {
            let bounds = EVACUATION_BOUNDS.map(String::from);
            let zones = 0..usize::from(CONTROL_VMS);
            (zones.map(zone_name).collect(), bounds.to_vec())
        } else {
            (Vec::new(), Vec::new())
        };
        let file = BootFile {
            vm_name: vm.name(),
            address,
            zone: zone_name(usize::from(index % CONTROL_VMS)),
            zones,
            bounds,
            link_port: LINK_PORT,
            seeds: seeds.collect(),
            is_first_start,
            data_dir: matches!(vm, Vm::Control(_)).then(|| data_dir.clone()),
            listen: listen.into_iter().collect(),
            limits: BTreeMap::new(),
        };
        if matches!(vm, Vm::Control(_)) {
            fs::create_dir_all(&data_dir).context(FileSnafu { path: &data_dir })?;
        }
        let path = self.folder.join(format!("{}.toml", vm.name()));
        file.write(&path).context(FileSnafu { path: &path })?;
        Ok(path)
    }

    fn data_dir(&self, vm: Vm) -> PathBuf {
        self.folder.join(format!("{}.disk", vm.name()))
    }

    /// Kills a process.
    pub(crate) async fn kill(&mut self, vm: Vm) -> Result<(), SoakError> {
        match self.processes.remove(&vm) {
            Some(mut process) => process.kill().await,
            None => Ok(()),
        }
    }

    pub(crate) fn signal(&self, vm: Vm, signal: Signal) -> Result<(), SoakError> {
        self.processes
            .get(&vm)
            .map_or(Ok(()), |process| process.signal(signal))
    }

    /// Signals a process to read its settings again. A process that has not written any output yet
    /// gets no signal, as it might not handle signals so early and end.
    pub(crate) fn reload(&self, vm: Vm) -> Result<(), SoakError> {
        let process = self.processes.get(&vm);
        let process = process.filter(|process| process.has_written_output());
        process.map_or(Ok(()), |process| process.signal(Signal::HUP))
    }

    /// Removes a process from the cluster and returns it, so that it can be stopped and waited for.
    pub(crate) fn take_process(&mut self, vm: Vm) -> Option<VmProcess> {
        self.processes.remove(&vm)
    }

    pub(crate) fn is_running(&self, vm: Vm) -> bool {
        self.processes.contains_key(&vm)
    }

    /// Returns what each process has used of the machine, and under `soak` what this one has.
    pub(crate) fn usage(&self) -> BTreeMap<String, ProcessUsage> {
        let processes = self.processes.iter();
        let usage = processes.filter_map(|(vm, process)| Some((vm.name(), process.usage()?)));
        let own = ProcessUsage::of_process(std::process::id());
        let own = own.map(|usage| ("soak".to_owned(), usage));
        usage.chain(own).collect()
    }

    /// Removes the processes that exited without a fault or a planned stop, and returns their VMs.
    pub(crate) fn remove_unexpectedly_ended(&mut self) -> Vec<Vm> {
        let processes = self.processes.iter_mut();
        let ended = processes.filter_map(|(vm, process)| process.has_ended().then_some(*vm));
        let ended: Vec<Vm> = ended.collect();
        for vm in &ended {
            self.processes.remove(vm);
        }
        ended
    }

    /// Deletes the data of a VM whose process does not run.
    pub(crate) fn wipe(&self, vm: Vm) -> Result<(), SoakError> {
        let path = self.data_dir(vm);
        fs::remove_dir_all(&path).context(FileSnafu { path })
    }

    /// Appends an incomplete record to the log of a VM whose process does not run, as a power loss
    /// during a write may leave it.
    pub(crate) fn append_torn_record(&self, vm: Vm) -> Result<(), SoakError> {
        let files = files_below(&self.data_dir(vm))?.into_iter();
        let segments = files.filter(|path| {
            let name = path.file_name().unwrap_or_default();
            name.to_string_lossy().starts_with(SEGMENT_PREFIX)
        });
        let Some(path) = segments.max() else {
            return Ok(());
        };
        let mut content = fs::read(&path).context(FileSnafu { path: &path })?;
        let torn = content.len().min(TORN_BYTES);
        content.extend_from_within(..torn);
        fs::write(&path, content).context(FileSnafu { path: &path })
    }

    /// Returns the paths of the log files that contain a panic.
    pub(crate) fn panicked(&self) -> Result<Vec<String>, SoakError> {
        let mut panicked = Vec::new();
        for path in files_below(&self.folder)? {
            if path.extension().is_some_and(|extension| extension == "log") {
                let bytes = fs::read(&path).context(FileSnafu { path: &path })?;
                if String::from_utf8_lossy(&bytes).contains("panicked at") {
                    panicked.push(path.display().to_string());
                }
            }
        }
        Ok(panicked)
    }
}

fn files_below(folder: &Path) -> Result<Vec<PathBuf>, SoakError> {
    let mut files = Vec::new();
    let mut folders = vec![folder.to_owned()];
    while let Some(path) = folders.pop() {
        for entry in fs::read_dir(&path).context(FileSnafu { path: &path })? {
            let path = entry.context(FileSnafu { path: &path })?.path();
            if path.is_dir() {
                folders.push(path);
            } else {
                files.push(path);
            }
        }
    }
    Ok(files)
}
