//! Conversions of the messages on links between control and entry VMs.

use std::time::Duration;

use crate::balance_convert::stated_cpu_share;
use crate::convert_error::{from_messages, into_messages, narrowed, parsed_address, required};
use crate::deflated_message::inflate;
use crate::directory_convert::key_range;
use crate::proto::consensus::GroupName;
use crate::proto::site::{self, control_message, entry_message, link_hello, peer_envelope};
use crate::record_macro::convert_record;
use crate::routes_convert::micros;
use crate::{ConvertError, peer_message};
use chicory_directory::{
    ControlMessage, DirectoryPosition, EntryMessage, EntryReport, KeyCount, LinkHello, LinkStatus,
    MovesChange, MovingRange, PeerEnvelope, PoisonReport, ServerLoad, ServerRest,
};

convert_record!(
    LinkStatus,
    site::LinkStatus {
        plain: [
            leader,
            is_in_contact,
            version,
            control_vms,
            entry_count,
            poison,
            routes_version
        ],
        nested: [],
        list: [],
    }
);
convert_record!(
    MovesChange,
    site::MovesChange {
        plain: [is_full],
        nested: [],
        list: [begun, ended],
    }
);
convert_record!(
    PoisonReport,
    site::PoisonReport {
        plain: [fingerprint],
        nested: [life],
        list: [],
    }
);
convert_record!(
    EntryReport,
    site::EntryReport {
        plain: [
            accepts_server_limits,
            can_relay,
            accepts_server_shares,
            accepts_owner_admission
        ],
        nested: [],
        list: [keys, servers, poison, limits, permits, leaving, rests],
    }
);

impl From<ServerRest> for site::ServerRest {
    fn from(rest: ServerRest) -> Self {
        Self {
            life: Some(rest.incarnation.into()),
            left_us: micros(rest.left),
        }
    }
}

impl TryFrom<site::ServerRest> for ServerRest {
    type Error = ConvertError;

    fn try_from(message: site::ServerRest) -> Result<Self, ConvertError> {
        Ok(Self {
            incarnation: required(message.life, "server_rest.life")?.try_into()?,
            left: Duration::from_micros(message.left_us),
        })
    }
}

impl From<MovingRange> for site::MovingRange {
    fn from(moving: MovingRange) -> Self {
        Self {
            service: moving.service,
            first: moving.range.first.into(),
            last: moving.range.last.into(),
            fence: moving.fence,
        }
    }
}

impl TryFrom<site::MovingRange> for MovingRange {
    type Error = ConvertError;

    fn try_from(message: site::MovingRange) -> Result<Self, ConvertError> {
        Ok(Self {
            service: message.service,
            range: key_range(message.first, message.last)?,
            fence: message.fence,
        })
    }
}

impl From<KeyCount> for site::KeyCount {
    fn from(count: KeyCount) -> Self {
        Self {
            service: count.service,
            key: count.key.into(),
            request_count: count.request_count,
        }
    }
}

impl TryFrom<site::KeyCount> for KeyCount {
    type Error = ConvertError;

    fn try_from(message: site::KeyCount) -> Result<Self, ConvertError> {
        Ok(Self {
            service: message.service,
            key: narrowed(message.key, "key_count.key")?,
            request_count: message.request_count,
        })
    }
}

impl From<ServerLoad> for site::ServerLoad {
    fn from(load: ServerLoad) -> Self {
        Self {
            life: Some(load.incarnation.into()),
            in_flight: load.in_flight,
            answered: load.answered,
            shed: load.shed,
            service_time_us: micros(load.service_time),
            stated: load.stated.map(Into::into),
        }
    }
}

impl TryFrom<site::ServerLoad> for ServerLoad {
    type Error = ConvertError;

    fn try_from(message: site::ServerLoad) -> Result<Self, ConvertError> {
        Ok(Self {
            incarnation: required(message.life, "server_load.life")?.try_into()?,
            in_flight: message.in_flight,
            answered: message.answered,
            shed: message.shed,
            service_time: Duration::from_micros(message.service_time_us),
            stated: message.stated.map(TryInto::try_into).transpose()?,
        })
    }
}

impl From<LinkHello> for site::LinkHello {
    fn from(hello: LinkHello) -> Self {
        let from = match hello {
            LinkHello::Control { vm, zone } => {
                link_hello::From::Control(site::ControlHello { vm, zone })
            }
            LinkHello::Operator { operator } => {
                link_hello::From::Operator(site::OperatorHello { operator })
            }
            LinkHello::Entry {
                vm,
                zone,
                known,
                relay_address,
                cpu_share,
            } => link_hello::From::Entry(site::EntryHello {
                vm,
                zone,
                known_version: known.version,
                known_last_fence: known.last_fence,
                known_routes_version: known.routes_version,
                relay_address: relay_address.map(|address| address.to_string()),
                cpu_share,
            }),
        };
        Self { from: Some(from) }
    }
}

impl TryFrom<site::LinkHello> for LinkHello {
    type Error = ConvertError;

