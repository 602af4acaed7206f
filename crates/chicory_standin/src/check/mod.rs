//! The judge of a run, which reads histories and nothing else.

mod command;
mod edit_check;
mod figures;
mod grant_check;
mod grant_span;
mod history_file;
mod judge;
mod order_check;
mod outcome_check;
mod owner_check;
mod run;
mod verdict;
mod violation;

pub use command::{CheckOutcome, command, run};
pub use figures::{EditFigures, ServiceFigures};
pub use history_file::read_histories;
pub use judge::judge;
pub use run::{Run, RunEnd};
pub use verdict::Verdict;
pub use violation::Violation;
