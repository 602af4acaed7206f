//! Sends requests to backend servers.

use chicory_dispatch::ConnectionId;
use chicory_net::http::SendError;

use crate::core_loop::CoreLoop;
use crate::exchange::{Attempt, Written};
use crate::input::Input;
use crate::server::{WriteParams, server_request};

impl CoreLoop {
    /// Sends a request on a connection.
    ///
    /// The request is sent within this call, because the reducer has just checked the lease; see
    /// [`Effect::Write`](chicory_dispatch::Effect::Write).
    pub(crate) fn write(
        &mut self,
        connection: ConnectionId,
        params: WriteParams,
        keeps_answer: bool,
    ) {
        let request = params.request;
        let Some(exchange) = self.exchanges.get_mut(&request) else {
            return;
        };
        exchange.end_attempt();
        let attempt = Attempt {
            request,
            number: exchange.attempt,
        };
        let inbox = self.parts.inbox.clone();
        let entry = self.links.get_mut(&connection);
        let Some((entry, link)) = entry.and_then(|entry| {
            let link = entry.link.take()?;
            Some((entry, link))
        }) else {
            let error = SendError::NothingSent;
            inbox.send(Input::ServerFailed { attempt, error });
            return;
        };
        let link = entry.link.insert(link);
        let Some(body) = exchange.body.take() else {
            // A streamed body can be sent only once. The first attempt may have sent a part of it.
            let error = SendError::Broken;
            inbox.send(Input::ServerFailed { attempt, error });
            return;
        };
        let outgoing = server_request(&exchange.head, body, &entry.address, params, inbox.clone());
        let sent = link.send(outgoing);
        entry.running = Some(attempt);
        exchange.written = Some(Written {
            connection,
            keeps_answer,
        });
        let task = tokio::spawn(async move {
            inbox.send(match sent.await {
                Ok(response) => Input::ServerAnswered {
                    attempt,
                    response: Box::new(response),
                },
                Err(error) => Input::ServerFailed { attempt, error },
            });
        });
        exchange.answer_task = Some(task.abort_handle());
    }
}
