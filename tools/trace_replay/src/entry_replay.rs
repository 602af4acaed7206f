//! The replay of an entry process.

use std::collections::BTreeMap;
use std::path::Path;

use chicory_dispatch::{Effect, Event, RefusalReason, RequestPath, RequestPathConfig};
use chicory_trace::{TraceReader, TracedProcess};
use chicory_types::MonoTime;
use snafu::ResultExt;

use crate::ReplayError;
use crate::replay_error::TraceSnafu;

/// Totals of what a process did with requests, written as the last lines of the outcomes.
#[derive(Default)]
struct Totals {
    arrived: u64,
    written: u64,
    relayed: u64,
    forwarded: u64,
    stored: u64,
    refused: BTreeMap<RefusalReason, u64>,
}

/// Replays an entry process and returns its outcomes.
///
/// # Errors
///
/// [`ReplayError`] if the trace can't be read.
pub fn replay_entry(path: &Path) -> Result<Vec<String>, ReplayError> {
    let trace: TraceReader<RequestPathConfig, Event> =
        TraceReader::open(path, TracedProcess::Entry).context(TraceSnafu)?;
    let mut path = RequestPath::new(trace.config, trace.started_at);
    let mut totals = Totals::default();
    let mut outcomes = Vec::new();
    for line in trace.lines {
        let now = line.now();
        totals.arrived += u64::from(matches!(line.event, Event::RequestArrived(_)));
        for effect in path.reduce(now, line.event) {
            outcomes.extend(totals.record(now, &effect));
        }
    }
    outcomes.extend(totals.lines());
    outcomes.push(format!("open at the end: {}", path.open_requests()));
    Ok(outcomes)
}

impl Totals {
    /// Counts an effect. Returns an outcome for an effect that operators or callers can observe by
    /// itself.
    fn record(&mut self, now: MonoTime, effect: &Effect) -> Option<String> {
        let outcome = match effect {
            Effect::Write { .. } => {
                self.written += 1;
                return None;
            }
            Effect::Relay { .. } => {
                self.relayed += 1;
                return None;
            }
            Effect::ForwardAnswer { .. } => {
                self.forwarded += 1;
                return None;
            }
            Effect::Refuse { refusal, .. } => {
                *self.refused.entry(refusal.reason).or_default() += 1;
                format!("refused: {:?}, {:?}", refusal.reason, refusal.outcome)
            }
            Effect::AnswerStored { .. } => {
                self.stored += 1;
                "answered from the stored answer of an order".to_owned()
            }
            Effect::SetReady { is_ready } => format!("ready: {is_ready}"),
            Effect::ReportCrash {
                server, was_alone, ..
            } => format!("crash of {server}, alone: {was_alone}"),
            Effect::BreakAnswer { .. } => "broke an answer off".to_owned(),
            Effect::Stopped => "stopped".to_owned(),
            _ => return None,
        };
        Some(format!("{:>6} ms  {outcome}", now.as_millis()))
    }

    fn lines(&self) -> Vec<String> {
        let mut lines = vec![
            format!("arrived: {}", self.arrived),
            format!("written to servers: {}", self.written),
            format!("relayed: {}", self.relayed),
            format!("answers passed on: {}", self.forwarded),
            format!("answers from store: {}", self.stored),
        ];
        let refused = self.refused.iter();
        lines.extend(refused.map(|(reason, count)| format!("refused as {reason:?}: {count}")));
        lines
    }
}
