//! Stand-ins for the platform, its endpoints, requesters and operators. They use the standard library only.

pub mod endpoint;
pub mod http;
pub mod machines;
pub mod manifest;
pub mod record;
