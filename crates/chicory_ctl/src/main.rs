//! The operator's command line.

use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = chicory_ctl::command_line().get_matches();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the runtime needs only the system's poller");
    let status = runtime.block_on(chicory_ctl::run(&matches));
    ExitCode::from(status.code())
}
