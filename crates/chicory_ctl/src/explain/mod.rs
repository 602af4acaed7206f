//! Explains from log lines alone why a request was answered or refused.

mod explanation;
mod log_line;
mod related_lines;
mod request_summary;

pub use explanation::Explanation;
pub use log_line::LogLine;
pub use request_summary::RequestSummary;
