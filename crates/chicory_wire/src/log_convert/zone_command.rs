//! Conversions of the commands of a zone group.

use chicory_ownership::ZoneCommand;

use crate::convert_error::{from_messages, into_messages, required};
use crate::proto::claim::ResolveClaimRequest;
use crate::proto::log::zone_command::Command;
use crate::{ConvertError, proto::log};

impl From<ZoneCommand> for log::ZoneCommand {
    fn from(command: ZoneCommand) -> Self {
        Self {
            command: Some(command.into()),
        }
    }
}

impl TryFrom<log::ZoneCommand> for ZoneCommand {
    type Error = ConvertError;

    fn try_from(message: log::ZoneCommand) -> Result<Self, ConvertError> {
        required(message.command, "zone_command.command")?.try_into()
    }
}

#[expect(
    clippy::too_many_lines,
    reason = "one match arm for each command, without further logic"
)]
impl From<ZoneCommand> for Command {
    fn from(command: ZoneCommand) -> Self {
        match command {
            ZoneCommand::AdoptTable { table } => Self::AdoptTable(table.into()),
            ZoneCommand::AdoptCustody { update, at_ms } => Self::AdoptCustody(log::AdoptCustody {
                update: Some(update.into()),
                at_ms,
            }),
            ZoneCommand::AdoptDirectory { zones } => Self::AdoptDirectory(log::AdoptDirectory {
                zones: into_messages(zones),
            }),
            ZoneCommand::RegisterServer { record } => Self::RegisterServer(record.into()),
            ZoneCommand::RemoveServer {
                server,
                incarnation,
            } => Self::RemoveServer(log::RemoveServer {
                server,
                incarnation,
            }),
            ZoneCommand::RegisterEntry { record } => Self::RegisterEntry(record.into()),
            ZoneCommand::RemoveEntry { vm, incarnation } => {
                Self::RemoveEntry(log::RemoveEntry { vm, incarnation })
            }
            ZoneCommand::ReleaseDispatcher {
                server,
                vm,
                incarnation,
                epoch,
            } => Self::ReleaseDispatcher(log::ReleaseDispatcher {
                server,
                vm,
                incarnation,
                epoch,
            }),
            ZoneCommand::AssignDispatcher {
                server,
                vm,
                incarnation,
            } => Self::AssignDispatcher(log::AssignDispatcher {
                server,
                vm,
                incarnation,
            }),
            ZoneCommand::ReleaseSlots {
                service,
                runs,
                server,
            } => Self::ReleaseSlots(log::ReleaseSlots {
                service,
                runs: into_messages(runs),
                server,
            }),
            ZoneCommand::ConfirmReleased {
                service,
                runs,
                server,
                token,
            } => Self::ConfirmReleased(log::ConfirmReleased {
                service,
                runs: into_messages(runs),
                server,
                token: Some(token.into()),
            }),
            ZoneCommand::AssignSlots {
                service,
                runs,
                server,
            } => Self::AssignSlots(log::AssignSlots {
                service,
                runs: into_messages(runs),
                server,
            }),
            ZoneCommand::SealCustody {
                service,
                run,
                generation,
            } => Self::SealCustody(log::SealCustody {
                service,
                run: Some(run.into()),
                generation,
            }),
            ZoneCommand::Claim { request, at_ms } => Self::Claim(log::Claim {
                request: Some(request.into()),
                at_ms,
            }),
            ZoneCommand::ResolveClaim {
                service,
                order_key,
                claimant,
                resolution,
            } => Self::ResolveClaim(ResolveClaimRequest {
                service,
                order_key,
                claimant: Some(claimant.into()),
                resolution: Some(resolution.into()),
            }),
            ZoneCommand::AbandonClaims { vm, incarnation } => {
                Self::AbandonClaims(log::AbandonClaims { vm, incarnation })
            }
            ZoneCommand::CountCrash {
                server,
                fingerprints,
                was_alone,
                at_ms,
            } => Self::CountCrash(log::CountCrash {
                server,
                fingerprints,
                was_alone,
                at_ms,
            }),
            ZoneCommand::AcquitFingerprint { fingerprint } => Self::AcquitFingerprint(fingerprint),
            ZoneCommand::Expire { at_ms } => Self::ExpireAtMs(at_ms),
        }
    }
}

impl TryFrom<Command> for ZoneCommand {
    type Error = ConvertError;

    fn try_from(command: Command) -> Result<Self, ConvertError> {
        Ok(match command {
            Command::AdoptTable(table) => Self::AdoptTable {
                table: table.try_into()?,
            },
            Command::AdoptCustody(message) => Self::AdoptCustody {
                update: required(message.update, "adopt_custody.update")?.try_into()?,
                at_ms: message.at_ms,
            },
            Command::AdoptDirectory(message) => Self::AdoptDirectory {
                zones: from_messages(message.zones)?,
            },
            Command::RegisterServer(record) => Self::RegisterServer {
                record: record.try_into()?,
            },
            Command::RemoveServer(message) => Self::RemoveServer {
                server: message.server,
                incarnation: message.incarnation,
            },
            Command::RegisterEntry(record) => Self::RegisterEntry {
                record: record.try_into()?,
            },
            Command::RemoveEntry(message) => Self::RemoveEntry {
                vm: message.vm,
                incarnation: message.incarnation,
            },
            Command::ReleaseDispatcher(message) => Self::ReleaseDispatcher {
                server: message.server,
                vm: message.vm,
                incarnation: message.incarnation,
                epoch: message.epoch,
            },
            Command::AssignDispatcher(message) => Self::AssignDispatcher {
                server: message.server,
                vm: message.vm,
                incarnation: message.incarnation,
            },
            Command::ReleaseSlots(message) => Self::ReleaseSlots {
                service: message.service,
                runs: from_messages(message.runs)?,
                server: message.server,
            },
            Command::ConfirmReleased(message) => Self::ConfirmReleased {
                service: message.service,
                runs: from_messages(message.runs)?,
                server: message.server,
                token: required(message.token, "confirm_released.token")?.into(),
            },
            Command::AssignSlots(message) => Self::AssignSlots {
                service: message.service,
                runs: from_messages(message.runs)?,
                server: message.server,
            },
            Command::SealCustody(message) => Self::SealCustody {
                service: message.service,
                run: required(message.run, "seal_custody.run")?.try_into()?,
                generation: message.generation,
            },
            Command::Claim(message) => Self::Claim {
                request: required(message.request, "claim.request")?.try_into()?,
                at_ms: message.at_ms,
            },
            Command::ResolveClaim(message) => Self::ResolveClaim {
                service: message.service,
                order_key: message.order_key,
                claimant: required(message.claimant, "resolve_claim.claimant")?.into(),
                resolution: required(message.resolution, "resolve_claim.resolution")?.try_into()?,
            },
            Command::AbandonClaims(message) => Self::AbandonClaims {
                vm: message.vm,
                incarnation: message.incarnation,
            },
            Command::CountCrash(message) => Self::CountCrash {
                server: message.server,
                fingerprints: message.fingerprints,
                was_alone: message.was_alone,
                at_ms: message.at_ms,
            },
            Command::AcquitFingerprint(fingerprint) => Self::AcquitFingerprint { fingerprint },
            Command::ExpireAtMs(at_ms) => Self::Expire { at_ms },
        })
    }
}
