//! Bodies that come in over a relay.

use chicory_net::http::{BodyError, BodySource};
use chicory_net::peer::{BodyPart, RelayReader};
use tokio::sync::mpsc;

/// Parts that may wait between the relay and whoever takes the body.
const PARTS_IN_BETWEEN: usize = 4;

/// Starts to read a body from a relay, at the pace at which it is taken.
pub(crate) fn relayed_body(mut reader: RelayReader, remaining_bytes: Option<u64>) -> BodySource {
    let (sender, parts) = mpsc::channel(PARTS_IN_BETWEEN);
    tokio::spawn(async move {
        loop {
            let part = reader.next_part().await;
            let is_last = !matches!(part, Ok(BodyPart::Chunk(_)));
            let part = part.map_err(|source| BodyError::Relay { source });
            if sender.send(part).await.is_err() || is_last {
                return;
            }
        }
    });
    BodySource::Parts {
        parts,
        remaining_bytes,
    }
}
