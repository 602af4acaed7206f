//! The binary of the entry process.

use std::process::ExitCode;

use chicory_entry::{EntryError, EntryProcess, EntrySettings, command};
use chicory_settings::StartAction;
use chicory_telemetry::new_logger;
use slog::{error, info};
use tokio::signal::unix::{SignalKind, signal};

fn main() -> ExitCode {
    let matches = command().get_matches();
    let settings = match StartAction::from_settings(&matches, EntrySettings::read(&matches)) {
        StartAction::Run(settings) => settings,
        StartAction::Exit(code) => return code,
    };
    let logger = new_logger(settings.log_format, "chicory-entry", &settings.vm);
    let ended = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|source| EntryError::Runtime { source })
        .and_then(|runtime| runtime.block_on(run(settings, logger.clone())));
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            error!(logger, "cannot start"; "error" => %fault);
            ExitCode::FAILURE
        }
    }
}

async fn run(settings: EntrySettings, logger: slog::Logger) -> Result<(), EntryError> {
    let terminate = signal(SignalKind::terminate());
    let interrupt = signal(SignalKind::interrupt());
    let (Ok(mut terminate), Ok(mut interrupt)) = (terminate, interrupt) else {
        let source = std::io::Error::other("cannot install the signal handlers");
        return Err(EntryError::Runtime { source });
    };
    let process = EntryProcess::start(settings, logger.clone()).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    info!(logger, "asked to stop");
    process.request_stop();
    process.stopped().await;
    Ok(())
}
