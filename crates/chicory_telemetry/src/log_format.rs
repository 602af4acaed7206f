//! How log records are written.

use std::str::FromStr;

use snafu::Snafu;

/// How log records are written to standard error.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// One readable line each.
    #[default]
    Terminal,
    /// One JSON object a line.
    Json,
}

/// The text names no log format.
#[derive(Debug, PartialEq, Eq, Snafu)]
#[snafu(display("log formats are terminal and json"))]
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
