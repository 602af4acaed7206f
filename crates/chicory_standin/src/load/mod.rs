//! The caller: generates load in a closed or open loop and follows the protocol for callers.

mod answer_check;
mod call;
mod call_result;
mod caller;
mod command;
mod config;
mod connection_pool;
mod key_chooser;
mod load_run;
mod report;

pub use answer_check::is_own_answer;
pub use call::Call;
pub use call_result::{CallOutcome, CallResult};
pub use caller::Caller;
pub use command::{LoadError, command, output, run};
pub use config::{CallKind, LoadConfig, LoadConfigBuilder, Pace};
pub use key_chooser::{KeyChooser, KeyPattern};
pub use load_run::run_load;
pub use report::{LoadReport, LoadSummary};
