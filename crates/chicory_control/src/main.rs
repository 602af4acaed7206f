//! The control process `chicory-control`.

use std::process::ExitCode;

use chicory_control::{ControlSettings, control_command, run};
use chicory_settings::StartAction;

fn main() -> ExitCode {
    let matches = control_command().get_matches();
    let settings = match StartAction::from_settings(&matches, ControlSettings::read(&matches)) {
        StartAction::Run(settings) => settings,
        StartAction::Exit(code) => return code,
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let ended = match runtime {
        Ok(runtime) => runtime.block_on(run(settings)),
        Err(error) => {
            eprintln!("runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
