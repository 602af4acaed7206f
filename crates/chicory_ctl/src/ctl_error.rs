//! Errors of commands and the exit status of each.

use std::path::PathBuf;
use std::time::Duration;

use chicory_net::tls::TlsError;
use chicory_routes::RouteCsvFault;
use chicory_settings::SettingFaults;
use chicory_types::{EditId, Revision, ZoneName};
use chicory_wire::ConvertError;
use snafu::Snafu;

use crate::client::ClientError;

/// The exit status of the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// The command succeeded.
    Done,
    /// The cluster refused the request; nothing was changed.
    Refused,
    /// The command line, a setting or a file is invalid or can't be used, or an eviction wasn't
    /// confirmed. No change was requested, with one exception: [`CtlError::File`] is also returned
    /// if the history can't be written after an edit was answered.
    InvalidInput,
    /// No control process gave a usable answer. Nothing was changed, with these exceptions: an edit
    /// was accepted if the command failed during `--wait`, and the outcome is unknown after
    /// [`CtlError::SiteUnreachable`] and after an unexpected answer to an eviction.
    Unreachable,
    /// It isn't known whether an edit was applied. Repeating the command with the printed
    /// `--edit-id` returns the outcome.
    Unknown,
    /// The edit was applied, but did not come into force in every availability zone in time.
    NotInForce,
}

impl ExitStatus {
    /// Returns the exit code of the program.
    #[must_use]
    pub fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Refused => 1,
            Self::InvalidInput => 2,
            Self::Unreachable => 3,
            Self::Unknown => 4,
            Self::NotInForce => 5,
        }
    }
}

