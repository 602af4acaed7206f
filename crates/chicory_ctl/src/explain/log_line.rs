//! A parsed log line.

use std::time::SystemTime;

use serde_json::{Map, Value};

/// A line from the log of a Chicory process.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    /// The time at which the line was written, by the clock of its VM.
    pub timestamp: SystemTime,
    /// The VM of the process that wrote the line.
    pub vm: String,
    /// The message, which says what happened.
    pub message: String,
    /// All fields of the line, including time, VM and message.
    pub fields: Map<String, Value>,
}

impl LogLine {
    /// Parses a log line, or returns `None` if the text isn't a log line of a process.
    ///
    /// Text before the JSON object is ignored, because log collectors put a prefix there.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let object = text.get(text.find('{')?..)?;
        let Ok(Value::Object(fields)) = serde_json::from_str(object) else {
            return None;
        };
        let text_field = |name: &str| fields.get(name).and_then(Value::as_str);
        Some(Self {
            timestamp: humantime::parse_rfc3339_weak(text_field("ts")?).ok()?,
            vm: text_field("vm")?.to_owned(),
            message: text_field("msg")?.to_owned(),
            fields,
        })
    }

    /// Returns the value of a text field, or `None` if the field is missing or isn't text.
    #[must_use]
    pub fn text_field(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    /// Returns the value of a field that holds a non-negative integer, or `None` if the field is
    /// missing or holds something else.
    #[must_use]
    pub fn number_field(&self, name: &str) -> Option<u64> {
        self.fields.get(name)?.as_u64()
    }
}
