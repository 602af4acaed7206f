//! Writes decisions to the log.

use chicory_ranges::{CallOutcome, Fence, GrantCall, RangeMove};
use slog::{Logger, info, warn};

use crate::SiteNote;

/// Writes one line for a decision, with the inputs that decided it.
pub(super) fn write(logger: &Logger, note: &SiteNote) {
    match note {
        SiteNote::StorageOpened {
            incarnation,
            last_index,
            may_vote,
        } => info!(logger, "member starts"; "incarnation" => incarnation,
            "last_index" => last_index, "may_vote" => may_vote),
        SiteNote::StorageFailed => warn!(logger, "member takes no part until its storage works"),
        SiteNote::ServerSaysItLeaves { server_incarnation } => {
            info!(logger, "server says that it leaves"; "server" => %server_incarnation);
        }
        SiteNote::ServerLimitChanged {
            server_incarnation,
            rate_per_s,
        } => info!(logger, "server limit changed"; "server" => %server_incarnation,
            "rate_per_s" => rate_per_s),
        SiteNote::ServerColdChanged { .. } => write_cold(logger, note),
        SiteNote::SlotsDivided { services } => {
            info!(logger, "slots are divided among entry VMs"; "services" => ?services);
        }
        SiteNote::BecameLeader { .. }
        | SiteNote::ActingAsLeader { .. }
        | SiteNote::LostLeadership { .. }
        | SiteNote::LeaderChanged { .. } => write_leadership(logger, note),
        SiteNote::VotersChanged {
            voters,
            wanted_count,
        } => info!(logger, "voters changed"; "voters" => ?voters, "wanted" => wanted_count),
        SiteNote::RoutesInForce {
            routes_version,
            index,
        } => info!(logger, "routes in force"; "routes_version" => routes_version,
            "index" => index),
        SiteNote::RoutesUnchanged {
            sent_version,
            routes_version,
        } => info!(logger, "routes unchanged"; "sent_version" => sent_version,
            "routes_version" => routes_version),
        SiteNote::ServerChanged {
            server_incarnation,
            service,
            is_draining,
            index,
        } => info!(logger, "server changed"; "server" => %server_incarnation, "service" => service,
            "is_draining" => is_draining, "index" => index),
        SiteNote::ServerRemoved {
            server_incarnation,
            index,
        } => {
            info!(logger, "server removed"; "server" => %server_incarnation, "index" => index);
        }
        SiteNote::StaleAnnouncement { server_incarnation } => {
            info!(logger, "announcement of an incarnation that has ended or left";
                "server" => %server_incarnation);
        }
        SiteNote::AddressInUse { server_incarnation } => {
            info!(logger, "announcement refused: another server has its address";
                "server" => %server_incarnation);
        }
        SiteNote::ServerEnded {
            server_incarnation,
            next,
            range_count,
            last_answer_age,
        } => info!(logger, "server has ended"; "server" => %server_incarnation, "next" => %next,
            "ranges" => range_count, "last_answer_age" => ?last_answer_age),
        SiteNote::RangeMoved { change, fence } => write_move(logger, change, *fence),
        SiteNote::MoveRejected { rejection } => {
            info!(logger, "move rejected"; "reason" => %rejection);
        }
        SiteNote::GrantCallFailed {
            server_incarnation,
            content,
            outcome,
        } => write_grant(logger, &server_incarnation.to_string(), content, outcome),
        SiteNote::ServerUnresponsive { server_incarnation } => warn!(logger, "server is silent";
            "server" => %server_incarnation),
        SiteNote::EvacuationBegun { .. }
        | SiteNote::EvacuationInForce { .. }
        | SiteNote::EvacuationFinished { .. } => write_evacuation(logger, note),
        SiteNote::CallUnavailable { .. } => warn!(logger, "call answered as unavailable"),
        SiteNote::RequestPoisoned { fingerprint } => {
            warn!(logger, "request crashes servers"; "fingerprint" => fingerprint);
        }
        SiteNote::LogUnreadable { index } => {
            warn!(logger, "log can't be read"; "index" => index);
        }
        SiteNote::EntryConnected { vm, known_version } => {
            info!(logger, "entry VM follows this control VM"; "entry_vm" => vm,
                "known_version" => known_version);
        }
        SiteNote::RelayAbilityChanged {
            vm,
            can_relay,
            suppressed,
        } => info!(logger, "entry VM reports whether it can relay"; "entry_vm" => vm,
            "can_relay" => can_relay, "lines_suppressed" => suppressed),
        SiteNote::OwnerAdmissionChanged { .. } => write_admission(logger, note),
        SiteNote::EntryDisconnected { vm } => info!(logger, "entry VM left"; "entry_vm" => vm),
    }
}

