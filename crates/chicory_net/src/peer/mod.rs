//! QUIC connections between the cluster's processes.
//!
//! The [`PeerEndpoint`] of a process accepts and opens connections on one UDP port. Each stream
//! starts with its [`StreamKind`], followed by frames: a header with magic number, version and
//! length, then one protocol buffers message.

mod call_stream;
mod endpoint;
mod fault_file;
mod fault_switch;
mod faulty_socket;
mod frame;
mod frame_error;
mod hello;
mod identity;
mod incoming_connection;
mod message_receiver;
mod message_sender;
mod peer_connection;
mod peer_error;
mod peer_stream;
mod relay_reader;
mod relay_stream;
mod relay_writer;
mod stream_kind;

pub use call_stream::CallStream;
pub use endpoint::PeerEndpoint;
pub use fault_file::FaultFile;
pub use fault_switch::{FaultSwitch, NoFaults};
pub use frame::{FRAME_HEADER_BYTES, FRAME_VERSION, Frame, MAX_FRAME_BYTES};
pub use frame_error::FrameError;
pub use identity::PeerIdentity;
pub use incoming_connection::IncomingConnection;
pub use message_receiver::MessageReceiver;
pub use message_sender::MessageSender;
pub use peer_connection::PeerConnection;
pub use peer_error::PeerError;
pub use peer_stream::PeerStream;
pub use relay_reader::{BodyPart, RelayReader};
pub use relay_stream::RelayStream;
pub use relay_writer::RelayWriter;
pub use stream_kind::StreamKind;
