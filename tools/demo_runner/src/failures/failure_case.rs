//! The failure cases and how they are run.

use std::path::Path;

use chicory_standin::check::CheckReport;

use super::{
    control_failures, entry_failures, operator_failures, order_failures, server_failures,
    zone_failures,
};
use crate::RunnerError;
use crate::runner_error::UnexpectedSnafu;

/// A failure scenario with the outcomes that are expected of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureCase {
    /// A backend server is killed.
    ServerKilled,
    /// A backend server is paused and resumes in the middle of its work.
    ServerPaused,
    /// The open connections of a backend server stop answering without being closed.
    ServerSilent,
    /// A request crashes each backend server that runs it.
    CrashingRequest,
    /// The entry process that dispatches to a server is killed.
    EntryKilled,
    /// The entry process that dispatches to a server is paused and resumes.
    EntryPaused,
    /// An entry process is stopped as planned with a request in flight.
    EntryStopped,
    /// The leader of a zone group is killed, and its successor right after the first one has
    /// recovered.
    LeadersKilled,
    /// A control process is cut off from all others, without its connections being closed.
    ControlIsolated,
    /// A control process loses its data folder.
    DataLost,
    /// All control processes of a zone are killed and lose their state, then start again.
    ZoneMemoryLost,
    /// A zone is cut off from the others.
    ZoneCut,
    /// Two operators edit the same revision, and one resends.
    OperatorsRace,
    /// A backend server is killed while it runs an order, which is resent.
    OrderServerKilled,
}

impl FailureCase {
    /// All cases, in the order in which they run.
    pub const ALL: [Self; 14] = [
        Self::ServerKilled,
        Self::ServerPaused,
        Self::ServerSilent,
        Self::CrashingRequest,
        Self::EntryKilled,
        Self::EntryPaused,
        Self::EntryStopped,
        Self::LeadersKilled,
        Self::ControlIsolated,
        Self::DataLost,
        Self::ZoneMemoryLost,
        Self::ZoneCut,
        Self::OperatorsRace,
        Self::OrderServerKilled,
    ];

    /// Returns the name of the case on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Self::ServerKilled => "server-killed",
            Self::ServerPaused => "server-paused",
            Self::ServerSilent => "server-silent",
            Self::CrashingRequest => "crashing-request",
            Self::EntryKilled => "entry-killed",
            Self::EntryPaused => "entry-paused",
            Self::EntryStopped => "entry-stopped",
            Self::LeadersKilled => "leaders-killed",
            Self::ControlIsolated => "control-isolated",
            Self::DataLost => "data-lost",
            Self::ZoneMemoryLost => "zone-memory-lost",
            Self::ZoneCut => "zone-cut",
            Self::OperatorsRace => "operators-race",
            Self::OrderServerKilled => "order-server-killed",
        }
    }

    async fn run(self, binaries: &Path) -> Result<CheckReport, RunnerError> {
        match self {
            Self::ServerKilled => server_failures::killed(binaries).await,
            Self::ServerPaused => server_failures::paused(binaries).await,
            Self::ServerSilent => server_failures::silent(binaries).await,
            Self::CrashingRequest => server_failures::crashing_request(binaries).await,
            Self::EntryKilled => entry_failures::killed(binaries).await,
            Self::EntryPaused => entry_failures::paused(binaries).await,
            Self::EntryStopped => entry_failures::stopped(binaries).await,
            Self::LeadersKilled => control_failures::leaders_killed(binaries).await,
            Self::ControlIsolated => control_failures::isolated(binaries).await,
            Self::DataLost => control_failures::data_lost(binaries).await,
            Self::ZoneMemoryLost => control_failures::zone_state_lost(binaries).await,
            Self::ZoneCut => zone_failures::cut(binaries).await,
            Self::OperatorsRace => operator_failures::race(binaries).await,
            Self::OrderServerKilled => order_failures::server_killed(binaries).await,
        }
    }
}

/// Runs cases one after another and prints the result of each.
///
/// # Errors
///
/// [`RunnerError::Unexpected`] with the names of the cases that failed, if any did.
pub async fn run_failures(cases: &[FailureCase], binaries: &Path) -> Result<(), RunnerError> {
    let mut failed = Vec::new();
    for case in cases {
        println!("{}", case.name());
        let result = Box::pin(case.run(binaries)).await;
        match result {
            Ok(_) => println!("  passed"),
            Err(error) => {
                println!("  FAILED: {error}");
                failed.push(case.name());
            }
        }
    }
    println!(
        "{} passed, {} failed",
        cases.len() - failed.len(),
        failed.len()
    );
    if failed.is_empty() {
        return Ok(());
    }
    UnexpectedSnafu {
        expected: "all cases to pass",
        found: format!("failures of {}", failed.join(", ")),
    }
    .fail()
}
