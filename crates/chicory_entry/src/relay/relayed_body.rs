//! Bodies that are received over a relay.

use chicory_net::http::{BodyError, BodySource};
use chicory_net::peer::{BodyPart, RelayReader};
use tokio::sync::mpsc;

/// Maximum number of received parts that wait to be read.
const MAX_WAITING_PARTS: usize = 4;

/// Starts to receive a body from a relay, as fast as it is read from the returned source.
pub(crate) fn relayed_body(mut reader: RelayReader, remaining_bytes: Option<u64>) -> BodySource {
    let (sender, parts) = mpsc::channel(MAX_WAITING_PARTS);
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
