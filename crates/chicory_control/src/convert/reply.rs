//! Conversions of replies.

use chicory_wire::proto::claim;
use chicory_wire::proto::claim::acknowledgement::Answer;
use chicory_wire::proto::common::Empty;
use chicory_wire::proto::peer::reply::Reply as Content;
use chicory_wire::proto::peer::{CallError, Reply};
use chicory_wire::proto::view::NotLeader;

use crate::{Acknowledgement, ControlReply};

impl From<Acknowledgement> for claim::Acknowledgement {
    fn from(acknowledgement: Acknowledgement) -> Self {
        let answer = match acknowledgement {
            Acknowledgement::Done => Answer::Done(Empty {}),
            Acknowledgement::NotLeader { leader } => Answer::NotLeader(NotLeader { leader }),
        };
        Self {
            answer: Some(answer),
        }
    }
}

/// Converts a reply to its message.
#[must_use]
pub fn reply_message(reply: ControlReply) -> Reply {
    let content = match reply {
        ControlReply::Renew(answer) => Content::Renew(answer.into()),
        ControlReply::Claim(answer) => Content::Claim(answer.into()),
        ControlReply::Acknowledged(answer) => Content::Acknowledged(answer.into()),
        ControlReply::ZoneSync(answer) => Content::ZoneSync(answer.into()),
        ControlReply::Formation(answer) => Content::Formation(answer.into()),
        ControlReply::Operator(answer) => Content::Operator(answer.into()),
        ControlReply::NotAllowed => Content::Error(CallError::NotAllowed.into()),
        ControlReply::WrongProcess => Content::Error(CallError::WrongProcess.into()),
    };
    Reply {
        reply: Some(content),
    }
}
