//! Opens links to control VMs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chicory_directory::{ControlMessage, LinkHello};
use chicory_link::{LinkError, LinkStream, dial};
use chicory_types::{VmId, ZoneName};
use chicory_wire::proto::site;
use slog::warn;
use tokio::task::JoinSet;

use super::shared::Shared;

/// Time for a control VM to tell its state on a new link; a few round trips between availability
/// zones.
const STATE_TIMEOUT: Duration = Duration::from_millis(500);

/// Which control VMs will do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WantedControlVm {
    /// Any that answers.
    Any,
    /// One that is in contact with a majority.
    InContact,
}

/// Who an entry VM is, as it tells control VMs.
#[derive(Clone)]
pub(super) struct EntryIdentity {
    pub(super) shared: Arc<Shared>,
    pub(super) vm: VmId,
    pub(super) zone: ZoneName,
}

impl EntryIdentity {
    /// Opens a link to a control VM, which learns who follows it and what is known already.
    async fn open(&self, vm: &VmId) -> Result<LinkStream, LinkError> {
        let address: SocketAddr = vm.parse().map_err(|_| LinkError::Content)?;
        let (reader, mut writer) = dial(address).await?;
        let hello = LinkHello::Entry {
            vm: self.vm.clone(),
            zone: self.zone.clone(),
            known: self.shared.gateway().directory().mark(),
        };
        writer.put(&site::LinkHello::from(hello));
        writer.flush().await?;
        Ok((reader, writer))
    }

    /// Opens a link to a control VM that is in contact with a majority.
    async fn open_in_contact(&self, vm: &VmId) -> Result<LinkStream, LinkError> {
        let (mut reader, writer) = self.open(vm).await?;
        let Ok(frame) = tokio::time::timeout(STATE_TIMEOUT, reader.next()).await else {
            return Err(LinkError::DialTimeout);
        };
        let message: site::ControlMessage = frame?.ok_or(LinkError::Content)?.decode()?;
        match ControlMessage::try_from(message) {
            Ok(ControlMessage::Status(status)) if status.is_in_contact => Ok((reader, writer)),
            _ => Err(LinkError::Content),
        }
    }

    /// Dials all targets at once and takes the first that will do: one that is cut off costs no
    /// time then.
    ///
    /// # Errors
    ///
    /// [`LinkError`] of one of the targets when none will do.
    pub(super) async fn open_first(
        &self,
        targets: &[VmId],
        wanted: WantedControlVm,
    ) -> Result<(VmId, LinkStream), LinkError> {
        let mut dials = JoinSet::new();
        for vm in targets {
            let (entry, vm) = (self.clone(), vm.clone());
            dials.spawn(async move {
                let opened = match wanted {
                    WantedControlVm::Any => entry.open(&vm).await,
                    WantedControlVm::InContact => entry.open_in_contact(&vm).await,
                };
                (vm, opened)
            });
        }
        let mut failure = LinkError::DialTimeout;
        while let Some(dialled) = dials.join_next().await {
            match dialled {
                Ok((vm, Ok(stream))) => return Ok((vm, stream)),
                Ok((_, Err(error))) => failure = error,
                Err(error) => {
                    warn!(self.shared.logger, "dial ended early"; "error" => %error);
                }
            }
        }
        Err(failure)
    }
}
