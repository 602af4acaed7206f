//! Errors and helper functions of conversions.

use std::net::SocketAddr;

use snafu::{OptionExt, Snafu};

/// The reason why a message could not be converted into a domain value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ConvertError {
    /// A required field is missing.
    #[snafu(display("field {field} is missing"))]
    Missing {
        /// Name of the field.
        field: &'static str,
    },
    /// A value is outside of its range, or isn't valid.
    #[snafu(display("field {field} is out of range"))]
    OutOfRange {
        /// Name of the field.
        field: &'static str,
    },
}

impl From<std::convert::Infallible> for ConvertError {
    fn from(never: std::convert::Infallible) -> Self {
        match never {}
    }
}

/// Returns the value of a required field.
pub(crate) fn required<T>(value: Option<T>, field: &'static str) -> Result<T, ConvertError> {
    value.context(MissingSnafu { field })
}

/// Converts a number into a narrower type.
pub(crate) fn narrowed<W, N: TryFrom<W>>(value: W, field: &'static str) -> Result<N, ConvertError> {
    N::try_from(value).ok().context(OutOfRangeSnafu { field })
}

/// Converts a number into the variant of an enum.
pub(crate) fn enum_value<E: TryFrom<i32>>(
    value: i32,
    field: &'static str,
) -> Result<E, ConvertError> {
    narrowed(value, field)
}

/// Converts the text of a socket address.
pub(crate) fn parsed_address(text: &str, field: &'static str) -> Result<SocketAddr, ConvertError> {
    text.parse().ok().context(OutOfRangeSnafu { field })
}

/// Converts each message of a repeated field into its domain value.
pub(crate) fn from_messages<P, D>(values: Vec<P>) -> Result<Vec<D>, ConvertError>
where
    D: TryFrom<P>,
    ConvertError: From<D::Error>,
{
    let converted = values.into_iter().map(D::try_from);
    Ok(converted.collect::<Result<_, _>>()?)
}

/// Converts each domain value of a list into its message.
pub(crate) fn into_messages<D, P: From<D>>(values: Vec<D>) -> Vec<P> {
    values.into_iter().map(P::from).collect()
}

/// Returns the milliseconds of a duration, as in messages, or the maximum if they don't fit.
pub(crate) fn millis(span: std::time::Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