    fn try_from(message: site::LinkHello) -> Result<Self, ConvertError> {
        Ok(match required(message.from, "link_hello.from")? {
            link_hello::From::Control(hello) => Self::Control {
                vm: hello.vm,
                zone: hello.zone,
            },
            link_hello::From::Operator(hello) => Self::Operator {
                operator: hello.operator,
            },
            link_hello::From::Entry(hello) => Self::Entry {
                vm: hello.vm,
                zone: hello.zone,
                known: DirectoryPosition {
                    version: hello.known_version,
                    last_fence: hello.known_last_fence,
                    routes_version: hello.known_routes_version,
                },
                relay_address: hello
                    .relay_address
                    .map(|address| parsed_address(&address, "entry_hello.relay_address"))
                    .transpose()?,
                cpu_share: stated_cpu_share(hello.cpu_share)?,
            },
        })
    }
}

impl From<ControlMessage> for site::ControlMessage {
    fn from(message: ControlMessage) -> Self {
        use control_message::Message;
        let message = match message {
            ControlMessage::Update(update) => Message::Update(update.into()),
            ControlMessage::Status(status) => Message::Status(status.into()),
            ControlMessage::Moves(change) => Message::Moves(change.into()),
            ControlMessage::ServerLimits(update) => Message::ServerLimits(update.into()),
            ControlMessage::Relays(peers) => Message::Relays(site::RelayPeers {
                peers: into_messages(peers),
            }),
            ControlMessage::ServerShares(services) => Message::ServerShares(site::ServerShares {
                services: into_messages(services),
            }),
            ControlMessage::OwnerAdmission(owners) => {
                Message::OwnerAdmission(site::OwnerAdmission {
                    owners: into_messages(owners),
                })
            }
        };
        Self {
            message: Some(message),
        }
    }
}

impl TryFrom<site::ControlMessage> for ControlMessage {
    type Error = ConvertError;

    fn try_from(message: site::ControlMessage) -> Result<Self, ConvertError> {
        use control_message::Message;
        Ok(
            match required(message.message, "control_message.message")? {
                Message::Update(update) => Self::Update(update.try_into()?),
                Message::Status(status) => Self::Status(status.try_into()?),
                Message::Moves(change) => Self::Moves(change.try_into()?),
                Message::ServerLimits(update) => Self::ServerLimits(update.try_into()?),
                Message::Relays(relays) => Self::Relays(from_messages(relays.peers)?),
                Message::ServerShares(shares) => {
                    Self::ServerShares(from_messages(shares.services)?)
                }
                Message::OwnerAdmission(admission) => {
                    Self::OwnerAdmission(from_messages(admission.owners)?)
                }
                Message::Deflated(deflated) => inflate(&deflated)?,
            },
        )
    }
}

impl From<EntryMessage> for site::EntryMessage {
    fn from(message: EntryMessage) -> Self {
        let EntryMessage::Report(report) = message;
        Self {
            message: Some(entry_message::Message::Report(report.into())),
        }
    }
}

impl TryFrom<site::EntryMessage> for EntryMessage {
    type Error = ConvertError;

    fn try_from(message: site::EntryMessage) -> Result<Self, ConvertError> {
        let message = required(message.message, "entry_message.message")?;
        let entry_message::Message::Report(report) = message;
        Ok(Self::Report(report.try_into()?))
    }
}

impl From<PeerEnvelope> for site::PeerEnvelope {
    fn from(envelope: PeerEnvelope) -> Self {
        use peer_envelope::Content;
        let content = match envelope {
            PeerEnvelope::Log(message) => Content::Log(peer_message(GroupName::Global, message)),
            PeerEnvelope::Call { id, call } => Content::Call(site::PassedCall {
                id,
                call: Some(call.into()),
            }),
            PeerEnvelope::Answer { id, answer } => Content::Answer(site::PassedAnswer {
                id,
                answer: Some(answer.into()),
            }),
            PeerEnvelope::Announced(incarnations) => Content::Announced(site::Announced {
                lives: into_messages(incarnations),
            }),
            PeerEnvelope::Report(report) => Content::Report(report.into()),
        };
        Self {
            content: Some(content),
        }
    }
}

impl TryFrom<site::PeerEnvelope> for PeerEnvelope {
    type Error = ConvertError;

    fn try_from(message: site::PeerEnvelope) -> Result<Self, ConvertError> {
        use peer_envelope::Content;
        Ok(match required(message.content, "peer_envelope.content")? {
            Content::Log(message) => Self::Log(message.try_into()?),
            Content::Call(passed) => Self::Call {
                id: passed.id,
                call: required(passed.call, "passed_call.call")?.try_into()?,
            },
            Content::Answer(passed) => Self::Answer {
                id: passed.id,
                answer: required(passed.answer, "passed_answer.answer")?.try_into()?,
            },
            Content::Announced(announced) => Self::Announced(from_messages(announced.lives)?),
            Content::Report(report) => Self::Report(report.try_into()?),
        })
    }
}
