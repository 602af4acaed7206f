//! Selection of the log lines that are related to a request.

use std::time::Duration;

use super::{LogLine, RequestSummary};

/// The longest time before the end of a request at which an event that explains it may have been
/// logged: the time for which a request may be held, plus a margin.
const MAX_TIME_BEFORE: Duration = Duration::from_secs(12);
/// The longest time after the end of a request at which its cause may be logged: control VMs notice
/// only after some time that a server is unresponsive.
const MAX_TIME_AFTER: Duration = Duration::from_secs(12);
/// Messages of entry processes about their links to control VMs, their start and their stop.
const ENTRY_PROCESS_MESSAGES: [&str; 7] = [
    "start",
    "stop begins",
    "link to control VM lost",
    "no link to control VM",
    "follows control VM",
    "update builds on an unknown route table",
    "settings read anew",
];
/// Messages of control VMs about their group.
const CONTROL_GROUP_MESSAGES: [&str; 5] = [
    "acts as leader",
    "leads no longer",
    "leader changed",
    "member takes no part until its storage works",
    "log can't be read",
];

/// Returns whether a line is related to a request: it was logged close to the request and is about
/// a server that the request was sent to, the key or the entry process of the request, or the group
/// of control VMs.
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
    let limited_server = summary.line.text_field("limited_server");
    server.is_some()
        && (limited_server == server || attempts.any(|attempt| Some(&*attempt.server) == server))
}

/// Returns whether a line is about a key range that contains the key of the request. A line that
/// names another service is not.
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
