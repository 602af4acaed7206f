//! Names of metrics as typed enums.

/// A metric; each crate that counts something implements this for an enum of its own.
pub trait MetricName: Copy {
    /// Name without prefix and without the suffix `_total`, in lower case with underscores.
    fn name(self) -> &'static str;

    /// What it counts or measures.
    fn help(self) -> &'static str;
}
