//! The reducer of the request path.

use chicory_types::MonoTime;

use crate::path_state::PathState;
use crate::run_state::RunState;
use crate::steps::{
    announcements, arrivals, connections, exchanges, health, orders, relays, renewals, roles, sweep,
};
use crate::view::Directory;
use crate::{Counters, Effect, Event, RequestPathConfig};

/// The reducer of the request path, which handles events and returns effects.
///
/// It does no I/O, reads no clock and derives all randomness from its seed, so the same events at
/// the same times produce the same effects.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use chicory_dispatch::{Effect, Event, RequestPath, RequestPathConfig};
///
/// let config = RequestPathConfig::builder("entry-1", "vake-hall").build();
/// let mut path = RequestPath::new(config, Duration::ZERO);
/// let effects = path.reduce(Duration::ZERO, Event::Tick);
/// assert!(matches!(effects.as_slice(), [Effect::Renew { .. }]));
/// assert!(!path.is_ready());
/// ```
pub struct RequestPath {
    state: PathState,
}

impl RequestPath {
    /// Creates a request path without a lease and without a view.
    #[must_use]
    pub fn new(config: RequestPathConfig, now: MonoTime) -> Self {
        Self {
            state: PathState::new(config, now),
        }
    }

    /// Handles an event and returns the effects to carry out, in order.
    pub fn reduce(&mut self, now: MonoTime, event: Event) -> Vec<Effect> {
        let state = &mut self.state;
        state.now = now.max(state.now);
        if state.lease.end_if_over(state.now) {
            roles::on_lease_end(state);
        }
        apply(state, event);
        sweep::advance(state);
        emit_changes(state);
        std::mem::take(&mut state.effects)
    }

    /// Returns the time at which [`Event::Tick`] has to be sent at the latest.
    #[must_use]
    pub fn next_wakeup(&self) -> MonoTime {
        sweep::next_wakeup(&self.state)
    }

    /// Returns whether the balancer may send new requests to this process.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.state.is_ready()
    }

    /// Returns the counters.
    #[must_use]
    pub fn counters(&self) -> &Counters {
        &self.state.counters
    }

    /// Returns the view of the zone.
    #[must_use]
    pub fn directory(&self) -> &Directory {
        &self.state.directory
    }

    /// Returns the number of requests that have no final answer yet or whose answer is being
    /// forwarded.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        self.state.requests.len()
    }
}

fn apply(state: &mut PathState, event: Event) {
    match event {
        Event::Tick => {}
        Event::RequestArrived(head) => arrivals::on_arrived(state, head),
        Event::CallerGone { request } => arrivals::on_caller_gone(state, request),
        Event::Announced(announcement) => announcements::on_announced(state, &announcement),
        Event::RenewAnswered {
            sent_at,
            from,
            answer,
        } => renewals::on_answered(state, sent_at, from, answer),
        Event::RenewFailed => state.lease.renewal_failed(state.now),
        Event::ClaimAnswered { request, answer } => orders::on_answered(state, request, answer),
        Event::ClaimFailed { request } => orders::on_failed(state, request),
        Event::Probed { server, result } => health::on_probed(state, &server, result),
        Event::StopRequested => stop(state),
        other => apply_exchange(state, other),
    }
}

/// Handles the events of connections, exchanges and relays.
fn apply_exchange(state: &mut PathState, event: Event) {
    match event {
        Event::Connected { connection } => connections::on_connected(state, connection),
        Event::ConnectFailed { connection, .. } => {
            connections::on_connect_failed(state, connection);
        }
        Event::ConnectionClosed { connection } => connections::on_closed(state, connection),
        Event::RequestProgressed { request } => exchanges::on_progressed(state, request, false),
        Event::AnswerProgressed { request } => exchanges::on_progressed(state, request, true),
        Event::AnswerStarted {
            request,
            status,
            echo,
            refusal,
        } => exchanges::on_answer_started(state, request, status, echo, refusal),
        Event::AnswerFinished {
            request,
            kept,
            is_reusable,
        } => exchanges::on_finished(state, request, kept, is_reusable),
        Event::ExchangeFailed { request, failure } => exchanges::on_failed(state, request, failure),
        Event::RelayAnswered {
            request,
            outcome,
            retry_after,
            load,
        } => relays::on_answered(state, request, outcome, retry_after, load),
        Event::RelayFinished { request } => relays::on_finished(state, request),
        Event::RelayFailed { request, failure } => relays::on_failed(state, request, failure),
        _ => {}
    }
}

/// Starts a planned stop: the process becomes unready and finishes the accepted requests.
fn stop(state: &mut PathState) {
    if !state.is_running() {
        return;
    }
    state.run_state = RunState::Stopping(state.now);
    for server in state.servers.values_mut() {
        server.is_resigning = true;
    }
    state.has_resigning_roles = true;
    state.lease.renew_soon(state.now);
}

/// Emits the effects that follow from the new state: resignations, a due renewal, a change of
/// readiness, and the end of a stop.
fn emit_changes(state: &mut PathState) {
    roles::resign_idle(state);
    renewals::send_if_due(state);
    let is_ready = state.is_ready();
    if is_ready != state.was_ready {
        state.was_ready = is_ready;
        state.emit(Effect::SetReady { is_ready });
    }
    if let RunState::Stopping(since) = state.run_state
        && state.may_exit(since)
    {
        state.run_state = RunState::Stopped;
        state.emit(Effect::Stopped);
    }
}
