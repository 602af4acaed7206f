//! The cause of a request's end.

use std::time::Duration;

use serde_json::{Value, json};

use super::related_lines::{has_key, is_related};
use super::{LogLine, RequestAccount};
use crate::Report;

/// Age of the last contact to control VMs that is unusual; it is some 0.4 s in calm times.
const OLD_CONTACT_MS: u64 = 1000;
/// Lines of the surroundings that are shown.
const MAX_RELATED: usize = 40;

/// The cause of a request's end, as far as log lines tell it.
#[derive(Clone, Debug, PartialEq)]
pub struct Explanation {
    /// Lines of the request, one for each entry process that handled it.
    pub accounts: Vec<RequestAccount>,
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
    /// let explanation = Explanation::of("a1", &lines);
    /// assert!(explanation.causes[0].contains("no route table"));
    /// ```
    #[must_use]
    pub fn of(request: &str, lines: &[LogLine]) -> Self {
        let accounts = lines
            .iter()
            .filter_map(|line| RequestAccount::of(line, request));
        let accounts: Vec<RequestAccount> = accounts.collect();
        let is_own = |line: &LogLine| line.text("request") == Some(request);
        let related = lines
            .iter()
            .filter(|line| !is_own(line) && accounts.iter().any(|a| is_related(line, a)));
        let mut related: Vec<LogLine> = related.cloned().collect();
        related.sort_by_key(|line| line.at);
        let causes = accounts.iter().map(|account| cause(account, &related));
        Self {
            causes: causes.collect(),
            accounts,
            related,
        }
    }

    /// What is printed.
    #[must_use]
    pub fn report(&self) -> Report {
        let mut text = String::new();
        for (account, cause) in self.accounts.iter().zip(&self.causes) {
            text.push_str(&shown(&account.line));
            text.push_str("  cause: ");
            text.push_str(cause);
            text.push('\n');
        }
        text.push_str("around it:\n");
        for line in self.related.iter().take(MAX_RELATED) {
            text.push_str(&shown(line));
        }
        if self.related.len() > MAX_RELATED {
            let rest = self.related.len() - MAX_RELATED;
            text.push_str(&rest.to_string());
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
                "lines": objects(self.accounts.iter().map(|a| &a.line).collect()),
                "causes": self.causes,
                "related": objects(self.related.iter().collect()),
            }),
        }
    }
}

fn shown(line: &LogLine) -> String {
    let at = humantime::format_rfc3339_millis(line.at);
    let hidden = ["msg", "ts", "vm", "level", "program"];
    let fields = line.fields.iter();
    let fields = fields.filter(|(name, value)| !hidden.contains(&&***name) && !value.is_null());
    let fields: Vec<String> = fields
        .map(|(name, value)| format!("{name}={}", plain(value)))
        .collect();
    format!("{at} {} {}: {}\n", line.vm, line.message, fields.join(" "))
}

fn plain(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), String::from)
}

/// What decided a request, by its own line and those around it.
fn cause(account: &RequestAccount, related: &[LogLine]) -> String {
    let Some(reason) = account.reason.as_deref() else {
        return "a backend server answered".to_owned();
    };
    let contact_ms = account.line.number("contact_age_ms").unwrap_or(0);
    if contact_ms >= OLD_CONTACT_MS && has_moved_unseen(account, related) {
        return format!(
            "its entry VM was cut off from the control VMs for {contact_ms} ms, and the key had \
             moved meanwhile"
        );
    }
    if contact_ms >= OLD_CONTACT_MS && account.has_outcome("unreachable") {
        return format!(
            "its entry VM had reached neither the control VMs for {contact_ms} ms nor the server: \
             it was cut off"
        );
    }
    let known = match reason {
        "no-directory" => Some("its entry VM had no route table, or none that was current"),
        "no-route" => Some("no route of the table fits host and path"),
        "no-key" => Some("the service has keys and the request named none"),
        "poisoned" => Some("it crashes servers that run it"),
        "overloaded" => Some("the servers that may serve it were full"),
        "no-retry-left" => Some("the retry budget of its entry VM was used up"),
        _ => None,
    };
    if let Some(known) = known {
        return known.to_owned();
    }
    of_servers(account, related).unwrap_or_else(|| by_outcomes(account))
}

/// Whether its key moved to a version that its entry VM did not know.
fn has_moved_unseen(account: &RequestAccount, related: &[LogLine]) -> bool {
    let mut moves = related.iter().filter(|line| line.message == "keys moved");
    moves.any(|line| has_key(line, account) && line.at <= account.line.at)
}

/// What control VMs said of the servers that were asked.
fn of_servers(account: &RequestAccount, related: &[LogLine]) -> Option<String> {
    let mut attempts = account.attempts.iter();
    attempts.find_map(|attempt| {
        let of_server = |message: &str| {
            let mut lines = related.iter();
            lines.find(|line| {
                line.message == message && line.text("server") == Some(&attempt.server)
            })
        };
        let server = &attempt.server;
        if of_server("server removed").is_some() || of_server("server is silent").is_some() {
            return Some(format!("server {server} had ended or was cut off"));
        }
        let failed = of_server("call to server failed")?;
        let gap = gap(account, failed);
        Some(format!(
            "server {server} could not be called about keys either, {gap:?} apart: it was cut off, \
             frozen or gone"
        ))
    })
}

fn gap(account: &RequestAccount, line: &LogLine) -> Duration {
    let at = account.line.at;
    let later = line.at.duration_since(at);
    later.unwrap_or_else(|earlier| earlier.duration())
}

fn by_outcomes(account: &RequestAccount) -> String {
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
    let seen = outcomes
        .iter()
        .find(|(outcome, _)| account.has_outcome(outcome));
    let seen = seen.map(|(_, cause)| (*cause).to_owned());
    seen.unwrap_or_else(|| match account.reason.as_deref() {
        Some("no-owner") => "nobody owned its key for as long as it could wait".to_owned(),
        Some("no-server") => "no server of its service took work".to_owned(),
        _ => "the lines at hand do not tell".to_owned(),
    })
}
