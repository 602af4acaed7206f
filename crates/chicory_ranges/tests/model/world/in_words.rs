//! Steps in words.

use chicory_ranges::RangeMove;

use super::{START, World, time_of};
use crate::model::{Action, Call};

impl World {
    /// Returns in words where a call arrives.
    fn arrival(&self, call: &Call) -> String {
        match self.receiver(call) {
            Ok(process) => format!("arrives at {}", self.processes[process].incarnation),
            Err(outcome) => format!("ends with {outcome:?}"),
        }
    }

    /// Returns a step in words.
    pub fn describe(&self, action: Action) -> String {
        let seconds = self.now.saturating_sub(START).as_secs_f64();
        let step = match action {
            Action::Exchange(index) => {
                let call = &self.calls[index];
                let answer = if self.receiver(call).is_ok() {
                    " and is answered"
                } else {
                    ""
                };
                format!("{} {}{answer}", call.in_words(), self.arrival(call))
            }
            Action::Arrive(index) => {
                let call = &self.calls[index];
                format!("{} {}", call.in_words(), self.arrival(call))
            }
            Action::Apply(index) => format!("{} takes effect", self.calls[index].in_words()),
            Action::Answer(index) => format!("{} is answered", self.calls[index].in_words()),
            Action::Break(index) => {
                format!("the connection of {} breaks", self.calls[index].in_words())
            }
            Action::End(address) => format!("the process at address {address} ends"),
            Action::Start(address, successor) => {
                format!("a process starts at address {address}: {successor:?}")
            }
            Action::Hear(process) => {
                let process = &self.processes[process];
                let tense = if process.is_running { "" } else { ", late" };
                format!("announcement of {}{tense}", process.incarnation)
            }
            Action::Transfer { first, to } => {
                let to = &self.processes[to].incarnation;
                format!("the planner moves the keys from {first} on to {to}")
            }
            Action::Commit => format!("{} is committed", move_in_words(&self.proposals[0])),
            Action::FailMove => format!("{} fails", move_in_words(&self.proposals[0])),
            Action::ChangeLeader => "another leader takes over".into(),
            Action::Pass(step) => format!("{:?} passes", time_of(step)),
        };
        format!("{seconds:>5.1} s: {step}")
    }
}

fn move_in_words(change: &RangeMove) -> String {
    format!("the move of {} to {}", change.range, change.to)
}
