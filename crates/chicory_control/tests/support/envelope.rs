//! Messages in transfer between control processes, and the processes themselves.

use std::collections::BTreeMap;

use chicory_control::{CallId, Caller, ControlCall, ControlCore, ControlEvent, GroupName};
use chicory_types::{MonoTime, VmId, ZoneName};

/// What waits for a reply.
pub(super) enum Waiter {
    Sync { vm: VmId, sent_at: MonoTime },
    Formation { vm: VmId, group: GroupName },
    Test(u64),
}

/// Content of an envelope.
pub(super) enum Payload {
    Event(ControlEvent),
    Call {
        from: Caller,
        request: ControlCall,
        waiter: Waiter,
    },
}

/// A message in transfer between two VMs.
pub(super) struct Envelope {
    pub(super) due_at: MonoTime,
    pub(super) from: VmId,
    pub(super) to: VmId,
    pub(super) payload: Payload,
}

/// A simulated control process with the calls that it has not answered yet.
pub(super) struct Vm {
    pub(super) core: ControlCore,
    pub(super) zone: ZoneName,
    pub(super) waiters: BTreeMap<CallId, Waiter>,
    pub(super) is_paused: bool,
}
