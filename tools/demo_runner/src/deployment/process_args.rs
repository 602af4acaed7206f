//! The command lines of entry and control processes.

use std::fmt::Display;
use std::path::Path;

use super::{Role, Vm};

/// Environment variable that keeps logs, histories and traces after a run.
pub const KEEP_FILES_VARIABLE: &str = "CHICORY_KEEP_FILES";

/// Name of the cluster.
pub const CLUSTER_NAME: &str = "demo";

/// Returns the arguments for the process of `vm`, one of `vms`, with its files in `folder`.
pub fn process_args(vm: &Vm, vms: &[Vm], folder: &Path) -> Vec<String> {
    let mut args = Args::default();
    args.add("cluster", &CLUSTER_NAME);
    args.add("vm", &vm.name);
    args.add("zone", &vm.zone);
    args.add("peer-listen", &vm.peer);
    args.add("admin-listen", &vm.admin);
    match vm.role {
        Role::Entry => {
            args.add("listen", &vm.listen);
            args.add("announce-listen", &vm.announce);
            args.add("control", &zone_peers(vm, vms));
        }
        Role::Control { is_global } => {
            args.add("zone-peers", &zone_peers(vm, vms));
            args.add(
                "global-peers",
                &peer_list(vms.iter().filter(|vm| vm.is_global())),
            );
            if is_global {
                args.add("data-dir", &data_folder(vm, folder).display());
            }
        }
    }
    let certificate = format!("{}-{}", vm.role.name(), vm.name);
    args.add_certificate(&certificate, folder);
    args.add("log-format", &"json");
    args.add("fault-file", &fault_file(vm, folder).display());
    if std::env::var_os(KEEP_FILES_VARIABLE).is_some() {
        args.add("trace-file", &trace_file(vm, folder).display());
    }
    args.list
}

/// Returns an unused path for the trace of the next start of a VM's process.
fn trace_file(vm: &Vm, folder: &Path) -> std::path::PathBuf {
    let name = |start: u32| folder.join(format!("{}.{start}.trace.jsonl", vm.name));
    let mut start = 1;
    while name(start).exists() {
        start += 1;
    }
    name(start)
}

/// Returns the path of the data folder of a VM.
pub fn data_folder(vm: &Vm, folder: &Path) -> std::path::PathBuf {
    folder.join(format!("{}.data", vm.name))
}

/// Returns the path of the fault file of a VM, which lists the addresses that it is cut off from.
pub fn fault_file(vm: &Vm, folder: &Path) -> std::path::PathBuf {
    folder.join(format!("{}.cut", vm.name))
}

/// Returns a list of VMs and their addresses, in the form that the flags for peers expect.
pub fn peer_list<'a>(vms: impl Iterator<Item = &'a Vm>) -> String {
    let pairs: Vec<String> = vms.map(|vm| format!("{}={}", vm.name, vm.peer)).collect();
    pairs.join(",")
}

fn zone_peers(vm: &Vm, vms: &[Vm]) -> String {
    let is_peer = |other: &&Vm| other.is_control() && other.zone == vm.zone;
    peer_list(vms.iter().filter(is_peer))
}

/// The arguments of a command line.
#[derive(Debug, Default)]
pub struct Args {
    /// The arguments so far.
    pub list: Vec<String>,
}

impl Args {
    /// Adds a flag with its value.
    pub fn add(&mut self, flag: &str, value: &dyn Display) {
        self.list.push(format!("--{flag}"));
        self.list.push(value.to_string());
    }

    /// Adds the flags for the certificate `name` in `folder`, its key and its authority.
    pub fn add_certificate(&mut self, name: &str, folder: &Path) {
        self.add("ca", &folder.join("ca.pem").display());
        self.add("cert", &folder.join(format!("{name}.pem")).display());
        self.add("key", &folder.join(format!("{name}.key.pem")).display());
    }
}
