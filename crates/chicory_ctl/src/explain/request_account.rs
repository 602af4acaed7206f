//! What the line of a request tells.

use super::LogLine;

/// One attempt of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptAccount {
    /// Id and start of the server.
    pub server: String,
    /// What became of it.
    pub outcome: String,
}

/// What the line of a request tells.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestAccount {
    /// Its line.
    pub line: LogLine,
    /// Attempts in order.
    pub attempts: Vec<AttemptAccount>,
    /// Its key, if it bears one.
    pub key: Option<u64>,
    /// Its service, if a route was found.
    pub service: Option<String>,
    /// Why it was refused; `None` if it was answered.
    pub reason: Option<String>,
}

impl RequestAccount {
    /// Reads the line of a request with this id; `None` for other lines.
    #[must_use]
    pub fn of(line: &LogLine, request: &str) -> Option<Self> {
        if line.text("request") != Some(request) {
            return None;
        }
        let attempts = line.text("attempts").unwrap_or_default().split(',');
        let attempts = attempts.filter_map(|attempt| {
            let (server, rest) = attempt.split_once(':')?;
            let (outcome, _) = rest.split_once(':').unwrap_or((rest, ""));
            Some(AttemptAccount {
                server: server.to_owned(),
                outcome: outcome.to_owned(),
            })
        });
        Some(Self {
            attempts: attempts.collect(),
            key: line.number("key"),
            service: line.text("service").map(String::from),
            reason: line.text("reason").map(String::from),
            line: line.clone(),
        })
    }

    /// Whether some attempt ended so.
    #[must_use]
    pub fn has_outcome(&self, outcome: &str) -> bool {
        self.attempts.iter().any(|a| a.outcome == outcome)
    }
}
