//! Looks for a control VM beside the one that is followed.

use std::time::Duration;

use chicory_link::{Backoff, LinkStream};
use chicory_types::VmId;
use tokio::task::JoinSet;

use super::entry_identity::EntryIdentity;
use super::search_cause::SearchCause;

/// Longest pause before the next control VM is tried: a cut that ends is noticed within this time and
/// that of a dial, while many entry VMs that search at once don't keep control VMs from an election.
const MAX_SEARCH_PAUSE: Duration = Duration::from_millis(400);

/// Looks for a control VM beside the one that is followed, for as long as it is wanted.
#[derive(Default)]
pub(super) struct ControlVmSearch {
    cause: Option<SearchCause>,
    targets: Vec<VmId>,
    /// The one search that runs, if any; it ends with this.
    running: JoinSet<(VmId, LinkStream)>,
}

impl ControlVmSearch {
    /// Begins to try `targets` in turn for one in contact with a majority, unless the same search runs
    /// already.
    pub(super) fn begin(&mut self, cause: SearchCause, entry: EntryIdentity, targets: Vec<VmId>) {
        let is_running = self.cause == Some(cause) && self.targets == targets;
        if is_running || targets.is_empty() {
            return;
        }
        self.end();
        self.cause = Some(cause);
        self.targets.clone_from(&targets);
        self.running.spawn(async move {
            let mut backoff = Backoff::default();
            let mut turns = targets.into_iter().cycle();
            let mut pauses = !cause.is_urgent();
            loop {
                if pauses {
                    tokio::time::sleep(backoff.next_pause().min(MAX_SEARCH_PAUSE)).await;
                }
                pauses = true;
                let Some(vm) = turns.next() else { continue };
                if let Ok(stream) = entry.open_in_contact(&vm, cause.patience()).await {
                    return (vm, stream);
                }
            }
        });
    }

    /// Whether a search runs for this cause.
    pub(super) fn runs_for(&self, cause: SearchCause) -> bool {
        self.cause == Some(cause)
    }

    /// Gives up a search for this cause.
    pub(super) fn end_for(&mut self, cause: SearchCause) {
        if self.runs_for(cause) {
            self.end();
        }
    }

    /// Gives up whatever is searched for.
    pub(super) fn end(&mut self) {
        self.cause = None;
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
