//! Looks for a control VM that can be reached.

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

/// Pause before each round of dials: a cut that ends is noticed within this time and that of a dial.
const SEARCH_PAUSE: Duration = Duration::from_millis(100);
/// Time for a control VM to tell its state on a new link; a few round trips between availability
/// zones.
const STATE_TIMEOUT: Duration = Duration::from_millis(500);

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

    /// Dials all targets at once and takes the first that answers: one that is cut off costs no
    /// time then.
    ///
    /// # Errors
    ///
    /// [`LinkError`] of one of the targets when none answers.
    pub(super) async fn open_any(&self, targets: &[VmId]) -> Result<(VmId, LinkStream), LinkError> {
        self.first_of(targets, false).await
    }

    async fn first_of(
        &self,
        targets: &[VmId],
        in_contact_only: bool,
    ) -> Result<(VmId, LinkStream), LinkError> {
        let mut dials = JoinSet::new();
        for vm in targets {
            let (entry, vm) = (self.clone(), vm.clone());
            dials.spawn(async move {
                let opened = if in_contact_only {
                    entry.open_in_contact(&vm).await
                } else {
                    entry.open(&vm).await
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

/// Looks for a control VM beside the one that is followed, for as long as it is wanted.
#[derive(Default)]
pub(super) struct ControlVmSearch {
    /// The one search that runs, if any; it ends with this.
    running: JoinSet<(VmId, LinkStream)>,
}

impl ControlVmSearch {
    /// Begins to look among `targets` for one in contact with a majority, unless a search runs
    /// already.
    pub(super) fn begin(&mut self, entry: EntryIdentity, targets: Vec<VmId>) {
        if !self.running.is_empty() || targets.is_empty() {
            return;
        }
        self.running.spawn(async move {
            loop {
                tokio::time::sleep(SEARCH_PAUSE).await;
                if let Ok(found) = entry.first_of(&targets, true).await {
                    return found;
                }
            }
        });
    }

    /// Gives the search up.
    pub(super) fn end(&mut self) {
        self.running.abort_all();
        self.running.detach_all();
    }

    /// Waits for a control VM that is in contact with a majority; for ever where no search runs.
    pub(super) async fn found(&mut self) -> (VmId, LinkStream) {
        loop {
            match self.running.join_next().await {
                Some(Ok(found)) => return found,
                // Given up meanwhile.
                Some(Err(_)) => {}
                None => std::future::pending().await,
            }
        }
    }
}
