//! Listens for requests of other entry VMs.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use chicory_net::http::{HttpLimits, HttpListener};
use slog::{Logger, info, warn};
use tokio::sync::watch;
use tokio::time::Instant;

use super::RelayLoad;
use super::relay_handler::RelayHandler;
use super::relayed_request::SharedLoad;
use super::shared_state::SharedState;

/// Longest head of a request: that of a caller, and headers of entry VMs.
const MAX_HEAD_BYTES: usize = 80 * 1024;
/// Time for which connections may be idle. Other entry VMs close them sooner.
const HEAD_TIMEOUT: Duration = Duration::from_secs(8);
/// Most headers of a request: those of a caller, which are 100 at most, and those of entry VMs.
const MAX_HEADERS: usize = 128;
/// Interval at which the delay of a timer is measured.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Listens for requests of other entry VMs.
pub(super) struct RelayListener {
    listener: HttpListener,
}

impl RelayListener {
    /// Starts to listen. Without the address, the process serves its own callers all the same.
    pub(super) async fn bind(address: SocketAddr, logger: &Logger) -> Option<Self> {
        match HttpListener::bind(address).await {
            Ok(listener) => {
                info!(logger, "listens for requests to relay"; "address" => %address);
                let listener = listener.with_max_headers(MAX_HEADERS).with_probes();
                Some(Self { listener })
            }
            Err(error) => {
                warn!(logger, "can't listen for requests to relay";
                    "address" => %address, "error" => %error);
                None
            }
        }
    }

    /// Returns the address for other entry VMs: this one, with the port that is listened on if it
    /// states none.
    pub(super) fn reachable_address(&self, address: SocketAddr) -> SocketAddr {
        match self.listener.local_addr() {
            Ok(local) if address.port() == 0 => SocketAddr::new(address.ip(), local.port()),
            _ => address,
        }
    }

    /// Serves until `closing` becomes `true` and all requests in progress are complete.
    pub(super) async fn serve(
        self,
        shared: Arc<SharedState>,
        max_connections: usize,
        closing: watch::Receiver<bool>,
    ) {
        let load = RelayLoad::default().with_longest_body(shared.clients.max_content_bytes());
        let load = Arc::new(Mutex::new(load));
        let metrics = shared.metrics.clone();
        let handler = Arc::new(RelayHandler {
            shared: shared.clone(),
            load: load.clone(),
        });
        let listener = self.listener.with_budget(shared.clients.clone());
        let limits = HttpLimits {
            max_head_bytes: MAX_HEAD_BYTES,
            max_connections,
            head_timeout: HEAD_TIMEOUT,
        };
        let served = listener.serve(handler, limits, closing, metrics);
        tokio::select! {
            () = served => {}
            () = measure_tick_lag(&load) => {}
        }
    }
}

/// Measures by how much a timer is late, which shows whether the process is overloaded.
async fn measure_tick_lag(load: &SharedLoad) {
    loop {
        let due_at = Instant::now() + TICK_INTERVAL;
        tokio::time::sleep_until(due_at).await;
        let lag = due_at.elapsed();
        let mut load = load.lock().unwrap_or_else(PoisonError::into_inner);
        load.record_tick_lag(lag);
    }
}
