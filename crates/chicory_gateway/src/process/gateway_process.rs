//! An entry process.

use std::sync::Arc;
use std::time::Duration;

use chicory_net::admin::Readiness;
use chicory_net::http::{HttpLimits, HttpListener};
use chicory_telemetry::Metrics;
use chicory_types::Clock;
use slog::{Logger, info, warn};
use snafu::ResultExt;
use tokio::sync::watch;
use tokio::time::MissedTickBehavior;

use super::caller_handler::CallerHandler;
use super::directory_link::DirectoryLink;
use super::gateway_process_error::ListenSnafu;
use super::shared::Shared;
use super::{CallerInterface, GatewayProcessConfig, GatewayProcessError, ServerInterface};
use crate::Gateway;

/// Time from readiness off to the end of accepting: the balancer looks once a second and takes
/// two misses.
const LOOK_AWAY_TIME: Duration = Duration::from_millis(2600);
/// Part of the grace that is kept for the end of the process itself.
const STOP_MARGIN: Duration = Duration::from_millis(300);
/// Interval at which an entry VM looks whether it is fit to serve; the balancer asks once a second.
const FITNESS_INTERVAL: Duration = Duration::from_millis(250);
/// What callers' connections may do; idle ones stay open for twice the time that callers are told,
/// so that a request rarely crosses the close.
const CALLER_LIMITS: HttpLimits = HttpLimits {
    max_head_bytes: 64 * 1024,
    max_connections: 3000,
    head_timeout: Duration::from_secs(8),
};

/// An entry process.
pub struct GatewayProcess {
    shared: Arc<Shared>,
    config: GatewayProcessConfig,
    listener: HttpListener,
}

impl GatewayProcess {
    /// Listens for callers.
    ///
    /// # Errors
    ///
    /// [`GatewayProcessError`] when that fails.
    pub async fn start(
        config: GatewayProcessConfig,
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
        let gateway = Gateway::new(config.gateway_config.clone());
        let shared = Shared::new(gateway, clock, interfaces, readiness, logger, metrics);
        Ok(Self {
            shared: Arc::new(shared),
            config,
            listener,
        })
    }

    /// Serves until `stop` turns `true`, then stops without cutting any request off.
    pub async fn run(self, mut stop: watch::Receiver<bool>) {
        let shared = self.shared;
        let link = DirectoryLink::new(
            shared.clone(),
            self.config.vm,
            self.config.zone,
            self.config.seeds,
        );
        tokio::spawn(link.run());
        tokio::spawn(watch_fitness(shared.clone()));
        let (close, closing) = watch::channel(false);
        let handler = Arc::new(CallerHandler::new(shared.clone()));
        let metrics = shared.metrics.clone();
        let served = self
            .listener
            .serve(handler, CALLER_LIMITS, closing, metrics);
        let served = tokio::spawn(served);
        // Without anybody to ask for a stop, the process serves on.
        if stop.wait_for(|stop| *stop).await.is_err() {
            std::future::pending::<()>().await;
        }
        shared.readiness.begin_stop();
        info!(shared.logger, "stop begins"; "grace" => ?self.config.stop_grace);
        tokio::time::sleep(LOOK_AWAY_TIME).await;
        close.send_replace(true);
        let rest = self
            .config
            .stop_grace
            .saturating_sub(LOOK_AWAY_TIME + STOP_MARGIN);
        match tokio::time::timeout(rest, served).await {
            Ok(_) => info!(shared.logger, "stop ends, all requests were answered"),
            Err(_) => warn!(shared.logger, "stop ends with requests unanswered"),
        }
    }
}

/// Keeps readiness in step with the contact to the control VMs, which ends without any event.
async fn watch_fitness(shared: Arc<Shared>) {
    let mut looks = tokio::time::interval(FITNESS_INTERVAL);
    looks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        looks.tick().await;
        shared.update_readiness();
    }
}
