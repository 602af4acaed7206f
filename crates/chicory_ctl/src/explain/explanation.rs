//! The cause of a request's end.

use std::time::Duration;

use serde_json::{Value, json};

use super::related_lines::{covers_key, is_related};
use super::{LogLine, RequestSummary};
use crate::Report;

/// Age of the last contact to control VMs that is unusual; it is some 0.4 s in calm times.
const OUTDATED_CONTACT_MS: u64 = 1000;
/// Lines of the surroundings that are shown.
const MAX_RELATED: usize = 40;

/// The cause of a request's end, as far as log lines tell it.
#[derive(Clone, Debug, PartialEq)]
pub struct Explanation {
    /// Lines of the request, one for each entry process that handled it.
    pub summaries: Vec<RequestSummary>,
    /// Lines that bear on it, in order of time.
    pub related: Vec<LogLine>,
    /// What they say together.
    pub causes: Vec<String>,
}

impl Explanation {
    /// Explains a request by the lines of all processes.
    ///
    /// # Examples
    ///
    /// ```
    /// use chicory_ctl::explain::{Explanation, LogLine};
    ///
    /// let line = r#"{"msg":"request refused","ts":"2026-01-14T03:19:04.7Z","vm":"entry-1",
    ///     "request":"a1","reason":"no-directory"}"#;
    /// let lines = [LogLine::parse(line).expect("a line")];
    /// let explanation = Explanation::from_lines("a1", &lines);
    /// assert!(explanation.causes[0].contains("no route table"));
    /// ```
    #[must_use]
    pub fn from_lines(request: &str, lines: &[LogLine]) -> Self {
        let summaries = lines
            .iter()
            .filter_map(|line| RequestSummary::from_line(line, request));
        let summaries: Vec<RequestSummary> = summaries.collect();
        let is_request_line = |line: &LogLine| line.text_field("request") == Some(request);
        let related = lines.iter().filter(|line| {
            !is_request_line(line)
                && summaries
                    .iter()
                    .any(|request_summary| is_related(line, request_summary))
        });
        let mut related: Vec<LogLine> = related.cloned().collect();
        related.sort_by_key(|line| line.timestamp);
        let causes = summaries
            .iter()
            .map(|summary| find_cause(summary, &related));
        Self {
            causes: causes.collect(),
            summaries,
            related,
        }
    }

    /// What is printed.
    #[must_use]
    pub fn report(&self) -> Report {
        let mut text = String::new();
        for (summary, cause) in self.summaries.iter().zip(&self.causes) {
            text.push_str(&format_line(&summary.line));
            text.push_str("  cause: ");
            text.push_str(cause);
            text.push('\n');
        }
        text.push_str("around it:\n");
        for line in self.related.iter().take(MAX_RELATED) {
            text.push_str(&format_line(line));
        }
        if self.related.len() > MAX_RELATED {
            let omitted = self.related.len() - MAX_RELATED;
            text.push_str(&omitted.to_string());
            text.push_str(" more lines\n");
        }
        let objects = |lines: Vec<&LogLine>| -> Vec<Value> {
            let lines = lines.into_iter();
            lines
                .map(|line| Value::Object(line.fields.clone()))
                .collect()
        };
        Report {
            text,
            json: json!({
                "lines": objects(
                    self.summaries
                        .iter()
                        .map(|request_summary| &request_summary.line)
                        .collect()
                ),
                "causes": self.causes,
                "related": objects(self.related.iter().collect()),
            }),
        }
    }
}

fn format_line(line: &LogLine) -> String {
    let timestamp = humantime::format_rfc3339_millis(line.timestamp);
    let hidden_fields = ["msg", "ts", "vm", "level", "program"];
    let fields = line.fields.iter();
    let fields =
        fields.filter(|(name, value)| !hidden_fields.contains(&&***name) && !value.is_null());
    let fields: Vec<String> = fields
        .map(|(name, value)| format!("{name}={}", format_value(value)))
        .collect();
    format!(
        "{timestamp} {} {}: {}\n",
        line.vm,
        line.message,
        fields.join(" ")
    )
}

