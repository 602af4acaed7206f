//! Lines that bear on a request.

use std::time::Duration;

use super::{LogLine, RequestAccount};

/// How long before a request something may have happened that decided it: a hold, and a margin.
const BEFORE: Duration = Duration::from_secs(12);
/// How long after it something may show that was true already: silence is noticed late.
const AFTER: Duration = Duration::from_secs(12);
/// What a process says of its links, its start and its end.
const OF_PROCESS: [&str; 7] = [
    "start",
    "stop begins",
    "link to control VM lost",
    "no link to control VM",
    "follows control VM",
    "update builds on an unknown route table",
    "settings read anew",
];
/// What control VMs say of their group.
const OF_GROUP: [&str; 5] = [
    "acts as leader",
    "leads no longer",
    "leader changed",
    "member takes no part until its storage works",
    "log can't be read",
];

/// Whether a line bears on a request: it speaks of its servers or its key, of its entry process, or
/// of the group of control VMs.
pub(super) fn is_related(line: &LogLine, account: &RequestAccount) -> bool {
    let at = account.line.at;
    let is_near = line.at + BEFORE >= at && line.at <= at + AFTER;
    let is_of_process = line.vm == account.line.vm && OF_PROCESS.contains(&&*line.message);
    let is_of_group = OF_GROUP.contains(&&*line.message);
    is_near
        && (is_of_process || is_of_group || names_server(line, account) || has_key(line, account))
}

fn names_server(line: &LogLine, account: &RequestAccount) -> bool {
    let server = line.text("server");
    let mut attempts = account.attempts.iter();
    server.is_some() && attempts.any(|attempt| Some(&*attempt.server) == server)
}

/// Whether a line tells of a move of the request's key.
pub(super) fn has_key(line: &LogLine, account: &RequestAccount) -> bool {
    let Some(key) = account.key else { return false };
    let keys = line.text("keys").and_then(|keys| keys.split_once('-'));
    let range = keys.and_then(|(first, last)| Some((first.parse().ok()?, last.parse().ok()?)));
    let is_other_service = line
        .text("service")
        .is_some_and(|service| account.service.as_deref() != Some(service));
    !is_other_service
        && range.is_some_and(|(first, last): (u64, u64)| (first..=last).contains(&key))
}
