//! The interface of enums that name metrics.

/// The name of a metric.
///
/// Each crate that has metrics implements this trait for an enum of its own.
pub trait MetricName: Copy {
    /// Returns the name in lower case with underscores, without the prefix `chicory_` and without
    /// the suffix `_total`.
    fn name(self) -> &'static str;

    /// Returns a description of what the metric counts or measures.
    fn help(self) -> &'static str;
}
