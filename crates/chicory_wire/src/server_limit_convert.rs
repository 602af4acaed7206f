//! Conversions of rate limits of backend servers and of the permits for them.

use std::ops::RangeInclusive;
use std::time::Duration;

use chicory_directory::{PermitAnswer, PermitRequest, ReportedLimit, ServerLimitUpdate};
use snafu::OptionExt;

use crate::ConvertError;
use crate::convert_error::{OutOfRangeSnafu, required};
use crate::proto::site;
use crate::record_macro::convert_record;
use crate::routes_convert::micros;

/// Bounds of the rate of a limit, in requests per second; they keep times that follow from it finite.
const RATE_BOUNDS_PER_S: RangeInclusive<f64> = 0.001..=1e9;

convert_record!(
    ServerLimitUpdate,
    site::ServerLimitUpdate {
        plain: [],
        nested: [],
        list: [limits, permits],
    }
);

impl From<ReportedLimit> for site::ReportedLimit {
    fn from(limit: ReportedLimit) -> Self {
        Self {
            life: Some(limit.incarnation.into()),
            rate_per_s: limit.rate_per_s,
            sent_age_us: micros(limit.sent_age),
            received_age_us: micros(limit.received_age),
        }
    }
}

impl TryFrom<site::ReportedLimit> for ReportedLimit {
    type Error = ConvertError;

    fn try_from(message: site::ReportedLimit) -> Result<Self, ConvertError> {
        let field = "reported_limit.rate_per_s";
        let rate_per_s = message.rate_per_s;
        let is_valid = rate_per_s.is_none_or(is_rate);
        Ok(Self {
            incarnation: required(message.life, "reported_limit.life")?.try_into()?,
            rate_per_s: is_valid
                .then_some(rate_per_s)
                .context(OutOfRangeSnafu { field })?,
            sent_age: Duration::from_micros(message.sent_age_us),
            received_age: Duration::from_micros(message.received_age_us),
        })
    }
}

/// Whether a number is the rate of a limit, in requests per second.
fn is_rate(number: f64) -> bool {
    RATE_BOUNDS_PER_S.contains(&number)
}

impl From<PermitRequest> for site::PermitRequest {
    fn from(request: PermitRequest) -> Self {
        Self {
            life: Some(request.incarnation.into()),
            rank: request.rank,
            count: request.count,
            rate_per_s: request.rate_per_s,
        }
    }
}

impl TryFrom<site::PermitRequest> for PermitRequest {
    type Error = ConvertError;

    fn try_from(message: site::PermitRequest) -> Result<Self, ConvertError> {
        let field = "permit_request.rate_per_s";
        let rate_per_s = Some(message.rate_per_s).filter(|rate| is_rate(*rate));
        Ok(Self {
            incarnation: required(message.life, "permit_request.life")?.try_into()?,
            rank: message.rank,
            count: message.count,
            rate_per_s: rate_per_s.context(OutOfRangeSnafu { field })?,
        })
    }
}

impl From<PermitAnswer> for site::PermitAnswer {
    fn from(answer: PermitAnswer) -> Self {
        Self {
            life: Some(answer.incarnation.into()),
            rank: answer.rank,
            granted: answer.granted,
            denied: answer.denied,
            retry_after_us: micros(answer.retry_after),
        }
    }
}

impl TryFrom<site::PermitAnswer> for PermitAnswer {
    type Error = ConvertError;

    fn try_from(message: site::PermitAnswer) -> Result<Self, ConvertError> {
        Ok(Self {
            incarnation: required(message.life, "permit_answer.life")?.try_into()?,
            rank: message.rank,
            granted: message.granted,
            denied: message.denied,
            retry_after: Duration::from_micros(message.retry_after_us),
        })
    }
}
