//! Why a run can't be played.

use std::io;
use std::path::PathBuf;

use snafu::Snafu;

/// Why a run can't be played.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SoakError {
    /// A file or folder can't be used.
    #[snafu(display("{} can't be used: {source}", path.display()))]
    File {
        /// The file or folder.
        path: PathBuf,
        /// The failure.
        source: io::Error,
    },
    /// A process can't be started or signalled.
    #[snafu(display("process {name} can't be started or signalled: {source}"))]
    Process {
        /// Its name.
        name: String,
        /// The failure.
        source: io::Error,
    },
    /// An address can't be listened on.
    #[snafu(display("can't listen for {name}: {source}"))]
    Listen {
        /// Who was to listen.
        name: String,
        /// The failure.
        source: io::Error,
    },
}
