//! Conversions of custody and of the claims that zones hand over to each other.

use chicory_ownership::{
    ClaimRecord, ClaimState, Custody, CustodyCause, CustodyHandover, CustodyRelease, CustodyRun,
    CustodyUpdate,
};

use crate::convert_error::{enum_value, required};
use crate::proto::custody::claim_state::{Other, State};
use crate::record_macro::{convert_enum, convert_record};
use crate::{ConvertError, proto::custody};

convert_enum!(
    CustodyCause,
    custody::CustodyCause,
    [Initial, Released, LeaseEnded, Evicted, Reformed]
);

impl From<Custody> for custody::Custody {
    fn from(value: Custody) -> Self {
        Self {
            zone: value.zone,
            generation: value.generation,
            cause: custody::CustodyCause::from(value.cause).into(),
            moving_to: value.moving_to,
        }
    }
}

impl TryFrom<custody::Custody> for Custody {
    type Error = ConvertError;

    fn try_from(message: custody::Custody) -> Result<Self, ConvertError> {
        let cause: custody::CustodyCause = enum_value(message.cause, "custody.cause")?;
        Ok(Self {
            zone: message.zone,
            generation: message.generation,
            cause: cause.into(),
            moving_to: message.moving_to,
        })
    }
}

convert_record!(
    CustodyRun,
    custody::CustodyRun {
        plain: [service],
        nested: [run, custody],
        list: [],
    }
);

impl From<ClaimState> for custody::ClaimState {
    fn from(value: ClaimState) -> Self {
        let state = match value {
            ClaimState::Answered(answer) => State::Answered(answer.into()),
            ClaimState::InProgress => State::Other(Other::InProgress.into()),
            ClaimState::Unknown => State::Other(Other::Unknown.into()),
            ClaimState::NotRun => State::Other(Other::NotRun.into()),
        };
        Self { state: Some(state) }
    }
}

impl TryFrom<custody::ClaimState> for ClaimState {
    type Error = ConvertError;

    fn try_from(message: custody::ClaimState) -> Result<Self, ConvertError> {
        match required(message.state, "claim_state.state")? {
            State::Answered(answer) => Ok(Self::Answered(answer.try_into()?)),
            State::Other(other) => Ok(match enum_value(other, "claim_state.other")? {
                Other::InProgress => Self::InProgress,
                Other::Unknown => Self::Unknown,
                Other::NotRun => Self::NotRun,
            }),
        }
    }
}

convert_record!(
    ClaimRecord,
    custody::ClaimRecord {
        plain: [service, order_key, fingerprint, claimed_at_ms],
        nested: [claimant, state],
        list: [],
    }
);

convert_record!(
    CustodyRelease,
    custody::CustodyRelease {
        plain: [service, generation, history_lost_ms],
        nested: [run],
        list: [claims],
    }
);

convert_record!(
    CustodyHandover,
    custody::CustodyHandover {
        plain: [version, to_zone, service, generation, history_lost_ms],
        nested: [run],
        list: [claims],
    }
);

convert_record!(
    CustodyUpdate,
    custody::CustodyUpdate {
        plain: [version],
        nested: [],
        list: [runs, handovers],
    }
);
