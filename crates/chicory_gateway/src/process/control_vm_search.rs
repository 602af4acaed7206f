//! Looks for a control VM that can be reached.

use std::net::SocketAddr;
use std::time::Duration;

use chicory_link::{LinkError, LinkStream, dial};
use chicory_types::VmId;
use slog::{Logger, warn};
use tokio::task::JoinSet;

/// Pause between two rounds of dials: a cut that ends is noticed within this time and that of a
/// dial.
const SEARCH_PAUSE: Duration = Duration::from_millis(100);

/// Dials all targets at once and takes the first that answers: one that is cut off costs no time
/// then.
///
/// # Errors
///
/// [`LinkError`] of one of the targets when none answers.
pub(super) async fn dial_any(
    targets: &[VmId],
    logger: &Logger,
) -> Result<(VmId, LinkStream), LinkError> {
    let mut dials = JoinSet::new();
    for vm in targets {
        let address: SocketAddr = vm.parse().map_err(|_| LinkError::Content)?;
        let vm = vm.clone();
        dials.spawn(async move { (vm, dial(address).await) });
    }
    let mut failure = LinkError::DialTimeout;
    while let Some(dialled) = dials.join_next().await {
        match dialled {
            Ok((vm, Ok(stream))) => return Ok((vm, stream)),
            Ok((_, Err(error))) => failure = error,
            Err(error) => warn!(logger, "dial ended early"; "error" => %error),
        }
    }
    Err(failure)
}

/// Looks for a control VM beside the one that is followed, for as long as it is wanted.
#[derive(Default)]
pub(super) struct ControlVmSearch {
    /// The one search that runs, if any; it ends with this.
    running: JoinSet<(VmId, LinkStream)>,
}

impl ControlVmSearch {
    /// Begins to look among `targets`, unless a search runs already.
    pub(super) fn begin(&mut self, targets: Vec<VmId>, logger: &Logger) {
        if !self.running.is_empty() || targets.is_empty() {
            return;
        }
        let logger = logger.clone();
        self.running.spawn(async move {
            loop {
                if let Ok(found) = dial_any(&targets, &logger).await {
                    return found;
                }
                tokio::time::sleep(SEARCH_PAUSE).await;
            }
        });
    }

    /// Gives the search up.
    pub(super) fn end(&mut self) {
        self.running.abort_all();
        self.running.detach_all();
    }

    /// Waits for a control VM that answers; for ever where no search runs.
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
