//! Parser of recorded heat traces. Each line holds a second, an event and its arguments.

/// Event in a trace.
#[derive(Clone, Debug)]
pub enum TraceEvent {
    Join(String),
    Leave(String),
    /// Requests per second, spread evenly over all slots.
    Base(f64),
    /// Additional requests per second on one slot.
    Hot(u16, f64),
}

#[derive(Clone, Debug)]
pub struct Trace {
    pub slots: u16,
    pub events: Vec<(u32, TraceEvent)>,
    pub end_s: u32,
}

impl Trace {
    /// Parses a trace and returns `None` if it is malformed.
    pub fn parse(text: &str) -> Option<Self> {
        let mut lines = text.lines();
        let slots = lines.next()?.strip_prefix("slots ")?.parse().ok()?;
        let mut trace = Self {
            slots,
            events: Vec::new(),
            end_s: 0,
        };
        for line in lines {
            let words: Vec<&str> = line.split_whitespace().collect();
            let at_s = words.first()?.parse().ok()?;
            let event = match words[1..] {
                ["join", server] => TraceEvent::Join(server.to_owned()),
                ["leave", server] => TraceEvent::Leave(server.to_owned()),
                ["base", rate] => TraceEvent::Base(rate.parse().ok()?),
                ["hot", slot, rate] => TraceEvent::Hot(slot.parse().ok()?, rate.parse().ok()?),
                ["end"] => {
                    trace.end_s = at_s;
                    continue;
                }
                _ => return None,
            };
            trace.events.push((at_s, event));
        }
        Some(trace)
    }

    /// Returns the number of times, except the start, at which load or servers change.
    pub fn changes(&self) -> usize {
        let mut moments: Vec<u32> = self.events.iter().map(|(at_s, _)| *at_s).collect();
        moments.sort_unstable();
        moments.dedup();
        moments.len() - 1
    }
}