fn write_leadership(logger: &Logger, note: &SiteNote) {
    match note {
        SiteNote::BecameLeader { term } => info!(logger, "elected"; "term" => term),
        SiteNote::ActingAsLeader { version } => {
            info!(logger, "acts as leader"; "version" => version);
        }
        SiteNote::LostLeadership { term } => info!(logger, "leads no longer"; "term" => term),
        SiteNote::LeaderChanged { leader } => {
            let leader = leader.as_deref().unwrap_or("none");
            info!(logger, "leader changed"; "leader" => leader);
        }
        _ => {}
    }
}

fn write_evacuation(logger: &Logger, note: &SiteNote) {
    match note {
        SiteNote::EvacuationBegun { zone, index } => {
            info!(logger, "evacuation begins"; "zone" => zone, "index" => index);
        }
        SiteNote::EvacuationInForce { zone, took } => info!(logger, "evacuation in force";
            "zone" => zone, "took_s" => took.as_secs_f64()),
        SiteNote::EvacuationFinished { zone, index } => {
            info!(logger, "evacuation finished"; "zone" => zone, "index" => index);
        }
        _ => {}
    }
}

fn write_cold(logger: &Logger, note: &SiteNote) {
    if let SiteNote::ServerColdChanged {
        server_incarnation,
        is_cold,
        suppressed,
    } = note
    {
        info!(logger, "server turned cold or warm"; "server" => %server_incarnation,
            "is_cold" => is_cold, "lines_suppressed" => suppressed);
    }
}

fn write_move(logger: &Logger, change: &RangeMove, fence: Fence) {
    let from = change
        .from
        .as_ref()
        .map_or("nobody".into(), ToString::to_string);
    info!(logger, "keys moved"; "service" => &change.service, "keys" => %change.range,
        "from" => from, "to" => %change.to, "fence" => fence,
        "has_handover" => change.handover.is_some());
}

fn write_admission(logger: &Logger, note: &SiteNote) {
    let SiteNote::OwnerAdmissionChanged {
        server_incarnation,
        overload,
        suppressed,
    } = note
    else {
        return;
    };
    match overload {
        Some(overload) => info!(logger, "owner is asked for more than it can answer";
            "server" => %server_incarnation, "fraction" => overload.fraction,
            "demand_per_s" => overload.demand_per_s, "capacity_per_s" => overload.capacity_per_s,
            "lines_suppressed" => suppressed),
        None => info!(logger, "owner gets all requests again"; "server" => %server_incarnation,
            "lines_suppressed" => suppressed),
    }
}

fn write_grant(logger: &Logger, server: &str, content: &GrantCall, outcome: &CallOutcome) {
    let (call, range, fence) = match content {
        GrantCall::Grant { range, fence, .. } => ("grant", range, fence),
        GrantCall::Release { range, fence } => ("release", range, fence),
    };
    let outcome = match outcome {
        CallOutcome::Done { .. } => "done",
        CallOutcome::Fenced => "fenced",
        CallOutcome::LinkLost => "link lost",
        CallOutcome::OtherServer => "other server",
        CallOutcome::Rejected => "rejected",
        CallOutcome::Unanswered => "unanswered",
        CallOutcome::Unreachable => "unreachable",
        CallOutcome::ConnectionRefused => "connection refused",
    };
    warn!(logger, "call to server failed"; "server" => server, "call" => call,
        "keys" => %range, "fence" => fence, "outcome" => outcome);
}
