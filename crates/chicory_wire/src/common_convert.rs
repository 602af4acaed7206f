//! Conversions of the messages that several protocols share.

use chicory_ownership::{EntryRecord, ServerRecord};
use chicory_types::{FencingToken, SLOTS_PER_SERVICE, SlotRun};

use crate::convert_error::{OutOfRangeSnafu, narrowed};
use crate::{ConvertError, proto::common};

impl From<SlotRun> for common::SlotRun {
    fn from(run: SlotRun) -> Self {
        Self {
            first: run.first.into(),
            last: run.last.into(),
        }
    }
}

impl TryFrom<common::SlotRun> for SlotRun {
    type Error = ConvertError;

    fn try_from(message: common::SlotRun) -> Result<Self, ConvertError> {
        let run = Self::new(
            narrowed(message.first, "run.first")?,
            narrowed(message.last, "run.last")?,
        );
        let is_valid = run.first <= run.last && run.last < SLOTS_PER_SERVICE;
        snafu::ensure!(is_valid, OutOfRangeSnafu { field: "run" });
        Ok(run)
    }
}

impl From<FencingToken> for common::FencingToken {
    fn from(token: FencingToken) -> Self {
        Self {
            custody_generation: token.custody_generation,
            counter: token.counter,
        }
    }
}

impl From<common::FencingToken> for FencingToken {
    fn from(message: common::FencingToken) -> Self {
        Self::new(message.custody_generation, message.counter)
    }
}

impl From<ServerRecord> for common::ServerRecord {
    fn from(record: ServerRecord) -> Self {
        Self {
            server: record.server,
            service: record.service,
            address: record.address,
            zone: record.zone,
            slots: record.slots,
            connections: record.connections,
            incarnation: record.incarnation,
            checks_grants: record.checks_grants,
            draining: record.draining,
        }
    }
}

impl TryFrom<common::ServerRecord> for ServerRecord {
    type Error = ConvertError;

    fn try_from(message: common::ServerRecord) -> Result<Self, ConvertError> {
        Ok(Self {
            server: message.server,
            service: message.service,
            address: message.address,
            zone: message.zone,
            slots: message.slots,
            connections: message.connections,
            incarnation: message.incarnation,
            checks_grants: message.checks_grants,
            draining: message.draining,
        })
    }
}

impl From<EntryRecord> for common::EntryRecord {
    fn from(record: EntryRecord) -> Self {
        Self {
            vm: record.vm,
            incarnation: record.incarnation,
            peer_address: record.peer_address,
            announce_address: record.announce_address,
        }
    }
}

impl TryFrom<common::EntryRecord> for EntryRecord {
    type Error = ConvertError;

    fn try_from(message: common::EntryRecord) -> Result<Self, ConvertError> {
        Ok(Self {
            vm: message.vm,
            incarnation: message.incarnation,
            peer_address: message.peer_address,
            announce_address: message.announce_address,
        })
    }
}
