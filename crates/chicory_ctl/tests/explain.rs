//! The `explain` command: finds the cause of a request's result from log lines alone.

use std::io::Write;
use std::path::PathBuf;

use chicory_ctl::CtlError;
use chicory_ctl::command::explain;
use googletest::prelude::*;
use serde_json::{Value, json};

/// Returns a log line as a collector forwards it, with the time and the machine's name before it.
fn log_line(second: u32, vm: &str, message: &str, mut fields: Value) -> String {
    fields["ts"] = json!(format!("2026-01-14T03:19:{second:02}.500Z"));
    fields["vm"] = json!(vm);
    fields["msg"] = json!(message);
    format!("{second}.5 {vm} {fields}\n")
}

fn refused_line(reason: &str, attempts: &str, contact_age_ms: u64) -> String {
    let fields = json!({"request": "a1", "reason": reason, "attempts": attempts, "key": 70,
        "service": "archive", "contact_age_ms": contact_age_ms, "may_have_run": false});
    log_line(30, "entry-1", "request refused", fields)
}

fn explanation_of(lines: &[String]) -> std::result::Result<String, CtlError> {
    let mut files: Vec<tempfile::NamedTempFile> = Vec::new();
    for log_line in lines {
        let mut file = tempfile::NamedTempFile::new().expect("a file");
        file.write_all(log_line.as_bytes()).expect("written");
        file.write_all(b"not a log line of a process\n{\"msg\": 7}\n")
            .expect("written");
        files.push(file);
    }
    let paths: Vec<PathBuf> = files
        .iter()
        .map(|log_file| log_file.path().to_owned())
        .collect();
    explain("a1", &paths).map(|report| report.text)
}

fn moved_line(second: u32, keys: &str, service: &str) -> String {
    let fields =
        json!({"service": service, "keys": keys, "from": "s1@7", "to": "s2@9", "fence": 8});
    log_line(second, "control-2", "keys moved", fields)
}

#[gtest]
fn key_that_moved_while_the_entry_vm_was_cut_off() {
    let lines = [
        refused_line("no-owner", "s1@7:wrong-server:2ms", 2400),
        moved_line(28, "0-99", "archive"),
        moved_line(28, "100-199", "archive"),
        moved_line(28, "0-99", "ledger"),
        log_line(28, "entry-1", "link to control VM lost", json!({})),
        log_line(28, "entry-2", "link to control VM lost", json!({})),
        log_line(2, "entry-1", "link to control VM lost", json!({})),
    ];
    let text = explanation_of(&lines).expect("an explanation");
    expect_that!(
        text,
        contains_substring("cut off from the control VMs for 2400 ms")
    );
    expect_that!(text, contains_substring("keys=0-99"));
    expect_that!(text, not(contains_substring("keys=100-199")));
    expect_that!(text, not(contains_substring("service=ledger")));
    // Of the three lines, only one is from the same entry process and close in time.
    expect_that!(text.matches("link to control VM lost").count(), eq(1));
}

#[gtest]
fn server_that_stopped_or_was_overloaded() {
    let ended = [
        refused_line("unreachable", "s1@7:unreachable:301ms,s3@7:refused:1ms", 90),
        log_line(
            36,
            "control-2",
            "server removed",
            json!({"server": "s3@7", "index": 9}),
        ),
    ];
    let text = explanation_of(&ended).expect("an explanation");
    expect_that!(
        text,
        contains_substring("server s3@7 had stopped or was cut off")
    );
    let cut = [refused_line("unreachable", "s1@7:unreachable:301ms", 2253)];
    let text = explanation_of(&cut).expect("an explanation");
    expect_that!(
        text,
        contains_substring("2253 ms and could not reach the server: the entry VM was cut off")
    );
    let full = [refused_line("overloaded", "s1@7:turned-away:6ms", 90)];
    let text = explanation_of(&full).expect("an explanation");
    expect_that!(
        text,
        contains_substring("all servers that may serve the request were overloaded")
    );
}

