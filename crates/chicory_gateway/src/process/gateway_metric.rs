//! Metrics of an entry process.

use chicory_telemetry::MetricName;

/// Metrics of an entry process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GatewayMetric {
    /// Requests of callers.
    Requests,
    /// Requests that were answered by a backend server.
    Answered,
    /// Refused requests that no server has run.
    RefusedNotRun,
    /// Requests without an answer that a server may have run.
    FailedMayHaveRun,
    /// Requests that their caller cancelled.
    Cancelled,
    /// Requests sent to a further server.
    Retries,
    /// Connections opened to backend servers.
    Connections,
    /// Answers that were malformed or belonged to other requests.
    ForeignAnswers,
    /// Answers in which a backend server named a rate limit.
    AnswersWithLimit,
    /// Answers with a rate limit that can't be read.
    UnreadableLimits,
    /// Answers in which a backend server asked for a pause.
    AnswersWithRest,
    /// Answers with a pause that can't be read.
    UnreadableRests,
    /// Answers in which a backend server said that it is about to end.
    AnswersOfLeaving,
    /// Answers whose statement about that can't be read.
    UnreadableLeaving,
    /// Backend servers that are cold and have a cold limit.
    ColdServers,
    /// Requests sent to cold servers.
    SentToCold,
    /// Times that a request was not sent to a cold server because of its limit.
    HeldBackFromCold,
    /// Requests refused because the rate limits of their servers were used up.
    DeniedByLimit,
    /// Requests refused because their servers had asked for a pause.
    DeniedByRest,
    /// Requests refused because the link was too busy to receive their bodies in time.
    BodiesRefusedByLink,
    /// Requests refused because there was no room in memory for their bodies.
    BodiesRefusedByMemory,
    /// Memory that callers and other entry VMs occupy with requests and answers, in bytes.
    ClientMemoryBytes,
    /// Requests refused because the owners of their keys are asked for more than they can answer.
    RefusedByAdmission,
    /// Owners that get only a part of their requests.
    OverloadedOwners,
    /// Links to control VMs that were lost.
    ControlLinksLost,
    /// Availability zones that are evacuated.
    EvacuatedZones,
    /// Version of the directory.
    DirectoryVersion,
    /// Version of the route table.
    RoutesVersion,
    /// Time from the first byte of an update of the directory to its last.
    UpdateTransfer,
    /// Bytes of updates of the directory.
    UpdateBytes,
    /// Time from the first report of a newer route table until the newest one is applied.
    TableLag,
    /// Requests sent by way of another entry VM.
    RelayedRequests,
    /// Requests that another entry VM didn't take to relay them.
    RelaysUnavailable,
    /// Requests whose connection to the entry VM that relayed them broke.
    RelaysBroken,
    /// Answers of backend servers passed on to other entry VMs.
    RelayedForOthers,
    /// Bytes of bodies relayed for other entry VMs.
    RelayedBytes,
    /// Bytes of answers that the entry VM's link still has to carry.
    LinkBacklogBytes,
    /// Requests of other entry VMs to which no backend server's answer was received.
    RelayFailures,
    /// Requests of other entry VMs refused because of overload.
    RelayRefusedBusy,
    /// Those refused because the entry VM's link is occupied.
    RelayRefusedLinkFull,
    /// Requests of other entry VMs refused because their server is not reached.
    RelayRefusedCutOff,
    /// Requests of other entry VMs refused during a stop.
    RelayRefusedStopping,
    /// Requests of other entry VMs refused because their server isn't known.
    RelayRefusedUnknownServer,
    /// Requests to be relayed that couldn't be read.
    RelayRefusedMalformed,
    /// Connections opened to see whether backend servers can be reached.
    Probes,
    /// Those that could not be opened, or were closed at once.
    FailedProbes,
    /// Times that the path to a group of backend servers was found to be cut.
    PathsCut,
    /// Times that such a path was found to be open again.
    PathsRestored,
    /// Log lines about requests that were suppressed to limit their volume.
    LogLinesSuppressed,
    /// Answers in which a backend server stated its load.
    AnswersWithLoad,
    /// Answers with a load that can't be read.
    UnreadableLoads,
    /// Requests sent to slots that belong to this entry VM.
    SentWithinShares,
    /// Requests sent to other slots of services with shares.
    SentBeyondShares,
    /// Times that a request began to wait for a slot of this entry VM.
    AwaitedSlots,
    /// Attempts at services with shares that full servers rejected.
    RejectedWithShares,
    /// Time since the leader last sent shares of servers' slots.
    SharesAge,
    /// Time from a request's head to the head of its answer.
    RequestLatency,
    /// Time from sending to a backend server to the head of its answer.
    AttemptLatency,
}

