//! Parses the heads of callers' requests.

use std::time::Duration;

use chicory_types::{OrderKey, ServiceName};
use hyper::header::{HeaderMap, HeaderName};
use hyper::http::request::Parts;

use crate::caller::HeadFault;
use crate::caller::headers::{CHICORY_DEADLINE_MS, CHICORY_KEY, CHICORY_SERVICE, IDEMPOTENCY_KEY};

/// Maximum length of a service name, in bytes.
const MAX_SERVICE_BYTES: usize = 64;
/// Maximum length of a key, in bytes.
const MAX_KEY_BYTES: usize = 512;
/// Maximum length of an order key, in bytes.
const MAX_ORDER_KEY_BYTES: usize = 256;
/// Longest deadline that a caller may set, in milliseconds.
const MAX_DEADLINE_MS: u64 = 3_600_000;

/// The routing fields of a caller's request head: where the request goes and how long it may take.
///
/// # Examples
///
/// ```
/// use chicory_entry::CallerHead;
/// use hyper::Request;
///
/// let request = Request::get("/archive/horn%2012/latest").body(())?;
/// let (parts, ()) = request.into_parts();
/// let head = CallerHead::parse(&parts)?;
/// assert_eq!(head.service, "archive");
/// assert_eq!(head.key.as_deref(), Some("horn 12"));
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerHead {
    /// Value of `Chicory-Service`, or the first path segment if there is no such header.
    pub service: ServiceName,
    /// Value of `Chicory-Key`, or the second path segment if there is no such header.
    pub key: Option<String>,
    /// Value of `Idempotency-Key`.
    pub order_key: Option<OrderKey>,
    /// Value of `Chicory-Deadline-Ms`.
    pub deadline: Option<Duration>,
    /// Whether the method is safe, so that the request may run more than once.
    pub is_safe_method: bool,
}

impl CallerHead {
    /// Parses the head of a request.
    ///
    /// # Errors
    ///
    /// Fails if the service is missing, or the service, a key or the deadline is malformed.
    pub fn parse(parts: &Parts) -> Result<Self, HeadFault> {
        let mut segments = parts.uri.path().split('/').skip(1);
        let service_segment = segments.next().unwrap_or_default();
        let key_segment = segments.next().unwrap_or_default();
        Ok(Self {
            service: parse_service(&parts.headers, service_segment)?,
            key: parse_key(&parts.headers, key_segment)?,
            order_key: parse_order_key(&parts.headers)?,
            deadline: parse_deadline(&parts.headers)?,
            is_safe_method: parts.method.is_safe(),
        })
    }
}

fn parse_service(headers: &HeaderMap, segment: &str) -> Result<ServiceName, HeadFault> {
    let name = match single_value(headers, &CHICORY_SERVICE, HeadFault::MalformedService)? {
        Some(name) => name,
        None if segment.is_empty() => return Err(HeadFault::MissingService),
        None => segment,
    };
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || ".-_".contains(c);
    let is_valid = (1..=MAX_SERVICE_BYTES).contains(&name.len()) && name.chars().all(is_allowed);
    if is_valid {
        Ok(name.to_owned())
    } else {
        Err(HeadFault::MalformedService)
    }
}

fn parse_key(headers: &HeaderMap, segment: &str) -> Result<Option<String>, HeadFault> {
    let stated = match headers.get(&CHICORY_KEY) {
        Some(value) => std::str::from_utf8(value.as_bytes())
            .map_err(|_| HeadFault::MalformedKey)?
            .to_owned(),
        None if segment.is_empty() => return Ok(None),
        None => percent_decoded(segment).ok_or(HeadFault::MalformedKey)?,
    };
    if (1..=MAX_KEY_BYTES).contains(&stated.len()) {
        Ok(Some(stated))
    } else {
        Err(HeadFault::MalformedKey)
    }
}

fn parse_order_key(headers: &HeaderMap) -> Result<Option<OrderKey>, HeadFault> {
    let key = single_value(headers, &IDEMPOTENCY_KEY, HeadFault::MalformedOrderKey)?;
    let Some(key) = key else {
        return Ok(None);
    };
    let is_valid = (1..=MAX_ORDER_KEY_BYTES).contains(&key.len())
        && key.bytes().all(|byte| byte.is_ascii_graphic());
    if is_valid {
        Ok(Some(key.to_owned()))
    } else {
        Err(HeadFault::MalformedOrderKey)
    }
}

fn parse_deadline(headers: &HeaderMap) -> Result<Option<Duration>, HeadFault> {
    let Some(ms) = single_value(headers, &CHICORY_DEADLINE_MS, HeadFault::MalformedDeadline)?
    else {
        return Ok(None);
    };
    match ms.parse() {
        Ok(ms @ 1..=MAX_DEADLINE_MS) => Ok(Some(Duration::from_millis(ms))),
        _ => Err(HeadFault::MalformedDeadline),
    }
}

/// Returns the value of a header. A second value and bytes other than visible ASCII are faults.
fn single_value<'a>(
    headers: &'a HeaderMap,
    name: &HeaderName,
    fault: HeadFault,
) -> Result<Option<&'a str>, HeadFault> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(fault);
    }
    value.to_str().map(Some).map_err(|_| fault)
}

fn percent_decoded(segment: &str) -> Option<String> {
    if !segment.contains('%') {
        return Some(segment.to_owned());
    }
    let mut decoded = Vec::with_capacity(segment.len());
    let mut bytes = segment.bytes();
    while let Some(byte) = bytes.next() {
        if byte == b'%' {
            let high = hex_digit(bytes.next()?)?;
            let low = hex_digit(bytes.next()?)?;
            decoded.push(high * 16 + low);
        } else {
            decoded.push(byte);
        }
    }
    String::from_utf8(decoded).ok()
}

fn hex_digit(byte: u8) -> Option<u8> {
    let digit = char::from(byte).to_digit(16)?;
    u8::try_from(digit).ok()
}
