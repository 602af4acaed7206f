//! Callers that send requests during a run.

use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use chicory_standin::history::Recorder;
use chicory_standin::load::{Call, CallResult, Caller};
use tokio::time::Instant;

use crate::{RunnerError, wait};

/// Deadline of each request.
const DEADLINE: Duration = Duration::from_secs(2);
/// Time limit for a good answer while the deployment starts or recovers from a failure.
pub const SETTLE_TIMEOUT: Duration = Duration::from_secs(30);

/// A caller that records its requests and answers in a history.
#[derive(Debug)]
pub struct RunCaller {
    caller: Caller,
}

/// The first good answer to a call that was sent repeatedly.
#[derive(Clone, Debug)]
pub struct GoodAnswer {
    /// The backend server that ran the request.
    pub server: String,
    /// Time from the first send to the answer.
    pub waited: Duration,
    /// Number of sends, including the one with the good answer.
    pub sends: usize,
}

impl RunCaller {
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

    /// Sends a call to one address after another until an answer is good.
    ///
    /// # Errors
    ///
    /// [`RunnerError::TimedOut`] with the last result.
    pub async fn wait_for_good_answer(
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

/// Creates a read of a key.
pub fn key_call(service: &str, key: &str) -> Call {
    Call {
        service: service.to_owned(),
        key: key.to_owned(),
        order_key: None,
        marker: None,
    }
}

/// Creates an order.
pub fn order_call(service: &str, key: &str, order_key: &str) -> Call {
    Call {
        order_key: Some(order_key.to_owned()),
        ..key_call(service, key)
    }
}
