//! Manages the connections to backend servers.

use std::ops::ControlFlow;
use std::time::Duration;

use chicory_dispatch::{ConnectionId, Event};
use chicory_net::http::ServerLink;
use chicory_ownership::StoredAnswer;
use chicory_types::RequestId;
use http_body_util::{BodyExt, Limited};
use hyper::Response;
use hyper::body::Incoming;

use crate::core_loop::CoreLoop;
use crate::input::Input;
use crate::server::allows_reuse;

/// Maximum size of a discarded body that is read to its end in order to reuse its connection.
const MAX_DRAINED_BYTES: usize = 64 * 1024;
/// How long reading a discarded body may take.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(200);

impl CoreLoop {
    /// Handles a connection that was opened.
    pub(crate) fn connected(
        &mut self,
        connection: ConnectionId,
        link: ServerLink,
    ) -> ControlFlow<()> {
        // Without an entry, the connection was closed in the meantime. Dropping the link here
        // closes it, which sends `Input::LinkClosed`.
        let Some(entry) = self.links.get_mut(&connection) else {
            return ControlFlow::Continue(());
        };
        entry.link = Some(link);
        self.reduce(Event::Connected { connection })
    }

    /// Handles a connection that has ended, no matter which side closed it.
    pub(crate) fn link_closed(&mut self, connection: ConnectionId) -> ControlFlow<()> {
        if let Some(entry) = self.links.get_mut(&connection)
            && entry.running.is_some()
        {
            // The exchange in flight fails or finishes, and the end of the connection is handled
            // then.
            entry.is_closed = true;
            return ControlFlow::Continue(());
        }
        self.links.remove(&connection);
        self.reduce(Event::ConnectionClosed { connection })
    }

    /// Handles an answer that was forwarded completely.
    pub(crate) fn answer_finished(
        &mut self,
        request: RequestId,
        connection: ConnectionId,
        kept: Option<StoredAnswer>,
    ) -> ControlFlow<()> {
        self.exchanges.remove(&request);
        let Some(entry) = self.links.get_mut(&connection) else {
            return self.reduce_finished_answer(request, kept, false);
        };
        if entry.is_closed || !entry.allows_reuse {
            return self.reduce_finished_answer(request, kept, false);
        }
        match entry.link.take() {
            Some(link) if link.is_ready() => {
                entry.link = Some(link);
                entry.running = None;
                self.reduce_finished_answer(request, kept, true)
            }
            Some(link) => {
                self.send_link_when_ready(request, connection, kept, link);
                ControlFlow::Continue(())
            }
            None => self.reduce_finished_answer(request, kept, false),
        }
    }

    /// Handles a connection that became ready for another request, or can't be reused.
    pub(crate) fn link_ready(
        &mut self,
        request: RequestId,
        connection: ConnectionId,
        kept: Option<StoredAnswer>,
        link: Option<ServerLink>,
    ) -> ControlFlow<()> {
        let is_reusable = link.is_some();
        if let Some(entry) = self.links.get_mut(&connection) {
            entry.link = link;
            if is_reusable {
                entry.running = None;
            }
        }
        self.reduce_finished_answer(request, kept, is_reusable)
    }

    /// Reads a discarded answer to its end, so that its connection can be reused.
    pub(crate) fn drain(&mut self, connection: ConnectionId, response: Response<Incoming>) {
        if !allows_reuse(&response) {
            self.links.remove(&connection);
            return;
        }
        let inbox = self.parts.inbox.clone();
        tokio::spawn(async move {
            let body = Limited::new(response.into_body(), MAX_DRAINED_BYTES);
            let drained = tokio::time::timeout(DRAIN_TIMEOUT, body.collect()).await;
            inbox.send(Input::AnswerDrained {
                connection,
                is_complete: matches!(drained, Ok(Ok(_))),
            });
        });
    }

    /// Handles the end of reading a discarded answer, which was read completely or not.
    pub(crate) fn answer_drained(
        &mut self,
        connection: ConnectionId,
        is_complete: bool,
    ) -> ControlFlow<()> {
        let Some(entry) = self.links.get_mut(&connection) else {
            return ControlFlow::Continue(());
        };
        entry.running = None;
        if entry.is_closed {
            return self.link_closed(connection);
        }
        if !is_complete {
            // Dropping the link closes the connection, which sends `Input::LinkClosed`.
            self.links.remove(&connection);
            return ControlFlow::Continue(());
        }
        self.reduce(Event::Connected { connection })
    }

    /// Closes a connection. [`Event::ConnectionClosed`] follows once it has ended.
    pub(crate) fn close(&mut self, connection: ConnectionId) {
        let Some(entry) = self.links.remove(&connection) else {
            return;
        };
        if entry.is_closed {
            let closed = Event::ConnectionClosed { connection };
            self.parts.inbox.send_event(closed);
        }
        let Some(attempt) = entry.running else {
            return;
        };
        if let Some(exchange) = self.exchanges.get_mut(&attempt.request)
            && exchange.attempt == attempt.number
            && !exchange.is_forwarding()
        {
            exchange.end_attempt();
        }
    }

    /// Drops the connection of a failed exchange, which the reducer no longer tracks.
    pub(crate) fn drop_link(&mut self, request: RequestId) {
        let exchange = self.exchanges.get(&request);
        if let Some(written) = exchange.and_then(|exchange| exchange.written) {
            self.links.remove(&written.connection);
        }
    }

    fn reduce_finished_answer(
        &mut self,
        request: RequestId,
        kept: Option<StoredAnswer>,
        is_reusable: bool,
    ) -> ControlFlow<()> {
        self.reduce(Event::AnswerFinished {
            request,
            kept,
            is_reusable,
        })
    }

    /// Waits until a connection is ready for another request, and then sends [`Input::LinkReady`].
    ///
    /// An answer can be complete before its connection has processed its end. A request sent on the
    /// connection before then would fail.
    fn send_link_when_ready(
        &self,
        request: RequestId,
        connection: ConnectionId,
        kept: Option<StoredAnswer>,
        mut link: ServerLink,
    ) {
        let inbox = self.parts.inbox.clone();
        tokio::spawn(async move {
            let is_ready = link.ready().await;
            inbox.send(Input::LinkReady {
                request,
                connection,
                kept,
                link: is_ready.then_some(link),
            });
        });
    }
}
