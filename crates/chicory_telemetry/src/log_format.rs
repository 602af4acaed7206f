//! The formats of log records.

use std::str::FromStr;

use snafu::Snafu;

/// The format in which log records are written to standard error.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// One human-readable line per record.
    #[default]
    Terminal,
    /// One JSON object per line.
    Json,
}

/// The error returned for a text that names no log format.
#[derive(Debug, PartialEq, Eq, Snafu)]
#[snafu(display("unknown log format, expected terminal or json"))]
pub struct UnknownLogFormat;

impl FromStr for LogFormat {
    type Err = UnknownLogFormat;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "terminal" => Ok(Self::Terminal),
            "json" => Ok(Self::Json),
            _ => Err(UnknownLogFormat),
        }
    }
}
