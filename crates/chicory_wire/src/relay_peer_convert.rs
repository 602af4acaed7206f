//! Conversions of entry VMs that relay requests for others.

use chicory_directory::RelayPeer;

use crate::ConvertError;
use crate::convert_error::parsed_address;
use crate::proto::site;

impl From<RelayPeer> for site::RelayPeer {
    fn from(peer: RelayPeer) -> Self {
        Self {
            vm: peer.vm,
            address: peer.address.to_string(),
            zone: peer.zone,
        }
    }
}

impl TryFrom<site::RelayPeer> for RelayPeer {
    type Error = ConvertError;

    fn try_from(message: site::RelayPeer) -> Result<Self, ConvertError> {
        Ok(Self {
            address: parsed_address(&message.address, "relay_peer.address")?,
            vm: message.vm,
            zone: message.zone,
        })
    }
}
