//! What callers of a run do.

use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use chicory_standin::history::Recorder;
use chicory_standin::load::{Call, CallResult, Caller};
use tokio::time::Instant;

use crate::{RunnerError, wait};

/// Deadline of each request.
const DEADLINE: Duration = Duration::from_secs(2);
/// How long a request may have no good answer while the deployment finds its feet.
pub const SETTLE_TIMEOUT: Duration = Duration::from_secs(30);

/// A caller of a run.
#[derive(Debug)]
pub struct CallerSide {
    caller: Caller,
}

/// A good answer after some time.
#[derive(Clone, Debug)]
pub struct GoodAnswer {
    /// The backend server that ran the request.
    pub server: String,
    /// Time from the first send to the answer.
    pub waited: Duration,
    /// Sends, the good one included.
    pub sends: usize,
}

impl CallerSide {
    /// Creates a caller that writes its history to `history`.
    ///
    /// # Errors
    ///
    /// [`RunnerError::History`] if the file can't be opened.
    pub fn new(name: &str, history: &Path) -> Result<Self, RunnerError> {
        let recorder = Recorder::open(Some(history))?;
        Ok(Self {
            caller: Caller::new(name, DEADLINE, Rc::new(recorder)),
        })
    }

    /// Sends a call once.
    pub async fn send(&self, address: &str, call: &Call) -> CallResult {
        self.caller.send(address, call).await
    }

    /// Sends a call to one address after another until the answer is good.
    ///
    /// # Errors
    ///
    /// [`RunnerError::TimedOut`] with the last result.
    pub async fn until_good(
        &self,
        addresses: &[String],
        call: &Call,
    ) -> Result<GoodAnswer, RunnerError> {
        let start = Instant::now();
        let mut sends = 0;
        let what = format!("a good answer to {}/{}", call.service, call.key);
        let server = wait::until(&what, SETTLE_TIMEOUT, async || {
            let address = &addresses[sends % addresses.len()];
            sends += 1;
            let result = self.caller.send(address, call).await;
            if result.is_good() {
                Ok(result.server.unwrap_or_default())
            } else {
                Err(format!("{result:?}"))
            }
        });
        let server = server.await?;
        Ok(GoodAnswer {
            server,
            waited: start.elapsed(),
            sends,
        })
    }
}

/// A read of a key.
pub fn key_call(service: &str, key: &str) -> Call {
    Call {
        service: service.to_owned(),
        key: key.to_owned(),
        order_key: None,
        marker: None,
    }
}

/// An order.
pub fn order_call(service: &str, key: &str, order_key: &str) -> Call {
    Call {
        order_key: Some(order_key.to_owned()),
        ..key_call(service, key)
    }
}
