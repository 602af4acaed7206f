//! Protocol buffers messages between the processes, and their conversions.
//!
//! The generated types are used only for messages and stored data: each reducer works with the
//! domain types of its own crate, and this crate converts between the two. The generated code is
//! committed; after a change of a `.proto` file, run `cargo run -p wire_generator`.

mod audit_convert;
mod balance_convert;
mod call_convert;
mod claim_convert;
mod common_convert;
mod consensus_convert;
mod convert_error;
mod custody_convert;
mod deflated_message;
mod directory_convert;
#[expect(
    missing_docs,
    clippy::pedantic,
    reason = "the generator determines the style of this code"
)]
pub mod generated;
mod link_convert;
mod log_convert;
mod record_macro;
mod relay_peer_convert;
mod renewal_convert;
mod routes_convert;
mod server_limit_convert;
mod table_convert;
mod view_convert;
mod zone_convert;

pub use consensus_convert::peer_message;
pub use convert_error::ConvertError;
pub use deflated_message::encode_control_message;
pub use generated::chicory as proto;
