//! Searches for another control VM while one is followed.

use std::time::Duration;

use chicory_link::{Backoff, LinkStream};
use chicory_types::VmId;
use tokio::task::JoinSet;

use super::control_vm_dialer::ControlVmDialer;
use super::search_cause::SearchCause;

/// Longest pause before the next control VM is tried. The end of a network cut is noticed within
/// this time plus the time of a dial, while many entry VMs that search at once don't prevent the
/// control VMs from holding an election.
const MAX_SEARCH_PAUSE: Duration = Duration::from_millis(400);

/// Searches for another control VM while one is followed.
#[derive(Default)]
pub(super) struct ControlVmSearch {
    cause: Option<SearchCause>,
    targets: Vec<VmId>,
    /// Task of the current search, if any. Dropping the set aborts it.
    running: JoinSet<(VmId, LinkStream)>,
}

impl ControlVmSearch {
    /// Begins to try `targets` in turn until one is in contact with a majority, unless the same
    /// search already runs.
    pub(super) fn begin(
        &mut self,
        cause: SearchCause,
        dialer: ControlVmDialer,
        targets: Vec<VmId>,
    ) {
        let is_running = self.cause == Some(cause) && self.targets == targets;
        if is_running || targets.is_empty() {
            return;
        }
        self.end();
        self.cause = Some(cause);
        self.targets.clone_from(&targets);
        self.running.spawn(async move {
            let mut backoff = Backoff::default();
            let mut vms = targets.into_iter().cycle();
            let mut should_pause = !cause.is_urgent();
            loop {
                if should_pause {
                    tokio::time::sleep(backoff.next_pause().min(MAX_SEARCH_PAUSE)).await;
                }
                should_pause = true;
                let Some(vm) = vms.next() else { continue };
                if let Ok(stream) = dialer.open_in_contact(&vm, cause.wait_limit()).await {
                    return (vm, stream);
                }
            }
        });
    }

    /// Whether a search runs for this cause.
    pub(super) fn runs_for(&self, cause: SearchCause) -> bool {
        self.cause == Some(cause)
    }

    /// Aborts a search for this cause.
    pub(super) fn end_for(&mut self, cause: SearchCause) {
        if self.runs_for(cause) {
            self.end();
        }
    }

    /// Aborts the search, whatever its cause.
    pub(super) fn end(&mut self) {
        self.cause = None;
        self.running.abort_all();
        self.running.detach_all();
    }

    /// Waits for a control VM that is in contact with a majority; forever if no search runs.
    pub(super) async fn found(&mut self) -> (VmId, LinkStream) {
        loop {
            match self.running.join_next().await {
                Some(Ok(found)) => return found,
                // The task was aborted or panicked.
                Some(Err(_)) => {}
                None => std::future::pending().await,
            }
        }
    }
}
