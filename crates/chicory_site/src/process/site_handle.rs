//! How other parts of the process call the site.

use std::time::Duration;

use chicory_directory::{ServerRecord, SiteAnswer, SiteCall};
use chicory_routes::{RouteTable, RouteTableFault};
use chicory_types::ServerId;
use tokio::sync::{mpsc, oneshot};

use super::site_input::SiteInput;

/// Time for which a planned stop waits for the leadership to pass to another member.
const LEADERSHIP_TRANSFER_TIMEOUT: Duration = Duration::from_millis(300);

/// Calls the site from operators' and backend servers' interfaces.
#[derive(Clone)]
pub struct SiteHandle {
    inbox: mpsc::UnboundedSender<SiteInput>,
}

impl SiteHandle {
    pub(super) fn new(inbox: mpsc::UnboundedSender<SiteInput>) -> Self {
        Self { inbox }
    }

    /// A backend server announces itself.
    pub async fn announce(&self, record: ServerRecord) -> SiteAnswer {
        self.call(SiteCall::Announce(record)).await
    }

    /// A backend server leaves.
    pub async fn leave(&self, server: ServerId, started_at_ms: Option<u64>) -> SiteAnswer {
        let call = SiteCall::Leave {
            server,
            started_at_ms,
        };
        self.call(call).await
    }

    /// The operator replaces the route table.
    ///
    /// # Errors
    ///
    /// [`RouteTableFault`] when the table can't be in force; nothing changes.
    pub async fn put_routes(&self, table: RouteTable) -> Result<SiteAnswer, RouteTableFault> {
        table.check()?;
        Ok(self.call(SiteCall::PutRoutes(table)).await)
    }

    /// The operator reads the route table.
    pub async fn read_routes(&self) -> SiteAnswer {
        self.call(SiteCall::ReadRoutes).await
    }

    /// Gives the leadership to another member before a planned stop.
    pub async fn stop(&self) {
        let (done, stopped) = oneshot::channel();
        if self.inbox.send(SiteInput::Stop { done }).is_ok() {
            // A member that can't hand over in time is replaced by an election.
            drop(tokio::time::timeout(LEADERSHIP_TRANSFER_TIMEOUT, stopped).await);
            tokio::time::sleep(LEADERSHIP_TRANSFER_TIMEOUT).await;
        }
    }

    async fn call(&self, call: SiteCall) -> SiteAnswer {
        let (reply, answer) = oneshot::channel();
        if self.inbox.send(SiteInput::Call { call, reply }).is_err() {
            return SiteAnswer::Unavailable;
        }
        answer.await.unwrap_or(SiteAnswer::Unavailable)
    }
}
