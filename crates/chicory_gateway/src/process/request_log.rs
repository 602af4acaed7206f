//! Log lines about requests, at a limited rate.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use chicory_net::http::BodyError;
use chicory_ranges::ServerIncarnation;
use chicory_telemetry::Metrics;
use chicory_types::MonoTime;
use slog::{Logger, info, warn};

use super::GatewayMetric;
use super::line_budget::LineBudget;
use crate::{Gateway, Refusal, RequestMetadata, RequestTicket, ServerNotices};

/// One in this many answered requests is logged.
const ANSWERED_SAMPLE: u64 = 64;

/// Writes a line for each request that fails, and for a sample of the others.
pub(super) struct RequestLog {
    logger: Logger,
    metrics: Arc<Metrics>,
    budget: Mutex<LineBudget>,
    answered: AtomicU64,
}

/// Data about a request that each line contains.
pub(super) struct RequestSummary<'a> {
    pub(super) metadata: &'a RequestMetadata,
    pub(super) ticket: Option<&'a RequestTicket>,
    pub(super) started_at: MonoTime,
}

impl RequestLog {
    pub(super) fn new(logger: Logger, metrics: Arc<Metrics>) -> Self {
        Self {
            logger,
            metrics,
            budget: Mutex::default(),
            answered: AtomicU64::new(0),
        }
    }

    pub(super) fn refused(
        &self,
        now: MonoTime,
        summary: &RequestSummary<'_>,
        refusal: &Refusal,
        gateway: &Gateway,
    ) {
        let Some(suppressed) = self.take_line(now) else {
            return;
        };
        let took = now.saturating_sub(summary.started_at);
        let attempts = summary.ticket.map(RequestTicket::attempts_summary);
        let limit = summary
            .ticket
            .and_then(|ticket| gateway.limit_for(now, ticket));
        let rest = summary
            .ticket
            .and_then(|ticket| gateway.rest_for(now, ticket));
        warn!(self.logger, "request refused"; "request" => summary.metadata.attempt_id.as_deref(),
            "reason" => refusal.reason.as_str(), "may_have_run" => refusal.may_have_run,
            "service" => summary.ticket.map(|ticket| ticket.service().clone()),
            "route" => summary.ticket.map(|ticket| ticket.route().route.name.clone()),
            "key" => summary.metadata.key, "took_ms" => millis(took),
            "time_left_ms" => summary.metadata.time_left.map(millis),
            "retry_after_ms" => refusal.retry_after.map(millis), "attempts" => attempts,
            "directory_version" => gateway.directory().version(),
            "routes_version" => gateway.directory().routes().version,
            "newest_routes_version" => gateway.newest_routes_version(),
            "contact_age_ms" => gateway.contact_age(now).map(millis),
            "limited_server" => limit.as_ref().map(|limit| limit.incarnation.to_string()),
            "limit_per_s" => limit.as_ref().map(|limit| limit.rate_per_s),
            "limit_age_ms" => limit.as_ref().map(|limit| millis(limit.age)),
            "rest_age_ms" => rest.map(|rest| millis(now.saturating_sub(rest.since))),
            "rest_left_ms" => rest.map(|rest| millis(rest.until.saturating_sub(now))),
            "lines_suppressed" => suppressed);
    }

    pub(super) fn answered(
        &self,
        now: MonoTime,
        summary: &RequestSummary<'_>,
        status: u16,
        gateway: &Gateway,
    ) {
        let has_failed = status >= 500;
        if has_failed {
            if self.take_line(now).is_none() {
                return;
            }
        } else if !self.is_sampled() {
            return;
        }
        let took = now.saturating_sub(summary.started_at);
        let limit = summary
            .ticket
            .and_then(|ticket| gateway.limit_for(now, ticket));
        info!(self.logger, "request answered"; "request" => summary.metadata.attempt_id.as_deref(),
            "status" => status, "took_ms" => millis(took),
            "service" => summary.ticket.map(|ticket| ticket.service().clone()),
            "attempts" => summary.ticket.map(RequestTicket::attempts_summary),
            "limited_server" => limit.as_ref().map(|limit| limit.incarnation.to_string()),
            "limit_per_s" => limit.as_ref().map(|limit| limit.rate_per_s),
            "limit_age_ms" => limit.as_ref().map(|limit| millis(limit.age)),
            "routes_version" => summary.ticket.map(RequestTicket::routes_version));
    }

    /// Logs that the body of an answer broke off after its head was passed on.
    pub(super) fn broken_off(&self, now: MonoTime, ticket: &RequestTicket, error: &BodyError) {
        let Some(suppressed) = self.take_line(now) else {
            return;
        };
        let took = now.saturating_sub(ticket.arrived_at());
        warn!(self.logger, "answer broken off"; "error" => %error, "took_ms" => millis(took),
            "service" => ticket.service(), "route" => &ticket.route().route.name,
            "attempts" => ticket.attempts_summary(), "lines_suppressed" => suppressed);
    }

    /// Logs that a backend server states something about itself that can't be read.
    pub(super) fn unreadable_notice(
        &self,
        now: MonoTime,
        incarnation: &ServerIncarnation,
        notices: &ServerNotices,
    ) {
        let Some(suppressed) = self.take_line(now) else {
            return;
        };
        warn!(self.logger, "backend server sends a notice that can't be read";
            "server" => %incarnation, "limit" => ?notices.limit, "rest" => ?notices.rest,
            "leaving" => ?notices.leaving, "load" => ?notices.load, "lines_suppressed" => suppressed);
    }

    fn is_sampled(&self) -> bool {
        let answered_before = self.answered.fetch_add(1, Ordering::Relaxed);
        answered_before.is_multiple_of(ANSWERED_SAMPLE)
    }

    /// Returns the number of lines suppressed before this one, or `None` if this one
    /// is suppressed too.
    fn take_line(&self, now: MonoTime) -> Option<u64> {
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        let line = budget.take(now);
        if line.is_none() {
            self.metrics.increment(GatewayMetric::LogLinesSuppressed);
        }
        line
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
