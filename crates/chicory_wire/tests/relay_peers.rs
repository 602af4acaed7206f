//! The message that names the entry VMs that relay requests for another one.

use chicory_directory::{ControlMessage, RelayPeer};
use chicory_wire::proto::site::{self, control_message};
use chicory_wire::{ConvertError, encode_control_message};
use googletest::prelude::*;
use prost::Message;

/// Maximum size of a message: the target of 8 KB/s for each VM, at 32 changes per second.
const MAX_MESSAGE_BYTES: usize = 256;

fn peers() -> Vec<RelayPeer> {
    let peer = |vm: &str, address: &str, zone: &str| RelayPeer {
        vm: vm.into(),
        address: address.parse().expect("an address"),
        zone: zone.into(),
    };
    vec![
        peer("entry-7", "10.0.0.7:7560", "north"),
        peer("entry-3", "[fd00::3]:7560", "south"),
        peer("entry-12", "10.1.0.12:7560", "east"),
        peer("entry-5", "10.0.0.5:7560", "north"),
    ]
}

fn relays(peers: Vec<site::RelayPeer>) -> site::ControlMessage {
    site::ControlMessage {
        message: Some(control_message::Message::Relays(site::RelayPeers { peers })),
    }
}

#[gtest]
fn relay_peers_arrive_in_the_order_in_which_they_were_sent() {
    for peers in [Vec::new(), peers()] {
        let message = ControlMessage::Relays(peers);
        let encoded = encode_control_message(message.clone());
        expect_that!(encoded.len(), le(MAX_MESSAGE_BYTES));
        let decoded = site::ControlMessage::decode(&encoded[..]).expect("a message");
        expect_that!(ControlMessage::try_from(decoded), ok(eq(&message)));
    }
}

#[gtest]
fn relay_peer_with_a_malformed_address_is_rejected() {
    for address in ["", "10.0.0.7", "entry-1:7560", "10.0.0.7:70000"] {
        let mut messages: Vec<site::RelayPeer> = peers().into_iter().map(Into::into).collect();
        messages[2].address = address.into();
        let received = ControlMessage::try_from(relays(messages));
        let field = "relay_peer.address";
        expect_that!(
            received,
            err(eq(&ConvertError::OutOfRange { field })),
            "{address:?}"
        );
    }
}

#[gtest]
fn truncated_message_is_rejected() {
    let mut encoded = encode_control_message(ControlMessage::Relays(peers()));
    encoded.truncate(encoded.len() - 1);
    expect_that!(site::ControlMessage::decode(&encoded[..]), err(anything()));
}
