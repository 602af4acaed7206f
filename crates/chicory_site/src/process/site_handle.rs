//! The handle with which other parts of the process call the site.

use std::time::Duration;

use chicory_directory::{ServerRecord, SiteAnswer, SiteCall};
use chicory_routes::{RouteTable, RouteTableFault};
use chicory_types::{ServerId, ZoneName};
use tokio::sync::{mpsc, oneshot};

use super::site_input::SiteInput;

/// Time that a planned stop waits for another member to take over the leadership.
const LEADERSHIP_TRANSFER_TIMEOUT: Duration = Duration::from_millis(300);

/// Calls the site on behalf of the interfaces for operators and backend servers.
#[derive(Clone)]
pub struct SiteHandle {
    inbox: mpsc::UnboundedSender<SiteInput>,
}

impl SiteHandle {
    pub(super) fn new(inbox: mpsc::UnboundedSender<SiteInput>) -> Self {
        Self { inbox }
    }

    /// Announces a backend server.
    pub async fn announce(&self, record: ServerRecord) -> SiteAnswer {
        self.call(SiteCall::Announce(record)).await
    }

    /// Removes a backend server that leaves.
    pub async fn leave(&self, server: ServerId, started_at_ms: Option<u64>) -> SiteAnswer {
        let call = SiteCall::Leave {
            server,
            started_at_ms,
        };
        self.call(call).await
    }

    /// Replaces the route table, on behalf of an operator.
    ///
    /// # Errors
    ///
    /// [`RouteTableFault`] when the table is invalid; nothing changes then.
    pub async fn put_routes(&self, table: RouteTable) -> Result<SiteAnswer, RouteTableFault> {
        table.check()?;
        Ok(self.call(SiteCall::PutRoutes(table)).await)
    }

    /// Reads the route table, on behalf of an operator.
    pub async fn read_routes(&self) -> SiteAnswer {
        self.call(SiteCall::ReadRoutes).await
    }

    /// Evacuates an availability zone, on behalf of an operator.
    pub async fn begin_evacuation(&self, zone: ZoneName) -> SiteAnswer {
        self.call(SiteCall::BeginEvacuation(zone)).await
    }

    /// Ends the evacuation of an availability zone, on behalf of an operator.
    pub async fn finish_evacuation(&self, zone: ZoneName) -> SiteAnswer {
        self.call(SiteCall::FinishEvacuation(zone)).await
    }

    /// Reads which availability zones are evacuated, on behalf of an operator.
    pub async fn read_evacuations(&self) -> SiteAnswer {
        self.call(SiteCall::ReadEvacuations).await
    }

    /// Transfers the leadership to another member before a planned stop.
    pub async fn stop(&self) {
        let (done, stopped) = oneshot::channel();
        if self.inbox.send(SiteInput::Stop { done }).is_ok() {
            // A leader that can't transfer the leadership in time is replaced by an election.
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
