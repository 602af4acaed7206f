//! The requests that a server refused on one connection.

use std::collections::BTreeSet;

/// Most requests that are remembered. A connection that exceeds it carries no more requests.
const MAX_REQUESTS: usize = 64;

/// The requests that a server refused on one connection, by their ids.
///
/// A second copy of a refusal can arrive at any later time. It repeats the id of its request, which
/// tells it from the answers to all requests but that one, should it be sent on the connection again.
/// Requests without an id can't be told apart.
#[derive(Debug, Default)]
pub(crate) struct RefusedRequests(BTreeSet<Option<String>>);

impl RefusedRequests {
    pub(crate) fn insert(&mut self, request: Option<&str>) {
        self.0.insert(request.map(str::to_owned));
    }

    pub(crate) fn contains(&self, request: Option<&str>) -> bool {
        self.0.iter().any(|refused| refused.as_deref() == request)
    }

    /// Whether no more requests can be remembered.
    pub(crate) fn is_full(&self) -> bool {
        self.0.len() >= MAX_REQUESTS
    }
}
