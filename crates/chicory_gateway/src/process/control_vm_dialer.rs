//! Opens links to control VMs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chicory_directory::{ControlMessage, LinkHello};
use chicory_link::{
    DIAL_TIMEOUT, LinkError, LinkStream, dial_with_timeout, extend_unacknowledged_timeout,
};
use chicory_types::{VmId, ZoneName};
use chicory_wire::proto::site;
use slog::warn;
use tokio::task::JoinSet;

use super::shared_state::SharedState;

/// Maximum number of concurrent rounds of dials. A saturated link delays a connection by more than
/// the time after which another dial is worthwhile.
const DIAL_ROUNDS: u32 = 4;

/// Opens links to control VMs under the identity of this entry VM.
#[derive(Clone)]
pub(super) struct ControlVmDialer {
    pub(super) shared: Arc<SharedState>,
    pub(super) vm: VmId,
    pub(super) zone: ZoneName,
    pub(super) relay_address: Option<SocketAddr>,
}

impl ControlVmDialer {
    /// Sends a control VM the hello of this entry VM with the position of its directory. The
    /// control VM answers with its status and everything that is missing, so a hello is sent only
    /// to a control VM that may be followed.
    async fn handshake(&self, link: &mut LinkStream) -> Result<(), LinkError> {
        extend_unacknowledged_timeout(link)?;
        let (_, writer) = link;
        // Each lock lives until the end of its statement.
        let cpu_share = self.shared.gateway().cpu_share();
        let hello = LinkHello::Entry {
            vm: self.vm.clone(),
            zone: self.zone.clone(),
            known: self.shared.gateway().directory().position(),
            relay_address: self.relay_address,
            cpu_share,
        };
        writer.put(&site::LinkHello::from(hello));
        writer.flush().await
    }

    /// Opens a link to a control VM that is in contact with a majority. `wait_limit` applies to the
    /// dial, and again to the answer.
    ///
    /// # Errors
    ///
    /// [`LinkError`] when the control VM can't be reached or reports that it has no majority.
    pub(super) async fn open_in_contact(
        &self,
        vm: &VmId,
        wait_limit: Duration,
    ) -> Result<LinkStream, LinkError> {
        let mut stream = dial_with_timeout(address_of(vm)?, wait_limit).await?;
        self.handshake(&mut stream).await?;
        let Ok(frame) = tokio::time::timeout(wait_limit, stream.0.next()).await else {
            return Err(LinkError::DialTimeout);
        };
        let message: site::ControlMessage = frame?.ok_or(LinkError::InvalidMessage)?.decode()?;
        match ControlMessage::try_from(message) {
            Ok(ControlMessage::Status(status)) if status.is_in_contact => Ok(stream),
            _ => Err(LinkError::InvalidMessage),
        }
    }

    /// Dials all targets at once, in repeated rounds, and opens a link to the first that answers. A
    /// target that is cut off then costs no time, and a dial that takes long is not discarded.
    ///
    /// # Errors
    ///
    /// [`LinkError`] of one of the targets when none answers.
    pub(super) async fn open_first(
        &self,
        targets: &[VmId],
    ) -> Result<(VmId, LinkStream), LinkError> {
        let mut dials = JoinSet::new();
        let mut rounds = tokio::time::interval(DIAL_TIMEOUT);
        let mut rounds_left = DIAL_ROUNDS;
        loop {
            let dialled = tokio::select! {
                _ = rounds.tick(), if rounds_left > 0 => {
                    rounds_left -= 1;
                    for vm in targets {
                        let (address, vm) = (address_of(vm)?, vm.clone());
                        let dial = dial_with_timeout(address, DIAL_TIMEOUT * DIAL_ROUNDS);
                        dials.spawn(async move { (vm, dial.await) });
                    }
                    continue;
                }
                Some(dialled) = dials.join_next() => dialled,
            };
            let failure = match dialled {
                Ok((vm, Ok(mut stream))) => {
                    self.handshake(&mut stream).await?;
                    return Ok((vm, stream));
                }
                Ok((_, Err(failure))) => failure,
                Err(ended) => {
                    warn!(self.shared.logger, "dial task failed"; "error" => %ended);
                    LinkError::DialTimeout
                }
            };
            if dials.is_empty() {
                return Err(failure);
            }
        }
    }
}

fn address_of(vm: &VmId) -> Result<SocketAddr, LinkError> {
    vm.parse().map_err(|_| LinkError::InvalidMessage)
}
