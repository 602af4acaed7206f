//! The start of a relay to another entry process.

use std::time::Duration;

use chicory_types::{RequestId, VmId};

use crate::Effect;
use crate::path_state::PathState;
use crate::request::{Phase, RelayExchange, RequestState};
use crate::view::ServerIndex;

/// Maximum margin by which the deadline of a relay is shorter than that of the request, so that the
/// other process can report the outcome before the deadline passes here.
const MAX_DEADLINE_MARGIN: Duration = Duration::from_millis(10);
/// The margin is at most the time left divided by this value.
const MARGIN_SHARE: u32 = 10;

/// Relays a request to another entry process.
///
/// `request` must have been removed from the state.
pub(crate) fn send(
    state: &mut PathState,
    id: RequestId,
    mut request: Box<RequestState>,
    vm: VmId,
    address: String,
    server: Option<ServerIndex>,
) {
    let left = state.time_left(&request);
    let margin = (left / MARGIN_SHARE).min(MAX_DEADLINE_MARGIN);
    let deadline = left.saturating_sub(margin);
    let hops = request.hops() + 1;
    request.tries += 1;
    request.is_sent = true;
    request.phase = Phase::Relayed(RelayExchange {
        vm: vm.clone(),
        server,
        is_forwarding: false,
    });
    if let Some(observation) = server.and_then(|index| state.observations.get_mut(index)) {
        observation.relayed += 1;
    }
    state.put_request(id, request);
    state.counters.relays += 1;
    state.emit(Effect::Relay {
        request: id,
        to: vm,
        address,
        hops,
        deadline,
    });
}
