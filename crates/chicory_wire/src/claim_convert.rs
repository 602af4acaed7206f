//! Conversions of claims of orders, their answers and resolutions.

use chicory_ownership::{ClaimAnswer, ClaimRequest, ClaimResolution, Claimant, StoredAnswer};

use crate::convert_error::{OutOfRangeSnafu, narrowed, required};
use crate::proto::claim::claim_answer::{Answer, Other as AnswerOther};
use crate::proto::claim::claim_resolution::{Other as ResolutionOther, Resolution};
use crate::proto::common::Empty;
use crate::proto::view::NotLeader;
use crate::{ConvertError, proto::claim};

impl From<Claimant> for claim::Claimant {
    fn from(claimant: Claimant) -> Self {
        Self {
            vm: claimant.vm,
            incarnation: claimant.incarnation,
            attempt: claimant.attempt,
        }
    }
}

impl From<claim::Claimant> for Claimant {
    fn from(message: claim::Claimant) -> Self {
        Self {
            vm: message.vm,
            incarnation: message.incarnation,
            attempt: message.attempt,
        }
    }
}

impl From<ClaimRequest> for claim::ClaimRequest {
    fn from(request: ClaimRequest) -> Self {
        Self {
            service: request.service,
            order_key: request.order_key,
            fingerprint: request.fingerprint,
            claimant: Some(request.claimant.into()),
        }
    }
}

impl TryFrom<claim::ClaimRequest> for ClaimRequest {
    type Error = ConvertError;

    fn try_from(message: claim::ClaimRequest) -> Result<Self, ConvertError> {
        Ok(Self {
            service: message.service,
            order_key: message.order_key,
            fingerprint: message.fingerprint,
            claimant: required(message.claimant, "claim_request.claimant")?.into(),
        })
    }
}

impl From<StoredAnswer> for claim::StoredAnswer {
    fn from(answer: StoredAnswer) -> Self {
        Self {
            status: answer.status.into(),
            content_type: answer.content_type,
            body: answer.body,
        }
    }
}

impl TryFrom<claim::StoredAnswer> for StoredAnswer {
    type Error = ConvertError;

    fn try_from(message: claim::StoredAnswer) -> Result<Self, ConvertError> {
        Ok(Self {
            status: narrowed(message.status, "stored_answer.status")?,
            content_type: message.content_type,
            body: message.body,
        })
    }
}

impl From<ClaimAnswer> for claim::ClaimAnswer {
    fn from(value: ClaimAnswer) -> Self {
        let other = |other: AnswerOther| Answer::Other(other.into());
        let answer = match value {
            ClaimAnswer::Granted => Answer::Granted(Empty {}),
            ClaimAnswer::Stored(stored) => Answer::Stored(stored.into()),
            ClaimAnswer::InProgress => other(AnswerOther::InProgress),
            ClaimAnswer::Unknown => other(AnswerOther::Unknown),
            ClaimAnswer::KeyReused => other(AnswerOther::KeyReused),
            ClaimAnswer::NotCustodian => other(AnswerOther::NotCustodian),
            ClaimAnswer::HistoryLost => other(AnswerOther::HistoryLost),
            ClaimAnswer::Full => other(AnswerOther::Full),
            ClaimAnswer::NotLeader { leader } => Answer::NotLeader(NotLeader { leader }),
        };
        Self {
            answer: Some(answer),
        }
    }
}

impl TryFrom<claim::ClaimAnswer> for ClaimAnswer {
    type Error = ConvertError;

    fn try_from(message: claim::ClaimAnswer) -> Result<Self, ConvertError> {
        Ok(match required(message.answer, "claim_answer.answer")? {
            Answer::Granted(Empty {}) => Self::Granted,
            Answer::Stored(stored) => Self::Stored(stored.try_into()?),
            Answer::NotLeader(other) => Self::NotLeader {
                leader: other.leader,
            },
            Answer::Other(other) => match AnswerOther::try_from(other) {
                Ok(AnswerOther::InProgress) => Self::InProgress,
                Ok(AnswerOther::Unknown) => Self::Unknown,
                Ok(AnswerOther::KeyReused) => Self::KeyReused,
                Ok(AnswerOther::NotCustodian) => Self::NotCustodian,
                Ok(AnswerOther::HistoryLost) => Self::HistoryLost,
                Ok(AnswerOther::Full) => Self::Full,
                Err(_) => {
                    return OutOfRangeSnafu {
                        field: "claim_answer.other",
                    }
                    .fail();
                }
            },
        })
    }
}

impl From<ClaimResolution> for claim::ClaimResolution {
    fn from(value: ClaimResolution) -> Self {
        let resolution = match value {
            ClaimResolution::Answered(answer) => Resolution::Answered(answer.into()),
            ClaimResolution::NotRun => Resolution::Other(ResolutionOther::NotRun.into()),
            ClaimResolution::Unknown => Resolution::Other(ResolutionOther::Unknown.into()),
        };
        Self {
            resolution: Some(resolution),
        }
    }
}

impl TryFrom<claim::ClaimResolution> for ClaimResolution {
    type Error = ConvertError;

    fn try_from(message: claim::ClaimResolution) -> Result<Self, ConvertError> {
        match required(message.resolution, "claim_resolution.resolution")? {
            Resolution::Answered(answer) => Ok(Self::Answered(answer.try_into()?)),
            Resolution::Other(other) => match ResolutionOther::try_from(other) {
                Ok(ResolutionOther::NotRun) => Ok(Self::NotRun),
                Ok(ResolutionOther::Unknown) => Ok(Self::Unknown),
                Err(_) => OutOfRangeSnafu {
                    field: "claim_resolution.other",
                }
                .fail(),
            },
        }
    }
}
