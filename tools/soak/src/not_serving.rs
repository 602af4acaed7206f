//! Why a deployment counts as not serving.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use crate::delays::Delays;
use crate::machine_usage::MachineUsage;
use crate::process_usage::ProcessUsage;
use crate::unserved_requests::UnservedRequests;

/// What was seen while a deployment did not serve nearly all requests within a time limit.
#[derive(Debug)]
pub(crate) struct NotServing {
    pub(crate) unserved: UnservedRequests,
    /// What the soak's own process was late by.
    pub(crate) delays: Delays,
    /// How long the machine had processes wait.
    pub(crate) machine: MachineUsage,
    /// What each process used of the machine, by its name, at the begin and at the end.
    pub(crate) usage: [BTreeMap<String, ProcessUsage>; 2],
}

impl fmt::Display for NotServing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}; {}; {}; state and processor time:",
            self.unserved, self.delays, self.machine
        )?;
        let [begin, end] = &self.usage;
        for (name, usage) in end {
            let cpu_time_before = begin
                .get(name)
                .map_or(Duration::ZERO, |usage| usage.cpu_time);
            let cpu_time = usage.cpu_time.saturating_sub(cpu_time_before);
            write!(f, " {name} {} {} ms", usage.state, cpu_time.as_millis())?;
        }
        Ok(())
    }
}
