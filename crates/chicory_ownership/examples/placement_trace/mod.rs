//! Recorded heat traces: lines of a second, an event and its arguments.

/// What happens at one second.
#[derive(Clone, Debug)]
pub enum TraceEvent {
    Join(String),
    Leave(String),
    /// Requests per second, spread evenly over all slots.
    Base(f64),
    /// Requests per second on one slot besides.
    Hot(u16, f64),
}

#[derive(Clone, Debug)]
pub struct Trace {
    pub slots: u16,
    pub events: Vec<(u32, TraceEvent)>,
    pub end_s: u32,
}

impl Trace {
    /// Parses a trace; `None` for anything that isn't one.
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

    /// Moments at which load or servers change, the start apart.
    pub fn changes(&self) -> usize {
        let mut moments: Vec<u32> = self.events.iter().map(|(at_s, _)| *at_s).collect();
        moments.sort_unstable();
        moments.dedup();
        moments.len() - 1
    }
}
