//! The checker of a run, which reads histories and nothing else.

mod check_records;
mod check_report;
mod command;
mod edit_check;
mod figures;
mod grant_check;
mod grant_span;
mod history_file;
mod order_check;
mod outcome_check;
mod owner_check;
mod run;
mod violation;

pub use check_records::check_records;
pub use check_report::CheckReport;
pub use command::{CheckOutcome, command, run};
pub use figures::{EditFigures, ServiceFigures};
pub use history_file::read_histories;
pub use run::{Run, RunEnd};
pub use violation::Violation;
