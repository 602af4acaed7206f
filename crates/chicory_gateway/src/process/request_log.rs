//! Log lines about requests, within bounds.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use chicory_telemetry::Metrics;
use chicory_types::MonoTime;
use slog::{Logger, info, warn};

use super::GatewayMetric;
use crate::{Gateway, Refusal, RequestMetadata, RequestTicket};

/// Lines about failures in a second; under overload most of them say the same.
const FAILURE_LINES_PER_S: f64 = 40.0;
/// Lines about failures that may come at once.
const FAILURE_LINES_BURST: f64 = 80.0;
/// Of answered requests, one in this many gets a line.
const ANSWERED_SAMPLE: u64 = 64;

struct Allowance {
    lines: f64,
    filled_at: MonoTime,
    suppressed: u64,
    answered: u64,
}

/// Writes a line for each request that fails, and for a sample of the others.
pub(super) struct RequestLog {
    logger: Logger,
    metrics: Arc<Metrics>,
    allowance: Mutex<Allowance>,
}

/// What a line tells of a request besides its end.
pub(super) struct RequestAccount<'a> {
    pub(super) metadata: &'a RequestMetadata,
    pub(super) ticket: Option<&'a RequestTicket>,
    pub(super) started_at: MonoTime,
}

impl RequestLog {
    pub(super) fn new(logger: Logger, metrics: Arc<Metrics>) -> Self {
        Self {
            logger,
            metrics,
            allowance: Mutex::new(Allowance {
                lines: FAILURE_LINES_BURST,
                filled_at: Duration::ZERO,
                suppressed: 0,
                answered: 0,
            }),
        }
    }

    pub(super) fn refused(
        &self,
        now: MonoTime,
        account: &RequestAccount<'_>,
        refusal: &Refusal,
        gateway: &Gateway,
    ) {
        let Some(suppressed) = self.take_line(now) else {
            return;
        };
        let took = now.saturating_sub(account.started_at);
        let attempts = account.ticket.map(RequestTicket::attempts_text);
        warn!(self.logger, "request refused"; "request" => account.metadata.attempt_id.as_deref(),
            "reason" => refusal.reason.as_str(), "may_have_run" => refusal.may_have_run,
            "service" => account.ticket.map(|ticket| ticket.service().clone()),
            "route" => account.ticket.map(|ticket| ticket.route().route.name.clone()),
            "key" => account.metadata.key, "took_ms" => millis(took),
            "time_left_ms" => account.metadata.time_left.map(millis),
            "retry_after_ms" => refusal.retry_after.map(millis), "attempts" => attempts,
            "directory_version" => gateway.directory().version(),
            "routes_version" => gateway.directory().routes().version,
            "newest_routes_version" => gateway.newest_routes_version(),
            "contact_age_ms" => gateway.contact_age(now).map(millis),
            "lines_suppressed" => suppressed);
    }

    pub(super) fn answered(&self, now: MonoTime, account: &RequestAccount<'_>, status: u16) {
        let has_failed = status >= 500;
        if has_failed {
            if self.take_line(now).is_none() {
                return;
            }
        } else if !self.is_sampled() {
            return;
        }
        let took = now.saturating_sub(account.started_at);
        info!(self.logger, "request answered"; "request" => account.metadata.attempt_id.as_deref(),
            "status" => status, "took_ms" => millis(took),
            "service" => account.ticket.map(|ticket| ticket.service().clone()),
            "attempts" => account.ticket.map(RequestTicket::attempts_text),
            "routes_version" => account.ticket.map(RequestTicket::routes_version));
    }

    fn is_sampled(&self) -> bool {
        let mut allowance = self
            .allowance
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        allowance.answered += 1;
        allowance.answered % ANSWERED_SAMPLE == 1
    }

    /// Number of lines left out before this one; `None` if this one is left out too.
    fn take_line(&self, now: MonoTime) -> Option<u64> {
        let mut allowance = self
            .allowance
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let elapsed = now.saturating_sub(allowance.filled_at).as_secs_f64();
        allowance.filled_at = now;
        let filled = allowance.lines + elapsed * FAILURE_LINES_PER_S;
        allowance.lines = filled.min(FAILURE_LINES_BURST);
        if allowance.lines < 1.0 {
            allowance.suppressed += 1;
            self.metrics.increment(GatewayMetric::LogLinesSuppressed);
            return None;
        }
        allowance.lines -= 1.0;
        Some(std::mem::take(&mut allowance.suppressed))
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
