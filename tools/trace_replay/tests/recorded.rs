//! Replays every recorded trace and compares it with its expected outcomes.

use std::fs;
use std::path::{Path, PathBuf};

use googletest::prelude::*;
use trace_replay::{replay_control, replay_entry};

fn traces() -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../traces/processes");
    let entries = fs::read_dir(folder).expect("the traces are part of the repository");
    let paths = entries.map(|entry| entry.expect("a readable folder").path());
    let mut traces: Vec<PathBuf> = paths
        .filter(|path| {
            path.extension()
                .is_some_and(|extension| extension == "jsonl")
        })
        .collect();
    traces.sort();
    traces
}

fn outcomes_of(trace: &Path) -> Vec<String> {
    let name = trace.file_name().unwrap_or_default().to_string_lossy();
    let outcomes = if name.ends_with("-entry.jsonl") {
        replay_entry(trace)
    } else {
        replay_control(trace)
    };
    outcomes.expect("a readable trace")
}

#[gtest]
fn recorded_traces_have_their_expected_outcomes() {
    let traces = traces();
    expect_that!(traces.len(), ge(4));
    for trace in traces {
        let expected = fs::read_to_string(trace.with_extension("outcomes"))
            .expect("each trace has a file of expected outcomes");
        let replayed = outcomes_of(&trace).join("\n");
        expect_that!(replayed.trim_end(), eq(expected.trim_end()), "{trace:?}");
    }
}
