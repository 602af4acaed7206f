//! Asks control VMs of a site about its route table.

use std::net::SocketAddr;
use std::time::Duration;

use chicory_directory::{LinkHello, SiteAnswer, SiteCall};
use chicory_link::{Frame, LinkError, dial};
use chicory_types::OperatorName;
use chicory_wire::proto::site;
use tokio::time::Instant;

use crate::CtlError;
use crate::ctl_error::SiteUnreachableSnafu;

/// Pause before the first control VM is asked again.
const ROUND_PAUSE: Duration = Duration::from_millis(200);
/// Longest time for one control VM to answer; it may have to pass the call on.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Asks control VMs of a site about its route table, one after the other until one answers.
#[derive(Clone, Debug)]
pub struct SiteClient {
    /// Addresses of links.
    pub control_vms: Vec<SocketAddr>,
    /// Name of the operator, for the logs.
    pub operator: OperatorName,
    /// How long to try.
    pub timeout: Duration,
}

impl SiteClient {
    /// Calls until a control VM answers for its group.
    ///
    /// # Errors
    ///
    /// [`CtlError::Site`] if none does in time. Whether a change was made isn't known then; to send
    /// it again does no harm.
    pub async fn call(&self, call: &SiteCall) -> Result<SiteAnswer, CtlError> {
        let deadline = Instant::now() + self.timeout;
        let mut last_failure = "no control VM was named".to_owned();
        while Instant::now() < deadline {
            for address in &self.control_vms {
                let result =
                    tokio::time::timeout(ANSWER_TIMEOUT, self.send_to(*address, call)).await;
                last_failure = match result {
                    Ok(Ok(SiteAnswer::Unavailable)) => format!("{address} has no leader"),
                    Ok(Ok(answer)) => return Ok(answer),
                    Ok(Err(failure)) => format!("{address}: {failure}"),
                    Err(_) => format!("{address} does not answer"),
                };
            }
            tokio::time::sleep(ROUND_PAUSE).await;
        }
        SiteUnreachableSnafu { last_failure }.fail()
    }

    async fn send_to(&self, address: SocketAddr, call: &SiteCall) -> Result<SiteAnswer, LinkError> {
        let (mut reader, mut writer) = dial(address).await?;
        let hello = LinkHello::Operator {
            operator: self.operator.clone(),
        };
        writer.put(&site::LinkHello::from(hello));
        writer.put(&site::SiteCall::from(call.clone()));
        writer.flush().await?;
        let frame = reader.next().await?;
        let message: site::SiteAnswer =
            frame.map_or(Err(LinkError::InvalidMessage), Frame::decode)?;
        SiteAnswer::try_from(message).map_err(|_| LinkError::InvalidMessage)
    }
}
