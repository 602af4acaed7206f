//! The control process `chicory-control`.

use std::process::ExitCode;

use chicory_control::{ControlSettings, control_command, run};
use chicory_settings::FAULTY_SETTINGS_EXIT_CODE;

fn main() -> ExitCode {
    let matches = control_command().get_matches();
    let settings = match ControlSettings::read(&matches) {
        Ok(settings) => settings,
        Err(faults) => {
            eprint!("{faults}");
            return ExitCode::from(FAULTY_SETTINGS_EXIT_CODE);
        }
    };
    if matches.get_flag("check") {
        println!("settings are sound");
        return ExitCode::SUCCESS;
    }
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
