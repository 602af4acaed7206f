//! The output of a command.

use std::str::FromStr;

use serde_json::Value;
use snafu::Snafu;

/// The format of the output.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OutputFormat {
    /// Text for people.
    #[default]
    Text,
    /// A single JSON value for programs.
    Json,
}

/// The error for a text that isn't the name of an output format.
#[derive(Debug, Snafu)]
#[snafu(display("output format must be text or json"))]
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

/// The result of a command: what it found or did.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// The result as text for people.
    pub text: String,
    /// The result as JSON for programs.
    pub json: Value,
}

impl Report {
    /// Returns the report in the given format.
    #[must_use]
    pub fn render(&self, format: OutputFormat) -> String {
        match format {
            OutputFormat::Text => self.text.trim_end().to_owned(),
            OutputFormat::Json => self.json.to_string(),
        }
    }
}

/// Formats rows as text with aligned columns. The first row holds the headings.
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
