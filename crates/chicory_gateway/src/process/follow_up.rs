//! Opens a connection to a server that can follow an attempt which lasts too long.

use std::io::ErrorKind;

use chicory_net::http::{LinkError, ServerLink};
use chicory_ranges::ServerIncarnation;

use super::GatewayMetric;
use super::shared_state::SharedState;
use crate::{AttemptOutcome, FollowUp, FollowUpStep, RequestTicket, Target};

/// Number of servers to which a connection is tried.
const MAX_TRIES: usize = 2;

/// Result of a search for a server that can follow.
pub(super) enum FollowUpSearch {
    /// A connection to this server is open, and a retry was taken.
    Found(ServerIncarnation),
    /// No other server can take the request now.
    NotFound,
    /// The attempt is to be abandoned without one.
    NotNeeded,
}

/// Looks for a server that can follow, and leaves an open connection to it in the pool, which may
/// carry the request with this id.
pub(super) async fn search(
    shared: &SharedState,
    ticket: &RequestTicket,
    target: &Target,
    id: Option<&str>,
) -> FollowUpSearch {
    let mut failed = Vec::new();
    while failed.len() < MAX_TRIES {
        let step = {
            let mut gateway = shared.gateway();
            gateway.follow_up_step(shared.now(), ticket, target, &failed)
        };
        let next = match step {
            FollowUpStep::Connect(next) => next,
            FollowUpStep::Continue => return FollowUpSearch::NotFound,
            FollowUpStep::Abandon => return FollowUpSearch::NotNeeded,
        };
        match ensure_connection(shared, target, &next, id).await {
            Ok(()) => {
                let now = shared.now();
                if shared.gateway().take_follow_up_retry(now, ticket) {
                    return FollowUpSearch::Found(next.incarnation);
                }
                return FollowUpSearch::NotFound;
            }
            Err(outcome) => {
                let now = shared.now();
                let mut gateway = shared.gateway();
                gateway.record_failed_follow_up(now, &next.incarnation, outcome);
                failed.push(next.incarnation);
            }
        }
    }
    FollowUpSearch::NotFound
}

/// Opens a connection to the server, unless one is open that could carry the request.
async fn ensure_connection(
    shared: &SharedState,
    target: &Target,
    next: &FollowUp,
    id: Option<&str>,
) -> Result<(), AttemptOutcome> {
    let server = &next.incarnation;
    if shared
        .pool
        .has_usable(shared.now(), server, target.max_idle, id)
    {
        return Ok(());
    }
    let link = connect(shared, next).await?;
    shared.pool.put(shared.now(), server, link, None);
    Ok(())
}

async fn connect(shared: &SharedState, next: &FollowUp) -> Result<ServerLink, AttemptOutcome> {
    shared.metrics.increment(GatewayMetric::Connections);
    let address = next.address.to_string();
    let opened = ServerLink::open(&address, next.connect_timeout, || {}).await;
    let link = opened.map_err(|failure| connect_outcome(&failure))?;
    tokio::time::sleep(next.settle_time).await;
    if !link.is_ready() {
        return Err(AttemptOutcome::ConnectionRejected);
    }
    Ok(link)
}

/// Returns the outcome of an attempt whose connection could not be opened.
pub(super) fn connect_outcome(failure: &LinkError) -> AttemptOutcome {
    match failure {
        LinkError::Refused => AttemptOutcome::Refused,
        LinkError::Network { source } if source.kind() == ErrorKind::ConnectionReset => {
            AttemptOutcome::ConnectionRejected
        }
        _ => AttemptOutcome::Unreachable,
    }
}
