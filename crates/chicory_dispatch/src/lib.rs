//! The request path as a pure reducer: admission, limits, retries, connections, outcomes.
