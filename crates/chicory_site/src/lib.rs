//! The control process of one group over all control VMs.
//!
//! [`SiteCore`] is the reducer: it drives the replicated log, answers operators and backend
//! servers, pushes grants of keys, and tells entry VMs what changed. [`SiteProcess`] carries its
//! effects out. What speaks another protocol to operators and servers calls [`SiteHandle`] and
//! implements [`GrantTransport`].

mod core;
mod process;

pub use core::{
    CallerId, EntryLinkId, GrantRequest, SiteConfig, SiteCore, SiteEffect, SiteEvent, SiteNote,
};
pub use process::{
    GrantFuture, GrantTransport, SiteHandle, SiteMetric, SiteProcess, SiteProcessConfig,
    SiteProcessError,
};