#[gtest]
fn server_that_accepted_the_request_and_did_not_answer() {
    let lines = [
        refused_line("timed-out", "s1@7:silent:900ms", 90),
        log_line(
            33,
            "control-2",
            "call to server failed",
            json!({"server": "s1@7", "call": "grant", "keys": "0-99", "outcome": "unanswered"}),
        ),
    ];
    let text = explanation_of(&lines).expect("an explanation");
    expect_that!(
        text,
        contains_substring("call to server s1@7 failed as well, 3s before or after the request")
    );
    let text = explanation_of(&lines[..1]).expect("an explanation");
    expect_that!(text, contains_substring("did not answer in time"));
}

#[gtest]
fn request_without_a_line_is_a_typed_error() {
    let failure = explanation_of(&[moved_line(28, "0-99", "archive")]);
    expect_that!(
        failure,
        err(matches_pattern!(CtlError::UnknownRequest {
            request: eq("a1")
        }))
    );
    let missing = [PathBuf::from("/nowhere/at/all")];
    expect_that!(explain("a1", &missing), err(anything()));
}

#[gtest]
fn request_beyond_the_rate_limit_of_its_server() {
    let fields = json!({"request": "a1", "reason": "server-limited", "attempts": "", "key": 70,
        "service": "archive", "contact_age_ms": 200, "may_have_run": false,
        "limited_server": "s1@7", "limit_per_s": 6.2, "limit_age_ms": 340});
    let load = json!({"server": "s1@7", "rate_per_s": 6.2, "sent": 1, "denied": 9});
    let message = "requests to backend server with a rate limit";
    let lines = [
        log_line(30, "entry-1", "request refused", fields),
        log_line(30, "entry-2", message, load),
    ];
    let text = explanation_of(&lines).expect("an explanation");
    let cause = "server s1@7 takes 6.2 requests a second from all entry VMs together, as an answer \
        340 ms before showed";
    expect_that!(text, contains_substring(cause));
    expect_that!(text, contains_substring("entry-2"));
}

#[gtest]
fn request_to_a_server_that_rests() {
    let fields = json!({"request": "a1", "reason": "server-resting", "attempts": "", "key": 70,
        "service": "archive", "contact_age_ms": 200, "may_have_run": false,
        "rest_age_ms": 1200, "rest_left_ms": 1800});
    let line = log_line(30, "entry-1", "request refused", fields);
    let text = explanation_of(&[line]).expect("an explanation");
    let cause = "the server had asked this entry VM for a pause 1200 ms before, which went on for \
        1800 ms";
    expect_that!(text, contains_substring(cause));
}

fn relayed_line(vm: &str, request: &str, outcome: &str) -> String {
    let fields = json!({"request": request, "from": "entry-1", "server": "s1@7",
        "outcome": outcome, "took_ms": 12, "bytes": 400});
    log_line(30, vm, "relayed request", fields)
}

#[gtest]
fn request_that_another_entry_vm_relayed_is_followed_there() {
    let fields = json!({"request": "a1", "status": 200, "service": "archive",
        "attempts": "s1@7:unreachable:301ms,s1@7:answered:12ms:by-entry-2"});
    let lines = [
        log_line(30, "entry-1", "request answered", fields),
        relayed_line("entry-2", "a1", "answer"),
        relayed_line("entry-3", "a2", "answer"),
    ];
    let text = explanation_of(&lines).expect("an explanation");
    let cause = "a backend server answered by way of entry VM entry-2";
    expect_that!(text, contains_substring(cause));
    expect_that!(text, contains_substring("entry-2 relayed request: "));
    expect_that!(text, contains_substring("from=entry-1"));
    // The line of the other entry VM has no cause of its own, and other requests are left out.
    expect_that!(text.matches("cause: ").count(), eq(1));
    expect_that!(text, not(contains_substring("entry-3")));
}

#[gtest]
fn request_that_could_not_be_relayed() {
    for (outcome, cause) in [
        ("relay-unavailable", "could not be reached, or refused"),
        ("refused-by-relay", "was to relay the request refused"),
        (
            "unreachable-from-relay",
            "could not reach the server either",
        ),
        ("relay-broken", "broke after part of it was sent"),
    ] {
        let attempts = format!("s1@7:{outcome}:12ms:by-entry-2");
        let lines = [refused_line("unreachable", &attempts, 90)];
        let text = explanation_of(&lines).expect("an explanation");
        expect_that!(text, contains_substring(cause), "{outcome}");
    }
}
