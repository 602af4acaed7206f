//! The core loop, which passes events to the reducer.

use std::collections::BTreeMap;
use std::ops::ControlFlow;
use std::sync::Arc;
use std::time::Duration;

use chicory_dispatch::{
    Announcement, ConnectionId, Event, ExchangeFailure, Outcome, RelayFailure, RelayLoad,
    RequestPath,
};
use chicory_net::admin::Readiness;
use chicory_net::http::SendError;
use chicory_net::peer::{PeerEndpoint, RelayReader};
use chicory_telemetry::Metrics;
use chicory_trace::EventTrace;
use chicory_types::{Clock, MonoTime, RequestId, ZoneName};
use chicory_wire::proto::relay::RelayAnswerHead;
use hyper::Response;
use hyper::body::Incoming;
use slog::{Logger, info};
use tokio::sync::mpsc::{self, UnboundedReceiver};
use tokio::sync::oneshot;

use crate::admin::publish;
use crate::answer::{Answer, REFUSED_STOPPING};
use crate::exchange::{Attempt, Exchange};
use crate::inbox::Inbox;
use crate::input::{AnnounceReply, Input};
use crate::relay::outcome_from_wire;
use crate::server::{has_stated_length, refusal_of, request_id_echo};
use crate::server_link_entry::ServerLinkEntry;
use crate::started_answer::StartedAnswer;
use crate::zone::ZoneClient;

/// Maximum number of inputs that are handled before the due time of the next tick is checked again.
const MAX_BATCH: usize = 64;
/// Time between two updates of the metrics from the reducer's counters.
const PUBLISH_PERIOD: Duration = Duration::from_millis(250);

/// The parts that the core loop is created from.
pub(crate) struct CoreParts {
    pub(crate) path: RequestPath,
    pub(crate) clock: Arc<dyn Clock + Send + Sync>,
    pub(crate) inbox: Inbox,
    pub(crate) zone_name: ZoneName,
    pub(crate) zone: Arc<ZoneClient>,
    pub(crate) peers: PeerEndpoint,
    pub(crate) readiness: Readiness,
    pub(crate) trace: Box<dyn EventTrace<Event> + Send>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) logger: Logger,
    /// Held by tasks that must end before the process exits.
    pub(crate) task_guard: mpsc::Sender<()>,
}

/// The core loop of the process: passes events to the reducer and carries out its effects.
pub(crate) struct CoreLoop {
    pub(crate) parts: CoreParts,
    pub(crate) exchanges: BTreeMap<RequestId, Exchange>,
    pub(crate) links: BTreeMap<ConnectionId, ServerLinkEntry>,
    pub(crate) announcements: BTreeMap<u64, oneshot::Sender<AnnounceReply>>,
    /// Time at which the reducer handles the current event.
    pub(crate) now: MonoTime,
    next_announcement: u64,
    next_publish: MonoTime,
}

impl CoreLoop {
    pub(crate) fn new(parts: CoreParts) -> Self {
        Self {
            parts,
            exchanges: BTreeMap::new(),
            links: BTreeMap::new(),
            announcements: BTreeMap::new(),
            now: MonoTime::ZERO,
            next_announcement: 1,
            next_publish: MonoTime::ZERO,
        }
    }

    /// Runs until the reducer returns [`Effect::Stopped`](chicory_dispatch::Effect::Stopped).
    pub(crate) async fn run(mut self, mut inputs: UnboundedReceiver<Input>) {
        let mut batch = Vec::with_capacity(MAX_BATCH);
        loop {
            let wait = self.next_wait();
            tokio::select! {
                biased;
                _ = inputs.recv_many(&mut batch, MAX_BATCH) => {}
                () = tokio::time::sleep(wait) => {}
            }
            let mut flow = self.tick_if_due();
            for input in batch.drain(..) {
                if flow.is_continue() {
                    flow = self.handle_input(input);
                } else {
                    refuse_if_request(input);
                }
            }
            self.publish_if_due();
            if flow.is_break() {
                info!(self.parts.logger, "nothing is in flight, stopping");
                refuse_queued(inputs);
                return;
            }
        }
    }

    fn next_wait(&self) -> Duration {
        let due = self.parts.path.next_wakeup().min(self.next_publish);
        due.saturating_sub(self.parts.clock.now())
    }

    fn tick_if_due(&mut self) -> ControlFlow<()> {
        if self.parts.clock.now() < self.parts.path.next_wakeup() {
            return ControlFlow::Continue(());
        }
        self.reduce(Event::Tick)
    }

    fn publish_if_due(&mut self) {
        let now = self.parts.clock.now();
        if now < self.next_publish {
            return;
        }
        self.next_publish = now + PUBLISH_PERIOD;
        publish(&self.parts.metrics, self.parts.path.counters());
    }

    fn handle_input(&mut self, input: Input) -> ControlFlow<()> {
        match input {
            Input::Event(event) => self.handle_event(event),
            Input::Arrived(arrived) => {
                let (head, exchange) = *arrived;
                self.exchanges.insert(head.request, exchange);
                self.reduce(Event::RequestArrived(head))
            }
            Input::Announced {
                announcement,
                reply,
            } => self.announced(*announcement, reply),
            Input::Connected { connection, link } => self.connected(connection, link),
            Input::LinkClosed { connection } => self.link_closed(connection),
            Input::ServerAnswered { attempt, response } => self.server_answered(attempt, *response),
            Input::ServerFailed { attempt, error } => self.server_failed(attempt, &error),
            Input::RelayAnswered {
                attempt,
                head,
                reader,
            } => self.relay_answered(attempt, *head, reader),
            Input::RelayFailed {
                attempt,
                has_sent_nothing,
            } => self.relay_failed(attempt, has_sent_nothing),
            Input::AnswerFinished {
                request,
                connection,
                kept,
            } => self.answer_finished(request, connection, kept),
            Input::LinkReady {
                request,
                connection,
                kept,
                link,
            } => self.link_ready(request, connection, kept, link),
            Input::AnswerDrained {
                connection,
                is_complete,
            } => self.answer_drained(connection, is_complete),
        }
    }

