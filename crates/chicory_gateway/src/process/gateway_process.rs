//! An entry process.

use std::sync::Arc;
use std::time::Duration;

use chicory_net::admin::Readiness;
use chicory_net::http::{ClientLog, HttpLimits, HttpListener};
use chicory_telemetry::Metrics;
use chicory_types::Clock;
use slog::{Logger, info, warn};
use snafu::ResultExt;
use tokio::sync::watch;
use tokio::time::{Instant, MissedTickBehavior};

use super::caller_handler::CallerHandler;
use super::connection_counts::ConnectionCounts;
use super::directory_link::DirectoryLink;
use super::gateway_process_error::ListenSnafu;
use super::relay_listener::RelayListener;
use super::server_probes::{start_due_probes, wait_for_due_probe};
use super::shared_state::SharedState;
use super::stop_schedule::StopSchedule;
use super::{
    CallerInterface, GatewayMetric, GatewayProcessConfig, GatewayProcessError, ServerInterface,
};
use crate::Gateway;

/// Interval at which readiness is updated; the balancer checks once a second.
const READINESS_INTERVAL: Duration = Duration::from_millis(250);
/// Longest head of a request.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Time for which callers' connections may be idle: twice the time that callers are asked to keep
/// them, so that a request rarely arrives while its connection is being closed.
const HEAD_TIMEOUT: Duration = Duration::from_secs(8);

/// An entry process.
pub struct GatewayProcess {
    shared: Arc<SharedState>,
    config: GatewayProcessConfig,
    listener: HttpListener,
    relay_listener: Option<RelayListener>,
    stop_grace: watch::Receiver<Duration>,
}

impl GatewayProcess {
    /// Starts to listen for callers, and for other entry VMs if that address can be listened on.
    ///
    /// # Errors
    ///
    /// [`GatewayProcessError`] when the address for callers can't be listened on.
    pub async fn start(
        mut config: GatewayProcessConfig,
        clock: Arc<dyn Clock + Send + Sync>,
        interfaces: (Arc<dyn CallerInterface>, Arc<dyn ServerInterface>),
        readiness: Readiness,
        logger: Logger,
        metrics: Arc<Metrics>,
    ) -> Result<Self, GatewayProcessError> {
        let address = config.caller_address;
        let listener = HttpListener::bind(address)
            .await
            .context(ListenSnafu { address })?;
        let relay_address = config.relay_listen_address.or(config.relay_address);
        let relay_listener = match relay_address {
            Some(address) => RelayListener::bind(address, &logger).await,
            None => None,
        };
        config.relay_address = match (&relay_listener, config.relay_address) {
            (Some(listener), Some(address)) => Some(listener.reachable_address(address)),
            _ => None,
        };
        let (_, stop_grace) = watch::channel(config.stop_grace);
        let gateway = Gateway::new(config.gateway_config.clone());
        let vm = config.vm.clone();
        let shared = SharedState::new(vm, gateway, clock, interfaces, readiness, logger, metrics);
        Ok(Self {
            shared: Arc::new(shared),
            config,
            listener,
            relay_listener,
            stop_grace,
        })
    }

    /// Sets the time from the announcement of a planned stop to the end of the process. The value at
    /// the announcement is the one that counts.
    #[must_use]
    pub fn with_stop_grace(mut self, stop_grace: watch::Receiver<Duration>) -> Self {
        self.stop_grace = stop_grace;
        self
    }

    /// Serves until `stop` becomes `true`, then stops after the requests in progress have been
    /// answered, as far as the grace period allows.
    pub async fn run(self, mut stop: watch::Receiver<bool>) {
        let shared = self.shared;
        let link = DirectoryLink::new(
            shared.clone(),
            self.config.vm,
            self.config.zone,
            self.config.relay_address,
            self.config.seeds,
        );
        tokio::spawn(link.run());
        tokio::spawn(run_periodic_work(shared.clone()));
        let (close, closing) = watch::channel(false);
        let handler = Arc::new(CallerHandler::new(shared.clone()));
        let metrics = shared.metrics.clone();
        let client_log = ClientLog::new(shared.logger.clone(), metrics.clone());
        tokio::spawn(client_log.run());
        let connections = ConnectionCounts::new(self.config.gateway_config.max_descriptors);
        let limits = HttpLimits {
            max_head_bytes: MAX_HEAD_BYTES,
            max_connections: connections.callers,
            head_timeout: HEAD_TIMEOUT,
        };
        let listener = self.listener.with_budget(shared.clients.clone());
        let served = listener.serve(handler, limits, closing.clone(), metrics);
        let relayed = self
            .relay_listener
            .map(|listener| listener.serve(shared.clone(), connections.relays, closing));
        let served = tokio::spawn(async move {
            tokio::join!(served, async {
                if let Some(relayed) = relayed {
                    relayed.await;
                }
            })
        });
        // If the sender is gone, no stop can be requested, so the process serves forever.
        if stop.wait_for(|stop| *stop).await.is_err() {
            std::future::pending::<()>().await;
        }
        let grace = *self.stop_grace.borrow();
        let schedule = StopSchedule::new(grace);
        shared.readiness.begin_stop();
        let answers_at = shared.now() + schedule.last_answers;
        shared.gateway().set_stopping(answers_at);
        info!(shared.logger, "stop begins"; "grace" => ?grace);
        let begun_at = Instant::now();
        tokio::time::sleep_until(begun_at + schedule.closing).await;
        close.send_replace(true);
        let mut served = served;
        let answers_at = begun_at + schedule.last_answers;
        let mut ended = tokio::time::timeout_at(answers_at, &mut served).await;
        if ended.is_err() {
            shared.answers_are_due.send_replace(true);
            let ends_at = begun_at + schedule.end;
            ended = tokio::time::timeout_at(ends_at, &mut served).await;
        }
        match ended {
            Ok(_) => info!(shared.logger, "stop ends, all requests were answered"),
            Err(_) => warn!(shared.logger, "stop ends with requests unanswered"),
        }
    }
}

/// Updates readiness periodically, because no event signals that the contact to the control
/// VMs has ended. Closes connections that were idle for too long. Starts probes when they are due,
/// for which the same ticks show that attempts have begun.
async fn run_periodic_work(shared: Arc<SharedState>) {
    let mut ticks = tokio::time::interval(READINESS_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => {
                shared.update_readiness();
                shared.relays.prune();
                let client_bytes = shared.clients.used_bytes();
                shared.metrics.set(GatewayMetric::ClientMemoryBytes, client_bytes);
                if let Some(backlog) = shared.link.backlog() {
                    let bytes = backlog.pending_bytes(shared.now());
                    let metric = GatewayMetric::LinkBacklogBytes;
                    shared.metrics.set(metric, whole_bytes(bytes));
                }
            }
            () = wait_for_due_probe(&shared) => {}
        }
        start_due_probes(&shared);
        shared.log_reachability_changes();
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "bytes are few"
)]
fn whole_bytes(bytes: f64) -> u64 {
    bytes as u64
}