fn format_value(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), String::from)
}

/// What decided a request, by its own line and those around it.
fn find_cause(summary: &RequestSummary, related: &[LogLine]) -> String {
    let Some(reason) = summary.reason.as_deref() else {
        return "a backend server answered".to_owned();
    };
    let contact_ms = summary.line.number_field("contact_age_ms").unwrap_or(0);
    if contact_ms >= OUTDATED_CONTACT_MS && has_key_moved(summary, related) {
        return format!(
            "its entry VM was cut off from the control VMs for {contact_ms} ms, and the key had \
             moved meanwhile"
        );
    }
    if contact_ms >= OUTDATED_CONTACT_MS && summary.has_outcome("unreachable") {
        return format!(
            "its entry VM had reached neither the control VMs for {contact_ms} ms nor the server: \
             it was cut off"
        );
    }
    let known_cause = match reason {
        "no-directory" => Some("its entry VM had no route table, or none that was current"),
        "no-route" => Some("no route of the table fits host and path"),
        "no-key" => Some("the service has keys and the request named none"),
        "poisoned" => Some("it crashes servers that run it"),
        "overloaded" => Some("the servers that may serve it were full"),
        "no-retry-left" => Some("the retry budget of its entry VM was used up"),
        _ => None,
    };
    if let Some(known_cause) = known_cause {
        return known_cause.to_owned();
    }
    cause_from_control_lines(summary, related).unwrap_or_else(|| cause_from_outcomes(summary))
}

/// Whether its key moved to a version that its entry VM did not know.
fn has_key_moved(summary: &RequestSummary, related: &[LogLine]) -> bool {
    let mut moves = related.iter().filter(|line| line.message == "keys moved");
    moves.any(|line| covers_key(line, summary) && line.timestamp <= summary.line.timestamp)
}

/// What control VMs said of the servers that were asked.
fn cause_from_control_lines(summary: &RequestSummary, related: &[LogLine]) -> Option<String> {
    let mut attempts = summary.attempts.iter();
    attempts.find_map(|attempt| {
        let find_line = |message: &str| {
            let mut lines = related.iter();
            lines.find(|line| {
                line.message == message && line.text_field("server") == Some(&attempt.server)
            })
        };
        let server = &attempt.server;
        if find_line("server removed").is_some() || find_line("server is silent").is_some() {
            return Some(format!("server {server} had ended or was cut off"));
        }
        let failed_call = find_line("call to server failed")?;
        let gap = time_between(summary, failed_call);
        Some(format!(
            "server {server} could not be called about keys either, {gap:?} apart: it was cut off, \
             frozen or gone"
        ))
    })
}

fn time_between(summary: &RequestSummary, line: &LogLine) -> Duration {
    let timestamp = summary.line.timestamp;
    let elapsed = line.timestamp.duration_since(timestamp);
    elapsed.unwrap_or_else(|error| error.duration())
}

fn cause_from_outcomes(summary: &RequestSummary) -> String {
    let outcomes = [
        ("silent", "a server took it and did not answer in time"),
        (
            "broken",
            "a server, or what lies between, broke the connection off",
        ),
        ("garbled", "a server answered something unusable"),
        (
            "wrong-server",
            "the server that owns the key had not been granted it",
        ),
        ("shed", "the server was full"),
        ("turned-away", "the server had too many connections"),
        ("refused", "nobody listened at the server's address"),
        ("unreachable", "no connection to the server came about"),
    ];
    let matched = outcomes
        .iter()
        .find(|(outcome, _)| summary.has_outcome(outcome));
    let matched = matched.map(|(_, cause)| (*cause).to_owned());
    matched.unwrap_or_else(|| match summary.reason.as_deref() {
        Some("no-owner") => "nobody owned its key for as long as it could wait".to_owned(),
        Some("no-server") => "no server of its service took work".to_owned(),
        _ => "the lines at hand do not tell".to_owned(),
    })
}
