//! A line of a process's log.

use std::time::SystemTime;

use serde_json::{Map, Value};

/// A line of a process's log.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    /// When it was written, by the clock of its VM.
    pub timestamp: SystemTime,
    /// The VM.
    pub vm: String,
    /// What happened.
    pub message: String,
    /// All fields of the line.
    pub fields: Map<String, Value>,
}

impl LogLine {
    /// Reads a line; text before the JSON object, such as a collector adds, is passed over. `None`
    /// if it is no line of a process.
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

    /// A field that holds text.
    #[must_use]
    pub fn text_field(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    /// A field that holds a whole number.
    #[must_use]
    pub fn number_field(&self, name: &str) -> Option<u64> {
        self.fields.get(name)?.as_u64()
    }
}
