//! The logger of a process.

use slog::{Drain, Logger, o};

use crate::LogFormat;

/// Number of records that may wait to be written; `slog-async` drops and counts further ones.
const LOG_QUEUE_RECORDS: usize = 1024;

/// Creates the logger of a process, which writes to standard error from a separate thread.
///
/// # Examples
///
/// ```
/// use chicory_telemetry::{LogFormat, new_logger};
///
/// let logger = new_logger(LogFormat::Json, "chicory-entry", "vm-1");
/// slog::info!(logger, "ready");
/// ```
pub fn new_logger(format: LogFormat, program: &'static str, vm: &str) -> Logger {
    let fields = o!("program" => program, "vm" => vm.to_owned());
    match format {
        LogFormat::Terminal => {
            let decorator = slog_term::TermDecorator::new().stderr().build();
            let drain = slog_term::FullFormat::new(decorator).build().fuse();
            Logger::root(write_in_background(drain), fields)
        }
        LogFormat::Json => {
            let drain = slog_json::Json::default(std::io::stderr()).fuse();
            Logger::root(write_in_background(drain), fields)
        }
    }
}

/// Creates the logger of a process, which writes JSON lines to standard output from a separate
/// thread.
///
/// Lines that are logged faster than they can be written are dropped and counted, so that logging
/// never blocks the process.
pub fn new_stdout_logger(program: &'static str, vm: &str) -> Logger {
    let fields = o!("program" => program, "vm" => vm.to_owned());
    let drain = slog_json::Json::default(std::io::stdout()).fuse();
    Logger::root(write_in_background(drain), fields)
}

fn write_in_background<D>(drain: D) -> slog::Fuse<slog_async::Async>
where
    D: Drain<Err = slog::Never, Ok = ()> + Send + 'static,
{
    slog_async::Async::new(drain)
        .chan_size(LOG_QUEUE_RECORDS)
        .build()
        .fuse()
}
