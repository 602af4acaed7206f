//! Publishes the reducer's counters as metrics.

use chicory_dispatch::{Counters, RefusalReason};
use chicory_telemetry::{MetricName, Metrics};

/// A counter of the reducer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestMetric {
    FromCallers,
    FromRelays,
    Writes,
    Relays,
    Forwarded,
    Finished,
    BrokenAnswers,
    MismatchedAnswers,
    StoredAnswers,
    Refused(RefusalReason),
    Retries,
    RetriesDenied,
    Claims,
    Connects,
    SilentConnections,
    Probes,
    ServersDown,
    Ejections,
    Crashes,
    Renewals,
    LeaseEnds,
    AnnouncementsRefused,
}

/// Raises the metrics to the values of the reducer's counters.
pub(crate) fn publish(metrics: &Metrics, counters: &Counters) {
    let totals = [
        (RequestMetric::FromCallers, counters.from_callers),
        (RequestMetric::FromRelays, counters.from_relays),
        (RequestMetric::Writes, counters.writes),
        (RequestMetric::Relays, counters.relays),
        (RequestMetric::Forwarded, counters.forwarded),
        (RequestMetric::Finished, counters.finished),
        (RequestMetric::BrokenAnswers, counters.broken_answers),
        (
            RequestMetric::MismatchedAnswers,
            counters.mismatched_answers,
        ),
        (RequestMetric::StoredAnswers, counters.stored_answers),
        (RequestMetric::Retries, counters.retries),
        (RequestMetric::RetriesDenied, counters.retries_denied),
        (RequestMetric::Claims, counters.claims),
        (RequestMetric::Connects, counters.connects),
        (
            RequestMetric::SilentConnections,
            counters.silent_connections,
        ),
        (RequestMetric::Probes, counters.probes),
        (RequestMetric::ServersDown, counters.servers_down),
        (RequestMetric::Ejections, counters.ejections),
        (RequestMetric::Crashes, counters.crashes),
        (RequestMetric::Renewals, counters.renewals),
        (RequestMetric::LeaseEnds, counters.lease_ends),
        (
            RequestMetric::AnnouncementsRefused,
            counters.announcements_refused,
        ),
    ];
    for (metric, total) in totals {
        metrics.raise_to(metric, total);
    }
    for (reason, _) in counters.refusals.keys() {
        let metric = RequestMetric::Refused(*reason);
        metrics.raise_to(metric, counters.refused(*reason));
    }
}

impl MetricName for RequestMetric {
    fn name(self) -> &'static str {
        match self {
            Self::FromCallers => "requests_from_callers",
            Self::FromRelays => "requests_from_relays",
            Self::Writes => "requests_written",
            Self::Relays => "requests_relayed",
            Self::Forwarded => "answers_started",
            Self::Finished => "answers_finished",
            Self::BrokenAnswers => "answers_broken",
            Self::MismatchedAnswers => "answers_mismatched",
            Self::StoredAnswers => "answers_stored",
            Self::Refused(reason) => refusal_name(reason),
            Self::Retries => "retries",
            Self::RetriesDenied => "retries_denied",
            Self::Claims => "claims",
            Self::Connects => "server_connects",
            Self::SilentConnections => "silent_connections",
            Self::Probes => "probes",
            Self::ServersDown => "servers_found_down",
            Self::Ejections => "server_ejections",
            Self::Crashes => "server_crashes",
            Self::Renewals => "renewals",
            Self::LeaseEnds => "lease_ends",
            Self::AnnouncementsRefused => "announcements_refused",
        }
    }

    fn help(self) -> &'static str {
        match self {
            Self::FromCallers => "Requests of callers.",
            Self::FromRelays => "Requests relayed by other entry processes.",
            Self::Writes => "Requests sent to backend servers.",
            Self::Relays => "Requests relayed to other entry processes.",
            Self::Forwarded => "Answers that began to be forwarded.",
            Self::Finished => "Answers that were forwarded completely.",
            Self::BrokenAnswers => "Answers that broke after they had started.",
            Self::MismatchedAnswers => "Answers that belonged to another request.",
            Self::StoredAnswers => "Requests answered with the stored answer of an order.",
            Self::Refused(_) => "Requests refused for this reason.",
            Self::Retries => "Second and later attempts of requests.",
            Self::RetriesDenied => "Retries that the retry budget did not allow.",
            Self::Claims => "Claims of orders sent.",
            Self::Connects => "Connections to backend servers that were requested.",
            Self::SilentConnections => "Connections closed because they were unresponsive.",
            Self::Probes => "Probes of backend servers.",
            Self::ServersDown => "Backend servers found down.",
            Self::Ejections => "Backend servers ejected.",
            Self::Crashes => "Crashes of backend servers with requests in flight.",
            Self::Renewals => "Renewals of the lease sent.",
            Self::LeaseEnds => "Times that the lease ended without a renewal.",
            Self::AnnouncementsRefused => "Announcements of backend servers refused.",
        }
    }
}

fn refusal_name(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::UnknownService => "refused_unknown_service",
        RefusalReason::MissingKey => "refused_missing_key",
        RefusalReason::MissingOrderKey => "refused_missing_idempotency_key",
        RefusalReason::OrderKeyReused => "refused_idempotency_key_reused",
        RefusalReason::OrderInProgress => "refused_order_in_progress",
        RefusalReason::OrderOutcomeLost => "refused_order_outcome_lost",
        RefusalReason::OrderHistoryLost => "refused_order_history_lost",
        RefusalReason::ClaimsFull => "refused_claims_full",
        RefusalReason::ClaimUnavailable => "refused_claim_unavailable",
        RefusalReason::ZoneUnreachable => "refused_zone_unreachable",
        RefusalReason::NoOwner => "refused_no_owner",
        RefusalReason::NoDispatcher => "refused_no_dispatcher",
        RefusalReason::NoServer => "refused_no_server",
        RefusalReason::NoLease => "refused_no_lease",
        RefusalReason::QueueFull => "refused_queue_full",
        RefusalReason::DeadlineTooShort => "refused_deadline_too_short",
        RefusalReason::DeadlinePassed => "refused_deadline_passed",
        RefusalReason::RateLimited => "refused_rate_limited",
        RefusalReason::ServerShed => "refused_server_shed",
        RefusalReason::TokenRefused => "refused_token_refused",
        RefusalReason::ServerFailed => "refused_server_failed",
        RefusalReason::NoProgress => "refused_no_progress",
        RefusalReason::AnswerBroken => "refused_answer_broken",
        RefusalReason::RelayFailed => "refused_relay_failed",
        RefusalReason::Quarantined => "refused_quarantined",
        RefusalReason::Stopping => "refused_stopping",
    }
}
