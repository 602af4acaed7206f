//! The reducer of a control process.

mod calls;
mod entries;
mod entry_demand;
mod entry_link;
mod fault_tolerance;
mod leader;
mod note_budget;
mod planned_rates;
mod poison_registry;
mod relay_ability;
mod relay_assignment;
mod relays;
mod replicated_log;
mod server_limits;
mod server_speeds;
mod shared_slots;
mod shares;
mod site_config;
mod site_core;
mod site_effect;
mod site_event;
mod site_note;
mod tolerance_shortfall;

pub use entry_link::EntryLinkId;
pub use fault_tolerance::{FaultTolerance, VoterPlan};
pub use site_config::SiteConfig;
pub use site_core::SiteCore;
pub use site_effect::{GrantRequest, SiteEffect};
pub use site_event::{CallerId, SiteEvent};
pub use site_note::SiteNote;
pub use tolerance_shortfall::ToleranceShortfall;
