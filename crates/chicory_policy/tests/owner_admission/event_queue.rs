//! Events in the order of their times.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

struct Timed<Event> {
    at: f64,
    number: u64,
    event: Event,
}

impl<Event> PartialEq for Timed<Event> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl<Event> Eq for Timed<Event> {}

impl<Event> PartialOrd for Timed<Event> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<Event> Ord for Timed<Event> {
    fn cmp(&self, other: &Self) -> Ordering {
        let by_time = self.at.total_cmp(&other.at);
        by_time.then(self.number.cmp(&other.number))
    }
}

/// Events in the order of their times; those of the same time in the order in which they were added.
pub struct EventQueue<Event> {
    events: BinaryHeap<Reverse<Timed<Event>>>,
    pushed: u64,
}

impl<Event> Default for EventQueue<Event> {
    fn default() -> Self {
        Self {
            events: BinaryHeap::new(),
            pushed: 0,
        }
    }
}

impl<Event> EventQueue<Event> {
    pub fn push(&mut self, at: f64, event: Event) {
        self.pushed += 1;
        let number = self.pushed;
        self.events.push(Reverse(Timed { at, number, event }));
    }

    pub fn pop(&mut self) -> Option<(f64, Event)> {
        let Reverse(timed) = self.events.pop()?;
        Some((timed.at, timed.event))
    }
}
