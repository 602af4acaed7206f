//! The kinds of faults that a run can be limited to.

use clap::ValueEnum;
use clap::builder::PossibleValue;

/// A kind of fault that a run can be limited to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// Backend servers end and start again at the same address.
    Restarts,
    /// Entry VMs lose the path to all backend servers.
    EntryCuts,
    /// Control VMs lose the path to all backend servers.
    ControlCuts,
}

impl ValueEnum for FaultKind {
    fn value_variants<'a>() -> &'a [Self] {
        &[Self::Restarts, Self::EntryCuts, Self::ControlCuts]
    }

    fn to_possible_value(&self) -> Option<PossibleValue> {
        let name = match self {
            Self::Restarts => "restarts",
            Self::EntryCuts => "entry-cuts",
            Self::ControlCuts => "control-cuts",
        };
        Some(PossibleValue::new(name))
    }
}
