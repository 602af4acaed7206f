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

use super::shared::Shared;

/// Rounds of dials that may be under way beside each other: a full link delays a connection by more
/// than the time after which a new dial is worth while.
const DIAL_ROUNDS: u32 = 4;

/// Who an entry VM is, as it tells control VMs.
#[derive(Clone)]
pub(super) struct EntryIdentity {
    pub(super) shared: Arc<Shared>,
    pub(super) vm: VmId,
    pub(super) zone: ZoneName,
}

impl EntryIdentity {
    /// Tells a control VM who follows it and what is known already. It answers with its state and all
    /// that is missing, so that only a control VM that may be followed is greeted.
    async fn greet(&self, link: &mut LinkStream) -> Result<(), LinkError> {
        extend_unacknowledged_timeout(link)?;
        let (_, writer) = link;
        let hello = LinkHello::Entry {
            vm: self.vm.clone(),
            zone: self.zone.clone(),
            known: self.shared.gateway().directory().mark(),
        };
        writer.put(&site::LinkHello::from(hello));
        writer.flush().await
    }

    /// Opens a link to a control VM that is in contact with a majority; `patience` holds for the dial
    /// and again for the answer.
    ///
    /// # Errors
    ///
    /// [`LinkError`] when it can't be reached, or tells that it has no majority.
    pub(super) async fn open_in_contact(
        &self,
        vm: &VmId,
        patience: Duration,
    ) -> Result<LinkStream, LinkError> {
        let mut stream = dial_with_timeout(address_of(vm)?, patience).await?;
        self.greet(&mut stream).await?;
        let Ok(frame) = tokio::time::timeout(patience, stream.0.next()).await else {
            return Err(LinkError::DialTimeout);
        };
        let message: site::ControlMessage = frame?.ok_or(LinkError::InvalidMessage)?.decode()?;
        match ControlMessage::try_from(message) {
            Ok(ControlMessage::Status(status)) if status.is_in_contact => Ok(stream),
            _ => Err(LinkError::InvalidMessage),
        }
    }

    /// Dials all targets at once, again and again, and opens a link to the first that answers: one
    /// that is cut off costs no time then, and a dial that takes long is not thrown away.
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
                    self.greet(&mut stream).await?;
                    return Ok((vm, stream));
                }
                Ok((_, Err(failure))) => failure,
                Err(ended) => {
                    warn!(self.shared.logger, "dial ended early"; "error" => %ended);
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