    /// Passes an event to the reducer and carries out the effects that it returns.
    pub(crate) fn reduce(&mut self, event: Event) -> ControlFlow<()> {
        let now = self.parts.clock.now();
        self.now = now;
        self.parts.trace.record(now, &event);
        for effect in self.parts.path.reduce(now, event) {
            if self.carry_out(effect).is_break() {
                return ControlFlow::Break(());
            }
        }
        ControlFlow::Continue(())
    }

    fn handle_event(&mut self, event: Event) -> ControlFlow<()> {
        match &event {
            Event::RelayFinished { request } => {
                self.exchanges.remove(request);
            }
            Event::ExchangeFailed { request, .. } => self.drop_link(*request),
            Event::ConnectFailed { connection, .. } => {
                self.links.remove(connection);
            }
            _ => {}
        }
        self.reduce(event)
    }

    fn announced(
        &mut self,
        mut announcement: Announcement,
        reply: oneshot::Sender<AnnounceReply>,
    ) -> ControlFlow<()> {
        announcement.exchange = self.next_announcement;
        self.next_announcement += 1;
        self.announcements.insert(announcement.exchange, reply);
        self.reduce(Event::Announced(announcement))
    }

    fn server_answered(
        &mut self,
        attempt: Attempt,
        response: Response<Incoming>,
    ) -> ControlFlow<()> {
        let request = attempt.request;
        let Some(exchange) = current_exchange(&mut self.exchanges, attempt) else {
            return ControlFlow::Continue(());
        };
        let Some(written) = exchange.written else {
            return ControlFlow::Continue(());
        };
        if !has_stated_length(&response) {
            exchange.end_attempt();
            let failure = ExchangeFailure::Malformed;
            return self.reduce(Event::ExchangeFailed { request, failure });
        }
        let refusal = refusal_of(&response);
        let event = Event::AnswerStarted {
            request,
            status: response.status().as_u16(),
            echo: request_id_echo(&response, request),
            refusal,
        };
        exchange.started = Some(StartedAnswer::FromServer {
            connection: written.connection,
            response,
            outcome: refusal.map_or(Outcome::Ran, |_| Outcome::NotRun),
            keeps_answer: written.keeps_answer,
        });
        self.reduce(event)
    }

    fn server_failed(&mut self, attempt: Attempt, error: &SendError) -> ControlFlow<()> {
        let request = attempt.request;
        if current_exchange(&mut self.exchanges, attempt).is_none() {
            return ControlFlow::Continue(());
        }
        self.drop_link(request);
        if let Some(exchange) = self.exchanges.get_mut(&request) {
            exchange.end_attempt();
        }
        let failure = match error {
            SendError::NothingSent => ExchangeFailure::NothingSent,
            SendError::Broken => ExchangeFailure::BrokenBeforeAnswer,
            SendError::Malformed => ExchangeFailure::Malformed,
        };
        self.reduce(Event::ExchangeFailed { request, failure })
    }

    fn relay_answered(
        &mut self,
        attempt: Attempt,
        head: RelayAnswerHead,
        reader: RelayReader,
    ) -> ControlFlow<()> {
        let request = attempt.request;
        let Some(exchange) = current_exchange(&mut self.exchanges, attempt) else {
            return ControlFlow::Continue(());
        };
        if head.request != request {
            exchange.end_attempt();
            let failure = RelayFailure::BrokenBeforeAnswer;
            return self.reduce(Event::RelayFailed { request, failure });
        }
        let event = Event::RelayAnswered {
            request,
            outcome: outcome_from_wire(head.outcome),
            retry_after: head.retry_after_ms.map(Duration::from_millis),
            load: RelayLoad {
                outstanding: head.outstanding,
                expected_wait: Duration::from_micros(head.expected_wait_us),
            },
        };
        exchange.started = Some(StartedAnswer::FromRelay { head, reader });
        self.reduce(event)
    }

    fn relay_failed(&mut self, attempt: Attempt, has_sent_nothing: bool) -> ControlFlow<()> {
        let request = attempt.request;
        let Some(exchange) = current_exchange(&mut self.exchanges, attempt) else {
            return ControlFlow::Continue(());
        };
        exchange.end_attempt();
        let failure = if has_sent_nothing {
            RelayFailure::NothingSent
        } else {
            RelayFailure::BrokenBeforeAnswer
        };
        self.reduce(Event::RelayFailed { request, failure })
    }
}

/// Refuses the queued requests, which the reducer has not handled.
fn refuse_queued(mut inputs: UnboundedReceiver<Input>) {
    inputs.close();
    while let Ok(input) = inputs.try_recv() {
        refuse_if_request(input);
    }
}

fn refuse_if_request(input: Input) {
    if let Input::Arrived(mut arrived) = input
        && let Some(answer) = arrived.1.answer.take()
    {
        let _ = answer.send(Answer::Refused(REFUSED_STOPPING));
    }
}

/// Returns the exchange of an attempt, unless another attempt has begun since.
fn current_exchange(
    exchanges: &mut BTreeMap<RequestId, Exchange>,
    attempt: Attempt,
) -> Option<&mut Exchange> {
    let exchange = exchanges.get_mut(&attempt.request)?;
    (exchange.attempt == attempt.number).then_some(exchange)
}
