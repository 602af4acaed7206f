//! A backend server with a few slots and a short queue.

use std::collections::VecDeque;
use std::time::Duration;

/// Requests that a server runs at once.
pub const SLOTS: u32 = 3;
/// Requests that wait at a server; it turns further ones away.
const MAX_QUEUED: usize = 12;

/// What a server does with a request.
pub enum Admission {
    Runs,
    Waits,
    TurnedAway,
}

pub struct Server {
    pub speed: f64,
    running: u32,
    /// When each waiting request was sent by its caller.
    queue: VecDeque<Duration>,
}

impl Server {
    pub fn new(speed: f64) -> Self {
        Self {
            speed,
            running: 0,
            queue: VecDeque::new(),
        }
    }

    pub fn admit(&mut self, sent_at: Duration) -> Admission {
        if self.running < SLOTS {
            self.running += 1;
            return Admission::Runs;
        }
        if self.queue.len() >= MAX_QUEUED {
            return Admission::TurnedAway;
        }
        self.queue.push_back(sent_at);
        Admission::Waits
    }

    /// Ends a request, and returns when the one that runs next was sent.
    pub fn finish(&mut self) -> Option<Duration> {
        let next = self.queue.pop_front();
        if next.is_none() {
            self.running -= 1;
        }
        next
    }
}
