//! Calls to the control processes of this availability zone.

mod zone_client;
mod zone_error;

pub(crate) use zone_client::ZoneClient;
