//! The content of a request's log line.

use super::LogLine;

/// The message of the line that an entry process writes about a request that it relayed for another
/// one.
pub(super) const RELAYED_MESSAGE: &str = "relayed request";

/// One attempt to send a request to a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptSummary {
    /// The id of the server and its incarnation, such as `s1@7`.
    pub server: String,
    /// The entry VM that relayed the request to the server, or `None` if it was sent directly.
    pub relay: Option<String>,
    /// The name of the outcome, such as `unreachable`.
    pub outcome: String,
}

impl AttemptSummary {
    /// Parses an attempt such as `s1@7:unreachable:301ms` or `s1@7:answered:12ms:by-entry-2`.
    fn parse(attempt: &str) -> Option<Self> {
        let (server, rest) = attempt.split_once(':')?;
        let (rest, relay) = match rest.split_once(":by-") {
            Some((rest, relay)) => (rest, Some(relay.to_owned())),
            None => (rest, None),
        };
        let (outcome, _) = rest.split_once(':').unwrap_or((rest, ""));
        Some(Self {
            server: server.to_owned(),
            relay,
            outcome: outcome.to_owned(),
        })
    }
}

/// The content of the log line that an entry process writes when a request ends.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestSummary {
    /// The log line itself.
    pub line: LogLine,
    /// The attempts, in order.
    pub attempts: Vec<AttemptSummary>,
    /// The key of the request, if it has one.
    pub key: Option<u64>,
    /// The service of the request, if a route was found.
    pub service: Option<String>,
    /// The name of the reason why the request was refused, or `None` if it was answered.
    pub reason: Option<String>,
}

impl RequestSummary {
    /// Reads the log line of the request with the id `request`, or returns `None` for any other
    /// line.
    #[must_use]
    pub fn from_line(line: &LogLine, request: &str) -> Option<Self> {
        if line.text_field("request") != Some(request) || line.message == RELAYED_MESSAGE {
            return None;
        }
        let attempts = line.text_field("attempts").unwrap_or_default().split(',');
        let attempts = attempts.filter_map(AttemptSummary::parse);
        Some(Self {
            attempts: attempts.collect(),
            key: line.number_field("key"),
            service: line.text_field("service").map(String::from),
            reason: line.text_field("reason").map(String::from),
            line: line.clone(),
        })
    }

    /// Returns whether any attempt ended with this outcome.
    #[must_use]
    pub fn has_outcome(&self, outcome: &str) -> bool {
        self.attempts
            .iter()
            .any(|attempt_summary| attempt_summary.outcome == outcome)
    }
}
