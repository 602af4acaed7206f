//! What all tasks of an entry process share.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use chicory_net::admin::Readiness;
use chicory_telemetry::Metrics;
use chicory_types::{Clock, MonoTime};
use slog::{Logger, info};
use tokio::sync::watch;

use super::connection_pool::ConnectionPool;
use super::request_log::RequestLog;
use super::{CallerInterface, ServerInterface};
use crate::Gateway;

/// What all tasks of an entry process share; they run on one thread, so that the locks are never
/// waited for.
pub(super) struct Shared {
    gateway: Mutex<Gateway>,
    pub(super) pool: ConnectionPool,
    pub(super) clock: Arc<dyn Clock + Send + Sync>,
    pub(super) callers: Arc<dyn CallerInterface>,
    pub(super) servers: Arc<dyn ServerInterface>,
    pub(super) readiness: Readiness,
    /// Counts changes of the directory.
    pub(super) changes: watch::Sender<u64>,
    pub(super) requests: RequestLog,
    pub(super) logger: Logger,
    pub(super) metrics: Arc<Metrics>,
}

impl Shared {
    pub(super) fn new(
        gateway: Gateway,
        clock: Arc<dyn Clock + Send + Sync>,
        interfaces: (Arc<dyn CallerInterface>, Arc<dyn ServerInterface>),
        readiness: Readiness,
        logger: Logger,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self {
            gateway: Mutex::new(gateway),
            pool: ConnectionPool::default(),
            clock,
            callers: interfaces.0,
            servers: interfaces.1,
            readiness,
            changes: watch::Sender::new(0),
            requests: RequestLog::new(logger.clone(), metrics.clone()),
            logger,
            metrics,
        }
    }

    pub(super) fn gateway(&self) -> MutexGuard<'_, Gateway> {
        self.gateway.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells the balancer and callers whether they are best served here.
    pub(super) fn update_readiness(&self) {
        let now = self.now();
        let is_fit = self.gateway().is_fit(now);
        if self.readiness.is_on() == is_fit {
            return;
        }
        self.readiness.set(is_fit);
        let contact_age = self.gateway().contact_age(now);
        info!(self.logger, "readiness changed"; "is_ready" => is_fit,
            "contact_age" => ?contact_age);
    }

    pub(super) fn now(&self) -> MonoTime {
        self.clock.now()
    }
}
