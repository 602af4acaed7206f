//! From a request's id to its cause, by log lines alone.

mod explanation;
mod log_line;
mod related_lines;
mod request_summary;

pub use explanation::Explanation;
pub use log_line::LogLine;
pub use request_summary::RequestSummary;
