//! Failures of calls to the zone group.

use chicory_net::peer::PeerError;
use chicory_wire::ConvertError;
use snafu::Snafu;

/// A call to the zone group failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum ZoneError {
    /// The process could not be reached, or gave no answer in time.
    #[snafu(display("{source}"), context(false))]
    Peer { source: PeerError },
    /// The answer is malformed.
    #[snafu(display("malformed answer: {source}"), context(false))]
    Malformed { source: ConvertError },
    /// The answer is not one to the call.
    #[snafu(display("the process answers another call"))]
    Unexpected,
    /// The group has no leader that answers.
    #[snafu(display("no leader"))]
    NoLeader,
}
