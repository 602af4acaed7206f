//! Headers that an entry VM adds to a request that another one is to relay.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use chicory_ranges::ServerIncarnation;
use chicory_types::{MonoTime, VmId};
use hyper::http::{HeaderMap, HeaderValue};
use snafu::{OptionExt, ensure};

use super::relay_head_error::{MalformedSnafu, MissingSnafu, RelayHeadError, UnknownVersionSnafu};
use crate::{RequestMetadata, Target};

/// Version of these headers.
const CURRENT_VERSION: u32 = 1;
/// Longest time that a header may state. It keeps sums of times far from overflows.
const MAX_DURATION: Duration = Duration::from_hours(24);

const VERSION: &str = "chicory-relay-version";
const FROM: &str = "chicory-relay-from";
const REQUEST: &str = "chicory-relay-request";
const SERVER: &str = "chicory-relay-server";
const STARTED_AT_MS: &str = "chicory-relay-started-at-ms";
const ADDRESS: &str = "chicory-relay-address";
const ATTEMPT_MS: &str = "chicory-relay-attempt-ms";
const CALLER_MS: &str = "chicory-relay-caller-ms";
const CONNECT_MS: &str = "chicory-relay-connect-ms";
const MAX_IDLE_MS: &str = "chicory-relay-max-idle-ms";
const SETTLE_MS: &str = "chicory-relay-settle-ms";

const ALL: [&str; 11] = [
    VERSION,
    FROM,
    REQUEST,
    SERVER,
    STARTED_AT_MS,
    ADDRESS,
    ATTEMPT_MS,
    CALLER_MS,
    CONNECT_MS,
    MAX_IDLE_MS,
    SETTLE_MS,
];

/// What an entry VM states about a request that another one is to relay.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayHead {
    /// Entry VM that the request comes from.
    pub from: VmId,
    /// Id of the request, which its answer repeats.
    pub request: Option<String>,
    /// Backend server that the request is for.
    pub server: ServerIncarnation,
    /// Address of the server.
    pub address: SocketAddr,
    /// Time until the attempt is abandoned.
    pub attempt_time: Duration,
    /// Time for which the caller still waits.
    pub caller_time: Duration,
    /// Longest time to open a new connection to the server.
    pub connect_timeout: Duration,
    /// Longest idle time of a pooled connection that may carry the request.
    pub max_idle: Duration,
    /// Time to wait on a new connection before anything is sent on it.
    pub settle_time: Duration,
}

impl RelayHead {
    /// Returns what the caller has stated about the request, as far as the headers tell it.
    pub(super) fn metadata(&self) -> RequestMetadata {
        RequestMetadata {
            attempt_id: self.request.clone(),
            time_left: Some(self.caller_time),
            key: None,
        }
    }

    /// Returns the target of the request for the entry VM that relays it.
    pub(super) fn target(&self, now: MonoTime) -> Target {
        Target {
            incarnation: self.server.clone(),
            address: self.address,
            attempt_deadline: now + self.attempt_time,
            can_be_followed: false,
            max_idle: self.max_idle,
            connect_timeout: self.connect_timeout,
            settle_time: self.settle_time,
            has_permit: false,
            relay: None,
        }
    }

    /// Writes the headers, in place of those that the caller may have sent under the same names.
    ///
    /// # Errors
    ///
    /// [`RelayHeadError::Malformed`] when a name can't be the value of a header.
    pub fn write(&self, headers: &mut HeaderMap) -> Result<(), RelayHeadError> {
        remove_all(headers);
        headers.insert(VERSION, CURRENT_VERSION.into());
        headers.insert(FROM, text_value(FROM, &self.from)?);
        if let Some(request) = &self.request {
            headers.insert(REQUEST, text_value(REQUEST, request)?);
        }
        headers.insert(SERVER, text_value(SERVER, &self.server.server)?);
        headers.insert(STARTED_AT_MS, self.server.started_at_ms.into());
        headers.insert(ADDRESS, text_value(ADDRESS, &self.address.to_string())?);
        for (name, duration) in [
            (ATTEMPT_MS, self.attempt_time),
            (CALLER_MS, self.caller_time),
            (CONNECT_MS, self.connect_timeout),
            (MAX_IDLE_MS, self.max_idle),
            (SETTLE_MS, self.settle_time),
        ] {
            let millis = duration.min(MAX_DURATION).as_millis();
            headers.insert(name, u64::try_from(millis).unwrap_or(u64::MAX).into());
        }
        Ok(())
    }

    /// Reads the headers and removes them.
    ///
    /// # Errors
    ///
    /// [`RelayHeadError`] when one is missing or malformed, or the version is another one.
    pub fn take(headers: &mut HeaderMap) -> Result<Self, RelayHeadError> {
        let version: u32 = parsed(headers, VERSION)?;
        ensure!(version == CURRENT_VERSION, UnknownVersionSnafu);
        let request = headers
            .contains_key(REQUEST)
            .then(|| text(headers, REQUEST).map(str::to_owned))
            .transpose()?;
        let head = Self {
            from: text(headers, FROM)?.into(),
            request,
            server: ServerIncarnation::new(text(headers, SERVER)?, parsed(headers, STARTED_AT_MS)?),
            address: parsed(headers, ADDRESS)?,
            attempt_time: duration(headers, ATTEMPT_MS)?,
            caller_time: duration(headers, CALLER_MS)?,
            connect_timeout: duration(headers, CONNECT_MS)?,
            max_idle: duration(headers, MAX_IDLE_MS)?,
            settle_time: duration(headers, SETTLE_MS)?,
        };
        remove_all(headers);
        Ok(head)
    }
}

fn remove_all(headers: &mut HeaderMap) {
    for name in ALL {
        headers.remove(name);
    }
}

fn text_value(name: &'static str, text: &str) -> Result<HeaderValue, RelayHeadError> {
    let value = HeaderValue::from_bytes(text.as_bytes()).ok();
    value.context(MalformedSnafu { name })
}

/// Returns the value of a header that is present once.
fn text<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<&'a str, RelayHeadError> {
    let mut values = headers.get_all(name).iter();
    let value = values.next().context(MissingSnafu { name })?;
    ensure!(values.next().is_none(), MalformedSnafu { name });
    let text = std::str::from_utf8(value.as_bytes()).ok();
    text.context(MalformedSnafu { name })
}

fn parsed<T: FromStr>(headers: &HeaderMap, name: &'static str) -> Result<T, RelayHeadError> {
    let value = text(headers, name)?.parse().ok();
    value.context(MalformedSnafu { name })
}

fn duration(headers: &HeaderMap, name: &'static str) -> Result<Duration, RelayHeadError> {
    let duration = Duration::from_millis(parsed(headers, name)?);
    ensure!(duration <= MAX_DURATION, MalformedSnafu { name });
    Ok(duration)
}
