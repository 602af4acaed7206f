//! HTTP/1.1 connections with callers and backend servers.
//!
//! [`HttpListener`] serves requests through an [`HttpHandler`] within [`HttpLimits`];
//! [`ServerLink`] is one connection to a backend server. Bodies are streams of type [`HttpBody`]:
//! a slow reader applies backpressure to the sender. What clients occupy is limited by a
//! [`ClientBudget`].

mod body_error;
mod body_observer;
mod body_receiver;
mod body_source;
mod buffered_body;
mod client_budget;
mod client_log;
mod client_stream;
mod connection_share;
mod http_body;
mod http_handler;
mod http_limits;
mod http_listener;
mod link_error;
mod metered_stream;
mod peer_liveness;
mod receive_error;
mod refused_requests;
mod server_link;

pub use body_error::BodyError;
pub use body_observer::BodyObserver;
pub use body_receiver::{BodyReceiver, ReceiveStep};
pub use body_source::BodySource;
pub use buffered_body::BufferedBody;
pub use client_budget::ClientBudget;
pub use client_log::ClientLog;
pub use connection_share::ConnectionShare;
pub use http_body::HttpBody;
pub use http_handler::{AnswerFuture, HttpHandler};
pub use http_limits::HttpLimits;
pub use http_listener::HttpListener;
pub use link_error::{LinkError, SendError};
pub use receive_error::ReceiveError;
pub use server_link::ServerLink;
