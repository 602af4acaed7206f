//! How a relay to another entry process begins.

use std::time::Duration;

use chicory_types::{RequestId, VmId};

use crate::Effect;
use crate::path_state::PathState;
use crate::request::{Phase, RelayLeg, RequestState};
use crate::view::ServerIndex;

/// Longest time by which a relay's deadline is shorter, so that the far end can say first what
/// became of the request.
const MAX_DEADLINE_MARGIN: Duration = Duration::from_millis(10);
/// Share of the time left that this margin may take.
const MARGIN_SHARE: u32 = 10;
/// Sends a request that was taken out to another entry process.
pub(crate) fn send(
    state: &mut PathState,
    id: RequestId,
    mut request: Box<RequestState>,
    vm: VmId,
    address: String,
    server: Option<ServerIndex>,
) {
    let left = state.left(&request);
    let margin = (left / MARGIN_SHARE).min(MAX_DEADLINE_MARGIN);
    let deadline = left.saturating_sub(margin);
    let hops = request.hops() + 1;
    request.tries += 1;
    request.is_sent = true;
    request.phase = Phase::Relayed(RelayLeg {
        vm: vm.clone(),
        server,
        is_forwarding: false,
    });
    if let Some(seen) = server.and_then(|index| state.observations.get_mut(index)) {
        seen.relayed += 1;
    }
    state.put(id, request);
    state.counters.relays += 1;
    state.emit(Effect::Relay {
        request: id,
        to: vm,
        address,
        hops,
        deadline,
    });
}
