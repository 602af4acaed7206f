//! The operator's command line.
//!
//! Each command asks control processes through a [`ControlClient`](client::ControlClient), so that
//! it can be tested against a fake, and returns a [`Report`], which is printed as text or JSON.

pub mod client;
pub mod command;
mod command_line;
mod ctl_error;
pub mod explain;
mod history;
mod report;
mod run;

pub use command_line::command_line;
pub use ctl_error::{CtlError, ExitStatus};
pub use history::EditHistory;
pub use report::{OutputFormat, Report};
pub use run::run;
