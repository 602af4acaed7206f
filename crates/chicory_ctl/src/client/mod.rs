//! Clients that send requests to control processes.

mod attempt;
mod client_error;
mod control_client;
mod peer_client;
mod site_client;

pub use attempt::{Attempt, AttemptFailure};
pub use client_error::ClientError;
pub use control_client::{AnswerFuture, ControlClient};
pub use peer_client::{PeerClient, PeerClientSettings};
pub use site_client::SiteClient;
