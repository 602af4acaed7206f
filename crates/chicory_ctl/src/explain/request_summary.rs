//! What the line of a request tells.

use super::LogLine;

/// One attempt of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptSummary {
    /// Id and start of the server.
    pub server: String,
    /// What became of it.
    pub outcome: String,
}

/// What the line of a request tells.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestSummary {
    /// Its line.
    pub line: LogLine,
    /// Attempts in order.
    pub attempts: Vec<AttemptSummary>,
    /// Its key, if it bears one.
    pub key: Option<u64>,
    /// Its service, if a route was found.
    pub service: Option<String>,
    /// Why it was refused; `None` if it was answered.
    pub reason: Option<String>,
}

impl RequestSummary {
    /// Reads the line of a request with this id; `None` for other lines.
    #[must_use]
    pub fn from_line(line: &LogLine, request: &str) -> Option<Self> {
        if line.text_field("request") != Some(request) {
            return None;
        }
        let attempts = line.text_field("attempts").unwrap_or_default().split(',');
        let attempts = attempts.filter_map(|attempt| {
            let (server, rest) = attempt.split_once(':')?;
            let (outcome, _) = rest.split_once(':').unwrap_or((rest, ""));
            Some(AttemptSummary {
                server: server.to_owned(),
                outcome: outcome.to_owned(),
            })
        });
        Some(Self {
            attempts: attempts.collect(),
            key: line.number_field("key"),
            service: line.text_field("service").map(String::from),
            reason: line.text_field("reason").map(String::from),
            line: line.clone(),
        })
    }

    /// Whether some attempt ended so.
    #[must_use]
    pub fn has_outcome(&self, outcome: &str) -> bool {
        self.attempts
            .iter()
            .any(|attempt_summary| attempt_summary.outcome == outcome)
    }
}
