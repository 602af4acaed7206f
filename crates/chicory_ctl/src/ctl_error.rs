//! Failures of commands and the exit status of each.

use std::path::PathBuf;
use std::time::Duration;

use chicory_net::tls::TlsError;
use chicory_routes::RouteCsvFault;
use chicory_settings::SettingFaults;
use chicory_types::{EditId, Revision, ZoneName};
use chicory_wire::ConvertError;
use snafu::Snafu;

use crate::client::ClientError;

/// Exit status of the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// Done.
    Done,
    /// The cluster refused; nothing was changed.
    Refused,
    /// The command line, a setting or an input file is faulty; nothing was sent.
    InvalidInput,
    /// No control process answered; nothing was changed.
    Unreachable,
    /// It isn't known whether an edit was made; the same command with the printed `--edit-id`
    /// finds out.
    Unknown,
    /// The edit was made, but not every availability zone had it in force in time.
    NotInForce,
}

impl ExitStatus {
    /// The number that the program ends with.
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

/// Why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CtlError {
    /// Settings are faulty.
    #[snafu(display("{source}"), context(false))]
    Settings {
        /// All faults.
        source: SettingFaults,
    },
    /// A route table given as CSV is faulty.
    #[snafu(display("{origin}: {source}"))]
    RouteFile {
        /// Where the text came from.
        origin: String,
        /// The first fault.
        source: RouteCsvFault,
    },
    /// The site refused a route table.
    #[snafu(display("the site refused the routes: {fault}"))]
    RoutesRefused {
        /// Why.
        fault: String,
    },
    /// No control VM of the site answered; to send the same again does no harm.
    #[snafu(display("no control VM answered for its group, the last: {last_failure}"))]
    SiteUnreachable {
        /// What the last one did.
        last_failure: String,
    },
    /// No log line tells of a request.
    #[snafu(display(
        "no line tells of request {request}: it was answered, its line was left out, or a file is \
         missing"
    ))]
    UnknownRequest {
        /// Its id.
        request: String,
    },
    /// A file can't be read or written.
    #[snafu(display("{}: {source}", path.display()))]
    File {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// A file of keys would be overwritten.
    #[snafu(display("{} exists and is not overwritten", path.display()))]
    FileExists {
        /// The file.
        path: PathBuf,
    },
    /// Certificates can't be made.
    #[snafu(display("{source}"))]
    Certificates {
        /// The cause.
        source: TlsError,
    },
    /// A table file or cell is faulty; nothing was sent.
    #[snafu(display("{origin} is faulty, nothing was changed:{}", format_faults(faults)))]
    TableFile {
        /// The file or the command's arguments.
        origin: String,
        /// All faults, with line and column.
        faults: Vec<String>,
    },
    /// The table has no such row or column.
    #[snafu(display("the table has no {what}"))]
    NoSuchEntry {
        /// What is missing.
        what: String,
    },
    /// A change isn't of the form `COLUMN=VALUE`.
    #[snafu(display("{text:?} isn't of the form COLUMN=VALUE"))]
    MalformedChange {
        /// The change.
        text: String,
    },
    /// An eviction wasn't confirmed.
    #[snafu(display(
        "evicting zone {zone} ends its right to serve its keys even if it still runs; repeat \
         with --yes once it is surely stopped or cut off from its callers"
    ))]
    NotConfirmed {
        /// The zone.
        zone: ZoneName,
    },
    /// No control process gave an answer.
    #[snafu(display("{source}"), context(false))]
    Client {
        /// The cause.
        source: ClientError,
    },
    /// An answer can't be read.
    #[snafu(display("malformed answer: {source}"), context(false))]
    MalformedAnswer {
        /// The cause.
        source: ConvertError,
    },
    /// The table has moved on.
    #[snafu(display(
        "conflict: the table is at revision {current_revision}, the edit was based on \
         {base_revision}; nothing was changed"
    ))]
    Conflict {
        /// Revision that the edit was based on.
        base_revision: Revision,
        /// Revision of the table.
        current_revision: Revision,
    },
    /// The result of the edit would be wrong.
    #[snafu(display("the edit is invalid, nothing was changed:{}", format_faults(faults)))]
    Invalid {
        /// All faults.
        faults: Vec<String>,
    },
    /// Another edit had the same identifier.
    #[snafu(display("edit id {edit_id} belongs to another edit; nothing was changed"))]
    EditIdReused {
        /// The identifier.
        edit_id: EditId,
    },
    /// It isn't known whether the edit was made.
    #[snafu(display(
        "it isn't known whether the edit was made; repeat the command with --edit-id {edit_id} \
         --base-revision {base_revision} to find out: {source}"
    ))]
    OutcomeUnknown {
        /// The identifier to repeat.
        edit_id: EditId,
        /// The base revision to repeat.
        base_revision: Revision,
        /// Why.
        source: ClientError,
    },
    /// Not every zone had the revision in force in time.
    #[snafu(display(
        "revision {revision} was accepted, but after {} ms it isn't in force in: {}",
        timeout.as_millis(),
        zones.join(", ")
    ))]
    NotInForce {
        /// The revision.
        revision: Revision,
        /// The zones that lack it.
        zones: Vec<ZoneName>,
        /// How long was waited.
        timeout: Duration,
    },
}

impl CtlError {
    /// Exit status of the program for this failure.
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
            | Self::RoutesRefused { .. }
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
