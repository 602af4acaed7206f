//! Failures with one control process.

use std::fmt;
use std::net::SocketAddr;

use chicory_net::peer::PeerError;
use chicory_types::VmId;
use chicory_wire::proto::operator::OperatorError;
use chicory_wire::proto::peer::CallError;
use snafu::Snafu;

/// A failure with one control process.
#[derive(Debug)]
pub struct Attempt {
    /// Its VM.
    pub vm: VmId,
    /// Its address.
    pub address: SocketAddr,
    /// What failed.
    pub failure: AttemptFailure,
}

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({}): {}", self.vm, self.address, self.failure)
    }
}

/// What failed with one control process.
#[derive(Debug, Snafu)]
pub enum AttemptFailure {
    /// It can't be reached.
    #[snafu(display("can't connect: {source}"))]
    Connect {
        /// The cause.
        source: PeerError,
    },
    /// It didn't reply.
    #[snafu(display("no reply: {source}"))]
    NoReply {
        /// The cause.
        source: PeerError,
    },
    /// It isn't the leader and knows of none.
    #[snafu(display("it isn't the leader, and {}", leader.as_ref().map_or(
        "knows of none".to_owned(),
        |leader| format!("names {leader}, which --control doesn't list")
    )))]
    NotLeader {
        /// The leader that it named.
        leader: Option<VmId>,
    },
    /// It can't answer.
    #[snafu(display("{}", refusal_text(*error)))]
    Refused {
        /// Why.
        error: OperatorError,
    },
    /// It doesn't take the call.
    #[snafu(display("{}", call_refusal_text(*error)))]
    CallRefused {
        /// Why.
        error: CallError,
    },
}

/// Why a process refused a request, in words.
pub(crate) fn refusal_text(error: OperatorError) -> &'static str {
    match error {
        OperatorError::WrongProcess => {
            "the process takes no part in the group that could answer; name a control process \
             with a data folder"
        }
        OperatorError::Unavailable => "the group has no leader at the moment",
        OperatorError::NotFound => "no such service or availability zone",
    }
}

fn call_refusal_text(error: CallError) -> &'static str {
    match error {
        CallError::Malformed => "it can't read the request; is it of another version?",
        CallError::NotAllowed => "the certificate isn't an operator's",
        CallError::WrongProcess => "it is no control process",
    }
}
