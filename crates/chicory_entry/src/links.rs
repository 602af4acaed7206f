//! How the loop keeps connections to backend servers.

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
use crate::server::says_reusable;

/// Longest body that is read only to use its connection again.
const MAX_DRAINED_BYTES: usize = 64 * 1024;
/// How long that may take.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(200);

impl CoreLoop {
    /// A connection is open.
    pub(crate) fn connected(
        &mut self,
        connection: ConnectionId,
        link: ServerLink,
    ) -> ControlFlow<()> {
        // Without an entry it was closed meanwhile: dropped here, it tells so by itself.
        let Some(entry) = self.links.get_mut(&connection) else {
            return ControlFlow::Continue(());
        };
        entry.link = Some(link);
        self.reduce(Event::Connected { connection })
    }

    /// A connection has ended, from whichever side.
    pub(crate) fn link_closed(&mut self, connection: ConnectionId) -> ControlFlow<()> {
        if let Some(entry) = self.links.get_mut(&connection)
            && entry.running.is_some()
        {
            // The exchange on it fails or finishes by itself.
            entry.is_closed = true;
            return ControlFlow::Continue(());
        }
        self.links.remove(&connection);
        self.reduce(Event::ConnectionClosed { connection })
    }

    /// An answer was passed on to its end.
    pub(crate) fn answer_finished(
        &mut self,
        request: RequestId,
        connection: ConnectionId,
        kept: Option<StoredAnswer>,
    ) -> ControlFlow<()> {
        self.exchanges.remove(&request);
        let Some(entry) = self.links.get_mut(&connection) else {
            return self.finish(request, kept, false);
        };
        if entry.is_closed || !entry.says_reusable {
            return self.finish(request, kept, false);
        }
        match entry.link.take() {
            Some(link) if link.is_ready() => {
                entry.link = Some(link);
                entry.running = None;
                self.finish(request, kept, true)
            }
            Some(link) => {
                self.await_ready(request, connection, kept, link);
                ControlFlow::Continue(())
            }
            None => self.finish(request, kept, false),
        }
    }

    /// A connection takes another request, or never will.
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
        self.finish(request, kept, is_reusable)
    }

    /// Reads an answer that nobody wants, so that its connection can be used again.
    pub(crate) fn drain(&mut self, connection: ConnectionId, response: Response<Incoming>) {
        if !says_reusable(&response) {
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

    /// An answer that nobody wants was read to its end, or not.
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
            // Dropped here, it tells of its end by itself.
            self.links.remove(&connection);
            return ControlFlow::Continue(());
        }
        self.reduce(Event::Connected { connection })
    }

    /// Closes a connection; that it is closed is told once it is.
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

    /// Drops the connection of an exchange that failed, which the reducer has forgotten.
    pub(crate) fn forget_link(&mut self, request: RequestId) {
        let exchange = self.exchanges.get(&request);
        if let Some(written) = exchange.and_then(|exchange| exchange.written) {
            self.links.remove(&written.connection);
        }
    }

    fn finish(
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

    /// The answer is complete before its connection has noticed; a request sent now would fail.
    fn await_ready(
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
