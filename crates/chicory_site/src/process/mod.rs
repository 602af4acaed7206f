//! The shell of a control process: links, storage, and calls from and to other programs.

mod entry_server;
mod grant_transport;
mod link_listener;
mod note_log;
mod operator_server;
mod peer_links;
mod site_handle;
mod site_input;
mod site_metric;
mod site_process;
mod site_process_config;
mod site_process_error;
mod storage_worker;

pub use grant_transport::{GrantFuture, GrantTransport};
pub use site_handle::SiteHandle;
pub use site_metric::SiteMetric;
pub use site_process::SiteProcess;
pub use site_process_config::SiteProcessConfig;
pub use site_process_error::SiteProcessError;
