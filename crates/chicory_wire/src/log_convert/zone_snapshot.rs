//! Conversions of the snapshot of a zone group.

use std::collections::BTreeMap;

use chicory_ownership::{
    Dispatcher, EntryRecord, ServerEntry, SlotHold, SlotHoldRun, SlotMark, Suspect, ZoneDirectory,
    ZoneSnapshot,
};

use crate::convert_error::{from_messages, into_messages, required};
use crate::record_macro::convert_record;
use crate::{ConvertError, proto::log};

convert_record!(
    Dispatcher,
    log::Dispatcher {
        plain: [vm, incarnation, since],
        nested: [],
        list: [],
    }
);

impl From<ServerEntry> for log::ServerEntry {
    fn from(entry: ServerEntry) -> Self {
        Self {
            record: Some(entry.record.into()),
            dispatcher: entry.dispatcher.map(Into::into),
            epoch: entry.epoch,
        }
    }
}

impl TryFrom<log::ServerEntry> for ServerEntry {
    type Error = ConvertError;

    fn try_from(message: log::ServerEntry) -> Result<Self, ConvertError> {
        Ok(Self {
            record: required(message.record, "server_entry.record")?.try_into()?,
            dispatcher: message.dispatcher.map(TryInto::try_into).transpose()?,
            epoch: message.epoch,
        })
    }
}

impl From<SlotHold> for log::SlotHold {
    fn from(hold: SlotHold) -> Self {
        Self {
            server: hold.server,
            token: Some(hold.token.into()),
            releasing_since: hold.releasing_since,
        }
    }
}

impl TryFrom<log::SlotHold> for SlotHold {
    type Error = ConvertError;

    fn try_from(message: log::SlotHold) -> Result<Self, ConvertError> {
        Ok(Self {
            server: message.server,
            token: required(message.token, "slot_hold.token")?.into(),
            releasing_since: message.releasing_since,
        })
    }
}

convert_record!(
    SlotHoldRun,
    log::SlotHoldRun {
        plain: [service],
        nested: [run, hold],
        list: [],
    }
);

convert_record!(
    SlotMark,
    log::SlotMark {
        plain: [service, value],
        nested: [run],
        list: [],
    }
);

fn suspect_message((fingerprint, suspect): (u64, Suspect)) -> log::Suspect {
    let crashes = suspect.crashes.into_iter();
    log::Suspect {
        fingerprint,
        crashes: crashes
            .map(|(server, incarnation)| log::Crash {
                server,
                incarnation,
            })
            .collect(),
        was_alone: suspect.was_alone,
        last_crash_ms: suspect.last_crash_ms,
    }
}

fn suspect(message: log::Suspect) -> (u64, Suspect) {
    let crashes = message.crashes.into_iter();
    let suspect = Suspect {
        crashes: crashes
            .map(|crash| (crash.server, crash.incarnation))
            .collect(),
        was_alone: message.was_alone,
        last_crash_ms: message.last_crash_ms,
    };
    (message.fingerprint, suspect)
}

impl From<ZoneSnapshot> for log::ZoneSnapshot {
    fn from(snapshot: ZoneSnapshot) -> Self {
        let directory = snapshot.directory.into_iter();
        Self {
            zone: snapshot.zone,
            group_epoch: snapshot.group_epoch,
            applied: snapshot.applied,
            clock_ms: snapshot.clock_ms,
            table: Some(snapshot.table.into()),
            custody_version: snapshot.custody_version,
            custody: into_messages(snapshot.custody),
            sealed: into_messages(snapshot.sealed),
            history_lost: into_messages(snapshot.history_lost),
            directory: directory
                .map(|(zone, entries)| ZoneDirectory { zone, entries }.into())
                .collect(),
            entries: snapshot.entries.into_values().map(Into::into).collect(),
            servers: into_messages(snapshot.servers),
            dispatcher_epoch: snapshot.dispatcher_epoch,
            holds: into_messages(snapshot.holds),
            token_counter: snapshot.token_counter,
            claims: into_messages(snapshot.claims),
            suspects: snapshot.suspects.into_iter().map(suspect_message).collect(),
            view_version: snapshot.view_version,
        }
    }
}

impl TryFrom<log::ZoneSnapshot> for ZoneSnapshot {
    type Error = ConvertError;

    fn try_from(message: log::ZoneSnapshot) -> Result<Self, ConvertError> {
        let directory: Vec<ZoneDirectory> = from_messages(message.directory)?;
        let directory = directory
            .into_iter()
            .map(|zone_directory| (zone_directory.zone, zone_directory.entries));
        let entries: Vec<EntryRecord> = from_messages(message.entries)?;
        let entries: BTreeMap<_, _> = entries
            .into_iter()
            .map(|entry_record| (entry_record.vm.clone(), entry_record))
            .collect();
        Ok(Self {
            zone: message.zone,
            group_epoch: message.group_epoch,
            applied: message.applied,
            clock_ms: message.clock_ms,
            table: required(message.table, "zone_snapshot.table")?.try_into()?,
            custody_version: message.custody_version,
            custody: from_messages(message.custody)?,
            sealed: from_messages(message.sealed)?,
            history_lost: from_messages(message.history_lost)?,
            directory: directory.collect(),
            entries,
            servers: from_messages(message.servers)?,
            dispatcher_epoch: message.dispatcher_epoch,
            holds: from_messages(message.holds)?,
            token_counter: message.token_counter,
            claims: from_messages(message.claims)?,
            suspects: message.suspects.into_iter().map(suspect).collect(),
            view_version: message.view_version,
        })
    }
}
