//! One request of a caller, which may be sent several times.

/// One request of a caller, which may be sent several times; a resend uses the same call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Service.
    pub service: String,
    /// Key.
    pub key: String,
    /// `Idempotency-Key`, for orders.
    pub order_key: Option<String>,
    /// Additional path segment, such as a marker that crashes stand-ins.
    pub marker: Option<String>,
}

impl Call {
    /// Returns the path of the call.
    #[must_use]
    pub fn path(&self) -> String {
        let marker = self.marker.as_ref().map(|marker| format!("/{marker}"));
        let marker = marker.unwrap_or_default();
        format!("/{}/{}{marker}", self.service, self.key)
    }
}
