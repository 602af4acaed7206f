//! The names that almost every crate of the workspace uses.

pub use crate::{
    Clock, FencingToken, Incarnation, MonoTime, RequestId, Revision, ServerId, ServiceName, Slot,
    SlotRun, VmId, ZoneName,
};
