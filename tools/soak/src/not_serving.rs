//! Why a deployment counts as not serving.

use std::collections::BTreeMap;
use std::fmt;

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
    /// What each process used of the machine meanwhile, by its name.
    pub(crate) processes: BTreeMap<String, ProcessUsage>,
}

impl fmt::Display for NotServing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}; {}; {}; state and processor time:",
            self.unserved, self.delays, self.machine
        )?;
        for (name, usage) in &self.processes {
            let (state, cpu_time) = (usage.state, usage.cpu_time);
            write!(f, " {name} {state} {} ms", cpu_time.as_millis())?;
        }
        Ok(())
    }
}
