//! The explanation of why a request was answered or refused.

use std::time::Duration;

use serde_json::{Value, json};

use super::related_lines::{covers_key, is_related};
use super::request_summary::RELAYED_MESSAGE;
use super::{LogLine, RequestSummary};
use crate::Report;

/// The age of an entry VM's last contact with the control VMs, in milliseconds, from which the
/// entry VM is treated as cut off from them. In normal operation the age is about 0.4 s.
const OUTDATED_CONTACT_MS: u64 = 1000;
/// The maximum number of related lines that the text report shows.
const MAX_RELATED: usize = 40;

/// The explanation of why a request was answered or refused, as far as the log lines show it.
#[derive(Clone, Debug, PartialEq)]
pub struct Explanation {
    /// The lines of the request itself, one for each entry process that handled it.
    pub summaries: Vec<RequestSummary>,
    /// The related lines, in order of time.
    pub related: Vec<LogLine>,
    /// The causes derived from the lines, one for each element of `summaries`.
    pub causes: Vec<String>,
}

impl Explanation {
    /// Creates the explanation of the request with the id `request` from the log lines of all
    /// processes.
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
            let is_relayed = line.message == RELAYED_MESSAGE;
            if is_request_line(line) {
                return is_relayed;
            }
            let mut summaries = summaries.iter();
            !is_relayed && summaries.any(|request_summary| is_related(line, request_summary))
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

    /// Returns the explanation as a report for output.
    #[must_use]
    pub fn report(&self) -> Report {
        let mut text = String::new();
        for (summary, cause) in self.summaries.iter().zip(&self.causes) {
            text.push_str(&format_line(&summary.line));
            text.push_str("  cause: ");
            text.push_str(cause);
            text.push('\n');
        }
        text.push_str("related lines:\n");
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

/// Returns the cause of a request's result, derived from its own line and the related lines.
fn find_cause(summary: &RequestSummary, related: &[LogLine]) -> String {
    let Some(reason) = summary.reason.as_deref() else {
        return answer_cause(summary);
    };
    let contact_ms = summary.line.number_field("contact_age_ms").unwrap_or(0);
    if contact_ms >= OUTDATED_CONTACT_MS && has_key_moved(summary, related) {
        return format!(
            "the entry VM was cut off from the control VMs for {contact_ms} ms, and the key had \
             moved in the meantime"
        );
    }
    if contact_ms >= OUTDATED_CONTACT_MS && summary.has_outcome("unreachable") {
        return format!(
            "the entry VM had no contact with the control VMs for {contact_ms} ms and could not \
             reach the server: the entry VM was cut off"
        );
    }
    if reason == "server-limited" {
        return limit_cause(&summary.line);
    }
    if reason == "server-resting" {
        let age_ms = summary.line.number_field("rest_age_ms").unwrap_or(0);
        let left_ms = summary.line.number_field("rest_left_ms").unwrap_or(0);
        return format!(
            "the server had asked this entry VM for a pause {age_ms} ms before, which went on for \
             {left_ms} ms"
        );
    }
    let known_cause = match reason {
        "no-directory" => Some("the entry VM had no route table, or an outdated one"),
        "no-route" => Some("no route in the table matches the host and path"),
        "no-key" => Some("the service requires a key and the request has none"),
        "poisoned" => Some("the request crashes servers that run it"),
        "overloaded" => Some("all servers that may serve the request were overloaded"),
        "no-retry-left" => Some("the retry budget of the entry VM was used up"),
        _ => None,
    };
    if let Some(known_cause) = known_cause {
        return known_cause.to_owned();
    }
    cause_from_control_lines(summary, related).unwrap_or_else(|| cause_from_outcomes(summary))
}

/// Returns why a request was answered.
fn answer_cause(summary: &RequestSummary) -> String {
    let last = summary.attempts.last();
    match last.and_then(|attempt| attempt.relay.as_deref()) {
        Some(relay) => format!("a backend server answered by way of entry VM {relay}"),
        None => "a backend server answered".to_owned(),
    }
}

/// Returns the cause of the refusal of a request that a server's rate limit left no room for.
fn limit_cause(line: &LogLine) -> String {
    let server = line.text_field("limited_server").unwrap_or("of the key");
    let rate = line
        .fields
        .get("limit_per_s")
        .map_or_else(|| "fewer".to_owned(), format_value);
    let age_ms = line.number_field("limit_age_ms").unwrap_or(0);
    format!(
        "server {server} takes {rate} requests a second from all entry VMs together, as an answer \
         {age_ms} ms before showed, and others used them"
    )
}

/// Returns whether the key of the request moved before the request ended. An entry VM that was cut
/// off from the control VMs then did not know the new owner.
fn has_key_moved(summary: &RequestSummary, related: &[LogLine]) -> bool {
    let mut moves = related.iter().filter(|line| line.message == "keys moved");
    moves.any(|line| covers_key(line, summary) && line.timestamp <= summary.line.timestamp)
}

/// Returns the cause if control VMs logged a failure of a server that the request was sent to, or
/// `None` otherwise.
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
            return Some(format!("server {server} had stopped or was cut off"));
        }
        let failed_call = find_line("call to server failed")?;
        let gap = time_between(summary, failed_call);
        Some(format!(
            "a grant or release call to server {server} failed as well, {gap:?} before or after \
             the request: the server was cut off, paused or gone"
        ))
    })
}

/// Returns the time between the request and another line, whichever came first.
fn time_between(summary: &RequestSummary, line: &LogLine) -> Duration {
    let timestamp = summary.line.timestamp;
    let elapsed = line.timestamp.duration_since(timestamp);
    elapsed.unwrap_or_else(|error| error.duration())
}

/// Returns the cause that the outcomes of the attempts show, or otherwise the one that the reason
/// of the refusal shows.
fn cause_from_outcomes(summary: &RequestSummary) -> String {
    let outcomes = [
        (
            "silent",
            "a server accepted the request and did not answer in time",
        ),
        (
            "broken",
            "a server, or the network, broke the connection after part of the request was sent",
        ),
        (
            "garbled",
            "a server sent an answer that is malformed or belongs to another request",
        ),
        (
            "wrong-server",
            "the server that the entry VM knew as the owner of the key had no grant for it",
        ),
        (
            "relay-broken",
            "the connection to the entry VM that relayed the request broke after part of it was \
             sent",
        ),
        (
            "unreachable-from-relay",
            "the entry VM that was to relay the request could not reach the server either",
        ),
        (
            "relay-unavailable",
            "the entry VM that was to relay the request could not be reached, or refused",
        ),
        (
            "refused-by-relay",
            "the entry VM that was to relay the request refused",
        ),
        ("shed", "the server was overloaded"),
        ("turned-away", "the server had too many connections"),
        ("refused", "no process listened at the server's address"),
        ("unreachable", "no connection to the server could be opened"),
    ];
    let matched = outcomes
        .iter()
        .find(|(outcome, _)| summary.has_outcome(outcome));
    let matched = matched.map(|(_, cause)| (*cause).to_owned());
    matched.unwrap_or_else(|| match summary.reason.as_deref() {
        Some("no-owner") => {
            "no server owned the key for as long as the request could wait".to_owned()
        }
        Some("no-server") => "no server of the service accepted requests".to_owned(),
        _ => "the log lines do not show the cause".to_owned(),
    })
}
