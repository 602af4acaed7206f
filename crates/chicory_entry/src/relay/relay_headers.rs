//! Converts headers and outcomes of relayed requests and answers to and from messages.

use chicory_dispatch::Outcome;
use chicory_wire::proto::relay;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};

/// Converts headers to a message.
pub(crate) fn headers_to_wire(headers: &HeaderMap) -> Vec<relay::Header> {
    headers
        .iter()
        .map(|(name, value)| relay::Header {
            name: name.as_str().to_owned(),
            value: value.as_bytes().to_vec(),
        })
        .collect()
}

/// Converts headers from a message; malformed ones are dropped.
pub(crate) fn headers_from_wire(headers: Vec<relay::Header>) -> HeaderMap {
    let mut map = HeaderMap::with_capacity(headers.len());
    for header in headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_maybe_shared(header.value)) {
            map.append(name, value);
        }
    }
    map
}

/// Converts an outcome to a message.
pub(crate) fn outcome_to_wire(outcome: Outcome) -> relay::Outcome {
    match outcome {
        Outcome::Ran => relay::Outcome::Ran,
        Outcome::NotRun => relay::Outcome::NotRun,
        Outcome::Unknown => relay::Outcome::Unknown,
    }
}

/// Converts an outcome from a message. A value that this version doesn't have is converted to
/// [`Outcome::Unknown`].
pub(crate) fn outcome_from_wire(outcome: i32) -> Outcome {
    match relay::Outcome::try_from(outcome) {
        Ok(relay::Outcome::Ran) => Outcome::Ran,
        Ok(relay::Outcome::NotRun) => Outcome::NotRun,
        Ok(relay::Outcome::Unknown) | Err(_) => Outcome::Unknown,
    }
}
