//! Failures of conversions from messages.

use snafu::{OptionExt, Snafu};

/// Why a message could not be taken as a domain value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ConvertError {
    /// A field that must be set is absent.
    #[snafu(display("field {field} is missing"))]
    Missing {
        /// Name of the field.
        field: &'static str,
    },
    /// A number is outside of its domain.
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

/// Unwraps a field that must be set.
pub(crate) fn required<T>(value: Option<T>, field: &'static str) -> Result<T, ConvertError> {
    value.context(MissingSnafu { field })
}

/// Narrows a number.
pub(crate) fn narrowed<W, N: TryFrom<W>>(value: W, field: &'static str) -> Result<N, ConvertError> {
    N::try_from(value).ok().context(OutOfRangeSnafu { field })
}

/// Reads the number of an enum.
pub(crate) fn enumerated<E: TryFrom<i32>>(
    value: i32,
    field: &'static str,
) -> Result<E, ConvertError> {
    narrowed(value, field)
}

/// Converts each element of a repeated field.
pub(crate) fn each<P, D>(values: Vec<P>) -> Result<Vec<D>, ConvertError>
where
    D: TryFrom<P>,
    ConvertError: From<D::Error>,
{
    let converted = values.into_iter().map(D::try_from);
    Ok(converted.collect::<Result<_, _>>()?)
}

/// Converts each element of a list into its message.
pub(crate) fn each_into<D, P: From<D>>(values: Vec<D>) -> Vec<P> {
    values.into_iter().map(P::from).collect()
}

/// Milliseconds of a span, as messages carry them.
pub(crate) fn millis(span: std::time::Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
