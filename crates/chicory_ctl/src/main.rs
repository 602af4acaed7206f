//! The `chicoryctl` program, with which operators manage a cluster.

use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = chicory_ctl::command_line().get_matches();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a current-thread runtime only needs the I/O poller of the operating system");
    let status = runtime.block_on(chicory_ctl::run(&matches));
    ExitCode::from(status.code())
}
