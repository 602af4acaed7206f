//! Conflicting edits of operators, and resends.

use std::path::Path;
use std::process::Output;

use chicory_standin::check::CheckReport;
use serde_json::Value;

use super::failure_run::{FailureRun, expect};
use super::server_failures::ONE_ZONE;
use crate::RunnerError;
use crate::services::ARCHIVE;

/// Time in which a server serves a request.
const SERVICE_TIME: &str = "2ms";
/// Exit code of `chicoryctl` for a refused edit, such as one that conflicts with another.
const EXIT_REFUSED: i32 = 1;

/// Of two edits based on the same revision exactly one is accepted, and a resend of it gets the
/// same answer.
pub async fn race(binaries: &Path) -> Result<CheckReport, RunnerError> {
    let run = FailureRun::start(ONE_ZONE, binaries, SERVICE_TIME).await?;
    let operator = &run.cluster.operator;
    let table = operator.run(&["table", "get"]).await?;
    let base = table["revision"].to_string();
    let (first, second) = (
        edit("first", "weight=61", &base),
        edit("second", "weight=62", &base),
    );
    let (one, other) = tokio::join!(operator.output(&first), operator.output(&second));
    let (one, other) = (one?, other?);
    let accepted = [&one, &other].map(|output| output.status.success());
    let found = format!("{} and {}", describe(&one), describe(&other));
    expect(accepted[0] != accepted[1], "one accepted edit", found)?;
    let (winner, loser, command) = if accepted[0] {
        (one, other, first)
    } else {
        (other, one, second)
    };
    let is_conflict = loser.status.code() == Some(EXIT_REFUSED);
    expect(is_conflict, "a conflict", describe(&loser))?;
    let resent = operator.run(&command).await?;
    let answer: Value = serde_json::from_slice(&winner.stdout).unwrap_or_default();
    let found = format!("{resent} after {answer}");
    expect(resent == answer, "the same answer to a resend", found)?;
    run.finish(None).await
}

fn edit<'a>(edit_id: &'a str, change: &'a str, base: &'a str) -> [&'a str; 9] {
    [
        "table",
        "set",
        ARCHIVE,
        "*",
        change,
        "--edit-id",
        edit_id,
        "--base-revision",
        base,
    ]
}

fn describe(output: &Output) -> String {
    let stderr = String::from_utf8_lossy(&output.stderr);
    format!("{} {stderr}", output.status)
}
