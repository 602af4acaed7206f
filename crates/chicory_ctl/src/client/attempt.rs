//! Failed attempts to get an answer from one control process.

use std::fmt;
use std::net::SocketAddr;

use chicory_net::peer::PeerError;
use chicory_types::VmId;
use chicory_wire::proto::operator::OperatorError;
use chicory_wire::proto::peer::CallError;
use snafu::Snafu;

/// A failed attempt to get an answer from one control process.
#[derive(Debug)]
pub struct Attempt {
    /// The VM of the process.
    pub vm: VmId,
    /// The address of the process.
    pub address: SocketAddr,
    /// The reason for the failure.
    pub failure: AttemptFailure,
}

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({}): {}", self.vm, self.address, self.failure)
    }
}

/// The reason why one control process gave no answer.
#[derive(Debug, Snafu)]
pub enum AttemptFailure {
    /// No connection to the process could be opened.
    #[snafu(display("can't connect: {source}"))]
    Connect {
        /// The cause.
        source: PeerError,
    },
    /// The process did not reply.
    #[snafu(display("no reply: {source}"))]
    NoReply {
        /// The cause.
        source: PeerError,
    },
    /// The process isn't the leader of its group. It knows no leader, or names one that this client
    /// can't try next.
    #[snafu(display("the process isn't the leader, and {}", leader.as_ref().map_or(
        "knows no leader".to_owned(),
        |leader| format!("names {leader}, which --control doesn't list")
    )))]
    NotLeader {
        /// The leader that the process named.
        leader: Option<VmId>,
    },
    /// The process can't answer the request.
    #[snafu(display("{}", refusal_text(*error)))]
    Refused {
        /// The reason that the process gave.
        error: OperatorError,
    },
    /// The process did not accept the call.
    #[snafu(display("{}", call_refusal_text(*error)))]
    CallRefused {
        /// The reason that the process gave.
        error: CallError,
    },
}

/// Returns the error message for a refused request.
pub(crate) fn refusal_text(error: OperatorError) -> &'static str {
    match error {
        OperatorError::WrongProcess => {
            "the process isn't a member of the group that can answer; list a control process with \
             a data folder in --control"
        }
        OperatorError::Unavailable => "the group has no leader at the moment",
        OperatorError::NotFound => "no such service or availability zone",
    }
}

/// Returns the error message for a call that was not accepted.
fn call_refusal_text(error: CallError) -> &'static str {
    match error {
        CallError::Malformed => {
            "the process can't decode the request; it may run another version of the software"
        }
        CallError::NotAllowed => "the certificate isn't an operator's",
        CallError::WrongProcess => "it isn't a control process",
    }
}
