//! Settings of a load run.

use std::path::PathBuf;
use std::time::Duration;

use super::KeyPattern;

/// How fast calls are made.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Pace {
    /// A closed loop: each worker sends its next call once its previous one is answered.
    Closed {
        /// Number of workers.
        workers: usize,
    },
    /// An open loop: calls start at a fixed rate, whatever the answers. Latency counts from the
    /// time at which a call was due.
    Open {
        /// Calls per second.
        rate_per_s: f64,
    },
}

/// The kind of the calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// Reads of keys.
    Keys,
    /// Orders, each with a fresh order key.
    Orders,
}

/// Settings of a load run.
#[derive(Clone, Debug)]
pub struct LoadConfig {
    /// Addresses of entry processes, or of backend servers that are called directly.
    pub addresses: Vec<String>,
    /// Service.
    pub service: String,
    /// The kind of the calls.
    pub call_kind: CallKind,
    /// How fast calls are made.
    pub pace: Pace,
    /// Length of the run.
    pub duration: Duration,
    /// Calls after which the run ends early; 0 for no limit.
    pub max_calls: u64,
    /// Number of keys.
    pub key_count: usize,
    /// How often each key is chosen.
    pub pattern: KeyPattern,
    /// Seed of the choice of keys.
    pub seed: u64,
    /// Deadline of each send.
    pub deadline: Duration,
    /// Maximum number of resends of a call.
    pub resends: usize,
    /// Additional path segment.
    pub marker: Option<String>,
    /// Name of the caller in the history.
    pub name: String,
    /// File to append the history of the caller to.
    pub history: Option<PathBuf>,
}

/// Builds a [`LoadConfig`] from its defaults.
#[derive(Clone, Debug)]
pub struct LoadConfigBuilder {
    config: LoadConfig,
}

impl LoadConfigBuilder {
    /// Creates a builder whose defaults are one worker that reads keys of `service` for one second.
    #[must_use]
    pub fn new(service: &str, addresses: Vec<String>) -> Self {
        Self {
            config: LoadConfig {
                addresses,
                service: service.to_owned(),
                call_kind: CallKind::Keys,
                pace: Pace::Closed { workers: 1 },
                duration: Duration::from_secs(1),
                max_calls: 0,
                key_count: 100,
                pattern: KeyPattern::Uniform,
                seed: 1,
                deadline: Duration::from_secs(2),
                resends: 0,
                marker: None,
                name: "1".to_owned(),
                history: None,
            },
        }
    }

    /// Applies `change` to the settings.
    #[must_use]
    pub fn with(mut self, change: impl FnOnce(&mut LoadConfig)) -> Self {
        change(&mut self.config);
        self
    }

    /// Returns the finished settings.
    #[must_use]
    pub fn build(self) -> LoadConfig {
        self.config
    }
}
