//! The run of one request on a backend server.

use std::rc::Rc;

use super::ServerState;
use crate::history::{HistoryEvent, HistoryRecord};

/// Status in the history of a request that its caller cancelled.
const STATUS_CANCELLED: u16 = 499;

/// The run of one request on a backend server; dropping the guard of a run that hasn't ended
/// records a cancellation.
#[derive(Debug)]
pub struct RunGuard {
    server: Rc<ServerState>,
    start: HistoryRecord,
    has_ended: bool,
}

impl RunGuard {
    /// Records the start of the run that `start` describes, and counts the request as in flight.
    pub fn start(server: &Rc<ServerState>, start: HistoryRecord) -> Self {
        server.recorder.write(&start);
        server.in_flight.set(server.in_flight.get() + 1);
        Self {
            server: server.clone(),
            start,
            has_ended: false,
        }
    }

    /// Records that the run ended with `status`.
    pub fn end(mut self, status: u16) {
        self.write_end(status);
    }

    /// Records that the run was abandoned because its grant was lost before it took effect.
    pub fn abandon(mut self) {
        let lost_at = self.server.grants.borrow().lost_at();
        let lease_end_ns = self.server.recorder.at_ns(lost_at);
        self.write(&HistoryRecord {
            lease_end_ns: Some(lease_end_ns),
            ..self.end_record(HistoryEvent::RunAbandoned)
        });
    }

    fn write_end(&mut self, status: u16) {
        self.write(&HistoryRecord {
            status: Some(status),
            ..self.end_record(HistoryEvent::RunEnd)
        });
    }

    fn end_record(&self, event: HistoryEvent) -> HistoryRecord {
        HistoryRecord {
            mono_ns: self.server.recorder.now_ns(),
            event,
            ..self.start.clone()
        }
    }

    fn write(&mut self, record: &HistoryRecord) {
        self.has_ended = true;
        self.server.recorder.write(record);
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        if !self.has_ended {
            self.write_end(STATUS_CANCELLED);
        }
        self.server.in_flight.set(self.server.in_flight.get() - 1);
    }
}