/// The reason why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CtlError {
    /// Settings are invalid.
    #[snafu(display("{source}"), context(false))]
    Settings {
        /// Every invalid setting.
        source: SettingFaults,
    },
    /// A route table in CSV form is invalid.
    #[snafu(display("{origin}: {source}"))]
    RouteFile {
        /// The file or other source of the CSV text.
        origin: String,
        /// The first fault.
        source: RouteCsvFault,
    },
    /// The site rejected a route table or sent an unexpected answer.
    #[snafu(display("the site rejected the route table: {fault}"))]
    RoutesRejected {
        /// The reason.
        fault: String,
    },
    /// The site has no such availability zone; nothing was changed.
    #[snafu(display("the site has no availability zone {zone}"))]
    NoSuchZone {
        /// The zone.
        zone: ZoneName,
    },
    /// The site sent an unexpected answer to an order about an evacuation.
    #[snafu(display("the site did not take the order: {fault}"))]
    EvacuationRejected {
        /// The reason.
        fault: String,
    },
    /// No control VM of the site could answer for its group. It isn't known whether a change was
    /// made; sending the same request again is harmless.
    #[snafu(display(
        "no control VM of the site answered for its group; last failure: {last_failure}"
    ))]
    SiteUnreachable {
        /// The failure of the last control VM tried.
        last_failure: String,
    },
    /// No log line mentions the request.
    #[snafu(display(
        "no log line of request {request} found: the request was answered, its line was \
         suppressed, or a log file is missing"
    ))]
    UnknownRequest {
        /// The id of the request.
        request: String,
    },
    /// A file can't be read or written.
    #[snafu(display("{}: {source}", path.display()))]
    File {
        /// The path of the file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// A certificate or key file would be overwritten.
    #[snafu(display("{} already exists and was not overwritten", path.display()))]
    FileExists {
        /// The path of the existing file.
        path: PathBuf,
    },
    /// A certificate or an authority can't be created or loaded.
    #[snafu(display("{source}"))]
    Certificates {
        /// The cause.
        source: TlsError,
    },
    /// A table file or cell is invalid; no edit was sent.
    #[snafu(display("{origin} is invalid, nothing was changed:{}", format_faults(faults)))]
    TableFile {
        /// The file, or the words `the row` for cells given on the command line.
        origin: String,
        /// All invalid cells, with line and column.
        faults: Vec<String>,
    },
    /// The table has no such row or column.
    #[snafu(display("the table has no {what}"))]
    NoSuchEntry {
        /// A description of the missing row or column.
        what: String,
    },
    /// A change does not have the form `COLUMN=VALUE`.
    #[snafu(display("{text:?} does not have the form COLUMN=VALUE"))]
    MalformedChange {
        /// The text of the change.
        text: String,
    },
    /// The eviction of a zone wasn't confirmed with `--yes`. Evicting a zone that still runs ends
    /// its right to serve its keys.
    #[snafu(display(
        "evicting zone {zone} ends its right to serve its keys, even if it is still running; \
         repeat with --yes when it has certainly stopped or is cut off from its callers"
    ))]
    NotConfirmed {
        /// The zone.
        zone: ZoneName,
    },
    /// The request to the control processes failed.
    #[snafu(display("{source}"), context(false))]
    Client {
        /// The cause.
        source: ClientError,
    },
    /// An answer can't be converted to its domain type.
    #[snafu(display("malformed answer: {source}"), context(false))]
    MalformedAnswer {
        /// The cause.
        source: ConvertError,
    },
    /// The table was changed after the revision that the edit was based on.
    #[snafu(display(
        "conflict: the table is at revision {current_revision}, the edit was based on \
         {base_revision}; nothing was changed"
    ))]
    Conflict {
        /// The revision that the edit was based on.
        base_revision: Revision,
        /// The current revision of the table.
        current_revision: Revision,
    },
    /// The edit would make the table invalid.
    #[snafu(display("the edit is invalid, nothing was changed:{}", format_faults(faults)))]
    Invalid {
        /// Everything that is wrong with the resulting table.
        faults: Vec<String>,
    },
    /// A different edit has already used the same identifier.
    #[snafu(display("edit id {edit_id} was already used for another edit; nothing was changed"))]
    EditIdReused {
        /// The reused identifier.
        edit_id: EditId,
    },
    /// It isn't known whether the edit was applied.
    #[snafu(display(
        "it isn't known whether the edit was applied; repeat the command with --edit-id {edit_id} \
         --base-revision {base_revision} to find out: {source}"
    ))]
    OutcomeUnknown {
        /// The identifier with which to repeat the edit.
        edit_id: EditId,
        /// The base revision with which to repeat the edit.
        base_revision: Revision,
        /// The reason why the outcome isn't known.
        source: ClientError,
    },
    /// A revision did not come into force in every zone in time.
    #[snafu(display(
        "revision {revision} was accepted, but after {} ms it isn't yet in force in: {}",
        timeout.as_millis(),
        zones.join(", ")
    ))]
    NotInForce {
        /// The accepted revision.
        revision: Revision,
        /// The zones in which the revision isn't in force.
        zones: Vec<ZoneName>,
        /// How long the command waited.
        timeout: Duration,
    },
}

impl CtlError {
    /// Returns the exit status of the program for this error.
    #[must_use]
    pub fn exit_status(&self) -> ExitStatus {
        match self {
            Self::Settings { .. }
            | Self::File { .. }
            | Self::FileExists { .. }
            | Self::Certificates { .. }
            | Self::TableFile { .. }
            | Self::MalformedChange { .. }
            | Self::UnknownRequest { .. }
            | Self::RouteFile { .. }
            | Self::NotConfirmed { .. } => ExitStatus::InvalidInput,
            Self::Client { source } => client_exit_status(source),
            Self::MalformedAnswer { .. } | Self::SiteUnreachable { .. } => ExitStatus::Unreachable,
            Self::NoSuchEntry { .. }
            | Self::Conflict { .. }
            | Self::Invalid { .. }
            | Self::RoutesRejected { .. }
            | Self::NoSuchZone { .. }
            | Self::EvacuationRejected { .. }
            | Self::EditIdReused { .. } => ExitStatus::Refused,
            Self::OutcomeUnknown { .. } => ExitStatus::Unknown,
            Self::NotInForce { .. } => ExitStatus::NotInForce,
        }
    }
}

fn client_exit_status(error: &ClientError) -> ExitStatus {
    match error {
        ClientError::Tls { .. } => ExitStatus::InvalidInput,
        ClientError::Refused { .. } => ExitStatus::Refused,
        _ => ExitStatus::Unreachable,
    }
}

fn format_faults(faults: &[String]) -> String {
    let lines = faults.iter().map(|fault| format!("\n  {fault}"));
    lines.collect()
}
