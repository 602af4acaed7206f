//! Settings of a load run.

use std::path::PathBuf;
use std::time::Duration;

use super::KeyPattern;

/// How fast calls are made.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Pace {
    /// So many workers, each of which sends its next call once the last one is answered.
    Closed {
        /// The workers.
        workers: usize,
    },
    /// A fixed rate, whatever the answers; latency counts from the moment a call was due.
    Open {
        /// Calls per second.
        rate_per_s: f64,
    },
}

/// What is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Subject {
    /// Reads of keys.
    Keys,
    /// Orders, each with a fresh order key.
    Orders,
}

/// Settings of a load run.
#[derive(Clone, Debug)]
pub struct LoadConfig {
    /// Addresses of entry processes, or of backend servers asked directly.
    pub addresses: Vec<String>,
    /// Service.
    pub service: String,
    /// What is asked for.
    pub subject: Subject,
    /// How fast.
    pub pace: Pace,
    /// Length of the run.
    pub duration: Duration,
    /// Calls after which the run ends early; 0 for no limit.
    pub max_calls: u64,
    /// Number of keys.
    pub key_count: usize,
    /// How often each is chosen.
    pub pattern: KeyPattern,
    /// Seed of the choices.
    pub seed: u64,
    /// Deadline of each send.
    pub deadline: Duration,
    /// Most resends of a call.
    pub resends: usize,
    /// A further path segment.
    pub marker: Option<String>,
    /// Name of the caller in the history.
    pub name: String,
    /// Where to write what the caller sees.
    pub history: Option<PathBuf>,
}

/// Builds a [`LoadConfig`] from its defaults.
#[derive(Clone, Debug)]
pub struct LoadConfigBuilder {
    config: LoadConfig,
}

impl LoadConfigBuilder {
    /// Starts with one worker that reads keys of `service` for one second.
    #[must_use]
    pub fn new(service: &str, addresses: Vec<String>) -> Self {
        Self {
            config: LoadConfig {
                addresses,
                service: service.to_owned(),
                subject: Subject::Keys,
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

    /// Sets any number of settings.
    #[must_use]
    pub fn with(mut self, change: impl FnOnce(&mut LoadConfig)) -> Self {
        change(&mut self.config);
        self
    }

    /// The finished settings.
    #[must_use]
    pub fn build(self) -> LoadConfig {
        self.config
    }
}