impl MetricName for GatewayMetric {
    fn name(self) -> &'static str {
        match self {
            Self::Requests => "gateway_requests",
            Self::Answered => "gateway_answered",
            Self::RefusedNotRun => "gateway_refused_not_run",
            Self::FailedMayHaveRun => "gateway_failed_may_have_run",
            Self::Cancelled => "gateway_cancelled",
            Self::Retries => "gateway_retries",
            Self::Connections => "gateway_connections",
            Self::ForeignAnswers => "gateway_foreign_answers",
            Self::AnswersWithLimit => "gateway_answers_with_limit",
            Self::UnreadableLimits => "gateway_unreadable_limits",
            Self::AnswersWithRest => "gateway_answers_with_rest",
            Self::UnreadableRests => "gateway_unreadable_rests",
            Self::AnswersOfLeaving => "gateway_answers_of_leaving",
            Self::UnreadableLeaving => "gateway_unreadable_leaving",
            Self::ColdServers => "gateway_cold_servers",
            Self::SentToCold => "gateway_sent_to_cold",
            Self::HeldBackFromCold => "gateway_held_back_from_cold",
            Self::DeniedByLimit => "gateway_denied_by_limit",
            Self::DeniedByRest => "gateway_denied_by_rest",
            Self::BodiesRefusedByLink => "gateway_bodies_refused_by_link",
            Self::BodiesRefusedByMemory => "gateway_bodies_refused_by_memory",
            Self::ClientMemoryBytes => "gateway_client_memory_bytes",
            Self::RefusedByAdmission => "gateway_refused_by_admission",
            Self::OverloadedOwners => "gateway_overloaded_owners",
            Self::ControlLinksLost => "gateway_control_links_lost",
            Self::EvacuatedZones => "gateway_evacuated_zones",
            Self::DirectoryVersion => "gateway_directory_version",
            Self::RoutesVersion => "gateway_routes_version",
            Self::UpdateTransfer => "gateway_update_transfer_seconds",
            Self::UpdateBytes => "gateway_update_bytes",
            Self::TableLag => "gateway_table_lag_seconds",
            Self::RelayedRequests => "gateway_relayed_requests",
            Self::RelaysUnavailable => "gateway_relays_unavailable",
            Self::RelaysBroken => "gateway_relays_broken",
            Self::RelayedForOthers => "gateway_relayed_for_others",
            Self::RelayedBytes => "gateway_relayed_bytes",
            Self::LinkBacklogBytes => "gateway_link_backlog_bytes",
            Self::RelayFailures => "gateway_relay_failures",
            Self::RelayRefusedBusy => "gateway_relay_refused_busy",
            Self::RelayRefusedLinkFull => "gateway_relay_refused_link_full",
            Self::RelayRefusedCutOff => "gateway_relay_refused_cut_off",
            Self::RelayRefusedStopping => "gateway_relay_refused_stopping",
            Self::RelayRefusedUnknownServer => "gateway_relay_refused_unknown_server",
            Self::RelayRefusedMalformed => "gateway_relay_refused_malformed",
            Self::Probes => "gateway_probes",
            Self::FailedProbes => "gateway_failed_probes",
            Self::PathsCut => "gateway_paths_cut",
            Self::PathsRestored => "gateway_paths_restored",
            Self::LogLinesSuppressed => "gateway_log_lines_suppressed",
            Self::AnswersWithLoad => "gateway_answers_with_load",
            Self::UnreadableLoads => "gateway_unreadable_loads",
            Self::SentWithinShares => "gateway_sent_within_shares",
            Self::SentBeyondShares => "gateway_sent_beyond_shares",
            Self::AwaitedSlots => "gateway_awaited_slots",
            Self::RejectedWithShares => "gateway_rejected_with_shares",
            Self::SharesAge => "gateway_shares_age_seconds",
            Self::RequestLatency => "gateway_request_seconds",
            Self::AttemptLatency => "gateway_attempt_seconds",
        }
    }

    fn help(self) -> &'static str {
        match self {
            Self::Requests => "Requests of callers.",
            Self::Answered => "Requests that were answered by a backend server.",
            Self::RefusedNotRun => "Refused requests that no backend server has run.",
            Self::FailedMayHaveRun => {
                "Requests without an answer that a backend server may have run."
            }
            Self::Cancelled => "Requests that their caller cancelled.",
            Self::Retries => "Requests sent to a further backend server.",
            Self::Connections => "Connections opened to backend servers.",
            Self::ForeignAnswers => "Answers that were malformed or belonged to other requests.",
            Self::AnswersWithLimit => "Answers in which a backend server named a rate limit.",
            Self::UnreadableLimits => "Answers with a rate limit that can't be read.",
            Self::AnswersWithRest => "Answers in which a backend server asked for a pause.",
            Self::UnreadableRests => "Answers with a pause that can't be read.",
            Self::AnswersOfLeaving => {
                "Answers in which a backend server said that it is about to end."
            }
            Self::UnreadableLeaving => {
                "Answers that can't be read as to whether their server is about to end."
            }
            Self::ColdServers => "Backend servers that are cold and have a cold limit.",
            Self::SentToCold => "Requests sent to cold servers.",
            Self::HeldBackFromCold => {
                "Times that a request was not sent to a cold server because of its limit."
            }
            Self::DeniedByLimit => {
                "Requests refused because the rate limits of their servers were used up."
            }
            Self::DeniedByRest => "Requests refused because their servers had asked for a pause.",
            Self::BodiesRefusedByLink => {
                "Requests refused because the link was too busy to receive their bodies in time."
            }
            Self::BodiesRefusedByMemory => "Requests refused for want of memory for their bodies.",
            Self::ClientMemoryBytes => "Bytes that clients occupy with requests and answers.",
            Self::RefusedByAdmission => {
                "Requests refused because the owners of their keys are asked for more than they can answer."
            }
            Self::OverloadedOwners => "Owners that get only a part of their requests.",
            Self::ControlLinksLost => "Links to control VMs that were lost.",
            Self::EvacuatedZones => "Availability zones that are evacuated.",
            Self::DirectoryVersion => "Version of the directory.",
            Self::RoutesVersion => "Version of the route table.",
            Self::UpdateTransfer => "Time from an update's first byte to its last.",
            Self::UpdateBytes => "Bytes of updates of the directory.",
            Self::TableLag => {
                "Time from the first report of a newer route table until it is applied."
            }
            Self::RelayedRequests => "Requests sent by way of another entry VM.",
            Self::RelaysUnavailable => "Requests that another entry VM didn't take to relay them.",
            Self::RelaysBroken => {
                "Requests whose connection to the entry VM that relayed them broke."
            }
            Self::RelayedForOthers => "Answers of backend servers passed on to other entry VMs.",
            Self::RelayedBytes => "Bytes of bodies relayed for other entry VMs.",
            Self::LinkBacklogBytes => "Bytes of answers that the link still has to carry.",
            Self::RelayFailures => {
                "Requests of other entry VMs to which no backend server's answer was received."
            }
            Self::RelayRefusedBusy => "Requests of other entry VMs refused because of overload.",
            Self::RelayRefusedLinkFull => "Those refused because the link is occupied.",
            Self::RelayRefusedCutOff => {
                "Requests of other entry VMs refused because their server is not reached."
            }
            Self::RelayRefusedStopping => "Requests of other entry VMs refused during a stop.",
            Self::RelayRefusedUnknownServer => {
                "Requests of other entry VMs refused because their server isn't known."
            }
            Self::RelayRefusedMalformed => "Requests to be relayed that couldn't be read.",
            Self::Probes => "Connections opened to see whether backend servers can be reached.",
            Self::FailedProbes => "Probes that could not connect, or were closed at once.",
            Self::PathsCut => "Times that the path to a group of servers was found to be cut.",
            Self::PathsRestored => {
                "Times that the path to a group of servers was found to be open again."
            }
            Self::LogLinesSuppressed => "Log lines suppressed to limit their volume.",
            Self::AnswersWithLoad => "Answers in which a backend server stated its load.",
            Self::UnreadableLoads => "Answers with a load that can't be read.",
            Self::SentWithinShares => "Requests sent to slots that belong to this entry VM.",
            Self::SentBeyondShares => "Requests sent to other slots of services with shares.",
            Self::AwaitedSlots => "Times that a request began to wait for a slot of this entry VM.",
            Self::RejectedWithShares => {
                "Attempts at services with shares that full servers rejected."
            }
            Self::SharesAge => "Time since the leader last sent shares of servers' slots.",
            Self::RequestLatency => "Time from a request's head to the head of its answer.",
            Self::AttemptLatency => "Time from sending to the head of a backend server's answer.",
        }
    }
}
