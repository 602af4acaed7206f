//! Lines that bear on a request.

use std::time::Duration;

use super::{LogLine, RequestSummary};

/// How long before a request something may have happened that decided it: a hold, and a margin.
const MAX_TIME_BEFORE: Duration = Duration::from_secs(12);
/// How long after it something may show that was true already: silence is noticed late.
const MAX_TIME_AFTER: Duration = Duration::from_secs(12);
/// What a process says of its links, its start and its end.
const ENTRY_PROCESS_MESSAGES: [&str; 7] = [
    "start",
    "stop begins",
    "link to control VM lost",
    "no link to control VM",
    "follows control VM",
    "update builds on an unknown route table",
    "settings read anew",
];
/// What control VMs say of their group.
const CONTROL_GROUP_MESSAGES: [&str; 5] = [
    "acts as leader",
    "leads no longer",
    "leader changed",
    "member takes no part until its storage works",
    "log can't be read",
];

/// Whether a line bears on a request: it speaks of its servers or its key, of its entry process, or
/// of the group of control VMs.
pub(super) fn is_related(line: &LogLine, summary: &RequestSummary) -> bool {
    let timestamp = summary.line.timestamp;
    let is_within_window = line.timestamp + MAX_TIME_BEFORE >= timestamp
        && line.timestamp <= timestamp + MAX_TIME_AFTER;
    let is_from_entry_process =
        line.vm == summary.line.vm && ENTRY_PROCESS_MESSAGES.contains(&&*line.message);
    let is_from_control_group = CONTROL_GROUP_MESSAGES.contains(&&*line.message);
    is_within_window
        && (is_from_entry_process
            || is_from_control_group
            || names_attempted_server(line, summary)
            || covers_key(line, summary))
}

fn names_attempted_server(line: &LogLine, summary: &RequestSummary) -> bool {
    let server = line.text_field("server");
    let mut attempts = summary.attempts.iter();
    server.is_some() && attempts.any(|attempt| Some(&*attempt.server) == server)
}

/// Whether a line tells of a move of the request's key.
pub(super) fn covers_key(line: &LogLine, summary: &RequestSummary) -> bool {
    let Some(key) = summary.key else { return false };
    let keys = line
        .text_field("keys")
        .and_then(|keys| keys.split_once('-'));
    let range = keys.and_then(|(first, last)| Some((first.parse().ok()?, last.parse().ok()?)));
    let is_other_service = line
        .text_field("service")
        .is_some_and(|service| summary.service.as_deref() != Some(service));
    !is_other_service
        && range.is_some_and(|(first, last): (u64, u64)| (first..=last).contains(&key))
}
