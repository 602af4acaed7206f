//! The library behind `chicoryctl`, the operator's command-line program.
//!
//! Most commands send their requests to control processes through the trait
//! [`ControlClient`](client::ControlClient), so that tests can replace the cluster by a fake. The
//! `routes` commands use a [`SiteClient`](client::SiteClient); `ca` and `explain` only work on
//! local files. Every command returns a [`Report`], which [`run()`] prints as text or JSON.

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
