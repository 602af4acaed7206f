//! The control process of a site: a deployment in which all control VMs form one replicated group.
//!
//! [`SiteCore`] is the reducer: it drives the replicated log, answers operators and backend
//! servers, grants keys to backend servers, and notifies entry VMs of changes. [`SiteProcess`]
//! carries out its effects. Code that speaks another protocol to operators and backend servers
//! calls [`SiteHandle`] and implements [`GrantTransport`].

mod core;
mod process;

pub use chicory_policy::ColdAllowance;
pub use core::{
    CallerId, EntryLinkId, FaultTolerance, GrantRequest, SiteConfig, SiteCore, SiteEffect,
    SiteEvent, SiteNote, ToleranceShortfall, VoterPlan,
};
pub use process::{
    GrantFuture, GrantTransport, SiteHandle, SiteMetric, SiteProcess, SiteProcessConfig,
    SiteProcessError,
};
