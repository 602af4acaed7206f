//! Errors of the headers of relayed requests.

use snafu::Snafu;

/// The reason why the headers of a relayed request can't be read or written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum RelayHeadError {
    /// A header is missing.
    #[snafu(display("{name} is missing"))]
    Missing {
        /// Name of the header.
        name: &'static str,
    },
    /// A header is present more than once, or has a value that can't be read or written.
    #[snafu(display("{name} is malformed"))]
    Malformed {
        /// Name of the header.
        name: &'static str,
    },
    /// The request has another version.
    #[snafu(display("the version is not known"))]
    UnknownVersion,
}
