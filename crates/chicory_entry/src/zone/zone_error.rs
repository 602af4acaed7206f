//! Failures of calls to the zone group.

use chicory_net::peer::PeerError;
use chicory_wire::ConvertError;
use snafu::Snafu;

/// A call to the zone group failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum ZoneError {
    /// The process could not be reached, or did not answer in time.
    #[snafu(display("{source}"), context(false))]
    Peer { source: PeerError },
    /// The answer is malformed.
    #[snafu(display("malformed answer: {source}"), context(false))]
    Malformed { source: ConvertError },
    /// The answer is not of the kind that the call requires.
    #[snafu(display("the answer does not match the call"))]
    Unexpected,
    /// No leader of the group answered.
    #[snafu(display("no leader of the zone group answered"))]
    NoLeader,
}
