//! The client that reads and replaces the route table of a site.

use std::net::SocketAddr;
use std::time::Duration;

use chicory_directory::{LinkHello, SiteAnswer, SiteCall};
use chicory_link::{Frame, LinkError, dial};
use chicory_types::OperatorName;
use chicory_wire::proto::site;
use tokio::time::Instant;

use crate::CtlError;
use crate::ctl_error::SiteUnreachableSnafu;

/// The pause after every control VM has failed, before the first is tried again.
const ROUND_PAUSE: Duration = Duration::from_millis(200);
/// The longest wait for the answer of one control VM, which may have to forward the call to its
/// leader.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends calls to the control VMs of a site, to one after another until one answers.
#[derive(Clone, Debug)]
pub struct SiteClient {
    /// The link addresses of the control VMs.
    pub control_vms: Vec<SocketAddr>,
    /// The name of the operator, for the logs of the control VMs.
    pub operator: OperatorName,
    /// How long the client tries to get an answer.
    pub timeout: Duration,
}

impl SiteClient {
    /// Sends `call` until a control VM answers for its group.
    ///
    /// # Errors
    ///
    /// Returns [`CtlError::SiteUnreachable`] if no control VM answers in time. It isn't known then
    /// whether a change was made; sending the same change again is harmless.
    pub async fn call(&self, call: &SiteCall) -> Result<SiteAnswer, CtlError> {
        let deadline = Instant::now() + self.timeout;
        let mut last_failure = "no address of a control VM was given".to_owned();
        while Instant::now() < deadline {
            for address in &self.control_vms {
                let result =
                    tokio::time::timeout(ANSWER_TIMEOUT, self.send_to(*address, call)).await;
                last_failure = match result {
                    Ok(Ok(SiteAnswer::Unavailable)) => {
                        format!("{address}: the group has no leader")
                    }
                    Ok(Ok(answer)) => return Ok(answer),
                    Ok(Err(failure)) => format!("{address}: {failure}"),
                    Err(_) => format!("{address}: no answer"),
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
