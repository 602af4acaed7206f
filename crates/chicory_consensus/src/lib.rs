//! The replicated log as a pure reducer; it knows nothing of routing.
