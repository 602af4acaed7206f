//! What a command prints.

use std::str::FromStr;

use serde_json::Value;
use snafu::Snafu;

/// Form of the output.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OutputFormat {
    /// For people.
    #[default]
    Text,
    /// For programs: one JSON value.
    Json,
}

/// The text names no form of output.
#[derive(Debug, Snafu)]
#[snafu(display("forms of output are text and json"))]
pub struct UnknownOutputFormat;

impl FromStr for OutputFormat {
    type Err = UnknownOutputFormat;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => UnknownOutputFormatSnafu.fail(),
        }
    }
}

/// What a command found or did.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// For people.
    pub text: String,
    /// For programs.
    pub json: Value,
}

impl Report {
    /// The report in the form asked for.
    #[must_use]
    pub fn render(&self, format: OutputFormat) -> String {
        match format {
            OutputFormat::Text => self.text.trim_end().to_owned(),
            OutputFormat::Json => self.json.to_string(),
        }
    }
}

/// Lays rows out in columns, the first row as their heads.
#[must_use]
pub fn align_columns(rows: &[Vec<String>]) -> String {
    let mut text = String::new();
    for row in rows {
        let cells: Vec<String> = row
            .iter()
            .enumerate()
            .map(|(index, cell)| format!("{cell:<width$}", width = column_width(rows, index)))
            .collect();
        text.push_str(cells.join("  ").trim_end());
        text.push('\n');
    }
    text
}

fn column_width(rows: &[Vec<String>], index: usize) -> usize {
    let cells = rows.iter().filter_map(|row| row.get(index));
    cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
}
