//! Relays requests to other entry processes.

use std::pin::pin;
use std::time::Duration;

use bytes::Bytes;
use chicory_net::http::{BodyError, BodySource, HttpBody};
use chicory_net::peer::{
    FrameError, PeerEndpoint, PeerError, RelayReader, RelayStream, RelayWriter,
};
use chicory_types::ZoneName;
use chicory_wire::proto::relay::{RelayAnswerHead, RelayRequestHead};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame};

use crate::exchange::{Attempt, ForwardedHead};
use crate::inbox::Inbox;
use crate::input::Input;
use crate::relay::headers_to_wire;

/// The parameters that the reducer adds to a relayed request.
#[derive(Clone, Debug)]
pub(crate) struct RelayParams {
    pub(crate) attempt: Attempt,
    pub(crate) address: String,
    pub(crate) hops: u8,
    pub(crate) deadline: Duration,
    pub(crate) from_zone: ZoneName,
}

/// Why a relay failed before its answer.
enum Failure {
    NothingSent,
    Broken,
}

/// Relays a request and sends the head of the answer to the core loop.
pub(crate) async fn relay(
    endpoint: PeerEndpoint,
    head: RelayRequestHead,
    body: BodySource,
    params: RelayParams,
    inbox: Inbox,
) {
    let attempt = params.attempt;
    inbox.send(
        match exchange(&endpoint, head, body, &params.address).await {
            Ok((head, reader)) => Input::RelayAnswered {
                attempt,
                head: Box::new(head),
                reader,
            },
            Err(failure) => Input::RelayFailed {
                attempt,
                has_sent_nothing: matches!(failure, Failure::NothingSent),
            },
        },
    );
}

/// Builds the head of a relayed request.
pub(crate) fn request_head(
    head: &ForwardedHead,
    body: &BodySource,
    params: &RelayParams,
) -> RelayRequestHead {
    let is_in_memory = matches!(body, BodySource::Empty | BodySource::Full(_));
    RelayRequestHead {
        request: params.attempt.request,
        method: head.method.to_string(),
        path_and_query: head.path_and_query.clone(),
        headers: headers_to_wire(&head.headers),
        service: head.service.clone(),
        key: head.key.clone(),
        order_key: head.order_key.clone(),
        fingerprint: head.fingerprint,
        is_safe_method: head.is_safe_method,
        deadline_ms: u64::try_from(params.deadline.as_millis()).unwrap_or(u64::MAX),
        hops: params.hops.into(),
        from_zone: params.from_zone.clone(),
        has_body: !matches!(body, BodySource::Empty),
        is_replayable: is_in_memory,
    }
}

async fn exchange(
    endpoint: &PeerEndpoint,
    head: RelayRequestHead,
    body: BodySource,
    address: &str,
) -> Result<(RelayAnswerHead, RelayReader), Failure> {
    let stream = open(endpoint, address)
        .await
        .map_err(|_| Failure::NothingSent)?;
    let RelayStream {
        mut writer,
        mut reader,
    } = stream;
    let answered = {
        let mut sending = pin!(send(&mut writer, head, body));
        let mut answering = pin!(reader.answer_head());
        tokio::select! {
            biased;
            answered = answering.as_mut() => answered,
            sent = sending.as_mut() => match sent {
                Ok(()) => answering.await,
                Err(error) => Err(error),
            },
        }
    };
    match answered {
        Ok(head) => Ok((head, reader)),
        Err(_) => Err(Failure::Broken),
    }
}

async fn open(endpoint: &PeerEndpoint, address: &str) -> Result<RelayStream, PeerError> {
    endpoint.connect_to(address).await?.open_relay().await
}

async fn send(
    writer: &mut RelayWriter,
    head: RelayRequestHead,
    body: BodySource,
) -> Result<(), FrameError> {
    let has_body = head.has_body;
    writer.send_request_head(head).await?;
    if has_body {
        send_body(writer, HttpBody::new(body)).await?;
    }
    writer.end().await
}

/// Waits for the next frame of a body. If the frame isn't available at once, the buffered frames
/// are sent first.
async fn next_frame(
    writer: &mut RelayWriter,
    body: &mut HttpBody,
) -> Result<Option<Result<Frame<Bytes>, BodyError>>, FrameError> {
    tokio::select! {
        biased;
        frame = body.frame() => return Ok(frame),
        // Yields, because a connection delivers its body the next time its task is polled, usually
        // in one piece.
        () = tokio::task::yield_now() => {}
    }
    writer.flush().await?;
    Ok(body.frame().await)
}

/// Sends a body as fast as the other end receives it.
///
/// If the body fails, its end is not sent, so that the other end detects that it is incomplete.
pub(crate) async fn send_body(
    writer: &mut RelayWriter,
    mut body: HttpBody,
) -> Result<(), FrameError> {
    while !body.is_end_stream() {
        match next_frame(writer, &mut body).await? {
            None => break,
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    writer.send_chunk(data.into()).await?;
                }
            }
            Some(Err(_)) => {
                let expected = "a whole body";
                return Err(FrameError::Unexpected { expected });
            }
        }
    }
    Ok(())
}
