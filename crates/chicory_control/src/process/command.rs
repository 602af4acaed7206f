//! The command line of the control process.

use chicory_settings::{check_flag, setting};
use clap::Command;

/// The command line of the control process.
#[must_use]
pub fn control_command() -> Command {
    Command::new("chicory-control")
        .about(
            "Control process: voter of its availability zone, and of the global group where it has \
             a disk",
        )
        .version(env!("CARGO_PKG_VERSION"))
        .arg(setting("cluster", "NAME", "Name of the deployment"))
        .arg(setting(
            "vm",
            "NAME",
            "Name of this VM, unique in the deployment",
        ))
        .arg(setting("zone", "NAME", "Availability zone of this VM"))
        .arg(setting(
            "peer-listen",
            "ADDRESS",
            "IP address and port (UDP) for the other processes",
        ))
        .arg(setting(
            "admin-listen",
            "ADDRESS",
            "IP address and port for /healthz, /readyz and /metrics",
        ))
        .arg(setting(
            "zone-peers",
            "VM=ADDRESS,...",
            "Peer addresses of all control processes of this zone, this one included",
        ))
        .arg(setting(
            "global-peers",
            "VM=ADDRESS,...",
            "Peer addresses of all control processes with a disk that form the global group",
        ))
        .arg(setting(
            "data-dir",
            "FOLDER",
            "Folder for the state of this VM's groups; required where this VM is in --global-peers",
        ))
        .arg(setting(
            "ca",
            "FILE",
            "Certificate of the deployment's authority, PEM",
        ))
        .arg(setting("cert", "FILE", "Certificate of this process, PEM"))
        .arg(setting("key", "FILE", "Private key of this process, PEM"))
        .arg(setting("log-format", "FORMAT", "terminal or json").default_value("terminal"))
        .arg(setting(
            "trace-file",
            "FILE",
            "Writes every event of the reducer, for replay",
        ))
        .arg(setting("fault-file", "FILE", "Lists peers to cut off, for tests").hide(true))
        .arg(check_flag())
}
