//! The control process of one group over all control VMs.
//!
//! [`SiteCore`] is the reducer: it drives the replicated log, answers operators and backend
//! servers, pushes grants of keys, and tells entry VMs what changed. [`SiteProcess`] carries its
//! effects out. What speaks another protocol to operators and servers calls [`SiteHandle`] and
//! implements [`GrantPort`].

mod core;
mod process;

pub use core::{
    CallerId, EntryLinkId, GrantOrder, SiteConfig, SiteCore, SiteEffect, SiteEvent, SiteNote,
};
pub use process::{
    GrantFuture, GrantPort, SiteHandle, SiteMetric, SiteProcess, SiteProcessConfig,
    SiteProcessError,
};
