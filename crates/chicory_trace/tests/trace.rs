//! Tests of writing and reading traces.

use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use chicory_trace::{EventTrace, TraceError, TraceReader, TraceWriter, TracedProcess};
use googletest::prelude::*;

#[derive(Clone, Default)]
struct Shared(Arc<Mutex<Vec<u8>>>);

impl Write for Shared {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn written() -> Vec<u8> {
    let shared = Shared::default();
    let mut writer = TraceWriter::new(
        Box::new(shared.clone()),
        TracedProcess::Entry,
        Duration::ZERO,
        &7_u32,
    )
    .unwrap();
    for event in ["first", "second"] {
        writer.record(Duration::from_nanos(5), &event.to_owned());
    }
    drop(writer);
    std::mem::take(&mut shared.0.lock().unwrap())
}

fn read(bytes: &[u8], process: TracedProcess) -> Result<TraceReader<u32, String>, TraceError> {
    TraceReader::read(bytes, process)
}

#[gtest]
fn a_trace_reads_back_as_it_was_written() {
    let trace = read(&written(), TracedProcess::Entry).unwrap();
    expect_that!(trace.config, eq(7));
    let events: Vec<&str> = trace.lines.iter().map(|line| line.event.as_str()).collect();
    expect_that!(events, elements_are![eq(&"first"), eq(&"second")]);
    expect_that!(trace.lines[0].now(), eq(Duration::from_nanos(5)));
}

#[gtest]
fn a_last_line_without_its_end_is_passed_over() {
    let mut bytes = written();
    bytes.truncate(bytes.len() - 3);
    let trace = read(&bytes, TracedProcess::Entry).unwrap();
    expect_that!(trace.lines.len(), eq(1));
}

#[gtest]
fn other_processes_versions_and_lines_are_refused() {
    let wrong_process = read(&written(), TracedProcess::Control);
    expect_that!(wrong_process, err(pat!(TraceError::WrongProcess { .. })));
    let text = String::from_utf8(written()).unwrap();
    let other_version = text.replace("\"version\":2", "\"version\":1");
    let wrong_version = read(other_version.as_bytes(), TracedProcess::Entry);
    expect_that!(wrong_version, err(pat!(TraceError::WrongVersion { .. })));
    let bad_line = text.replace("\"second\"", "second");
    let bad = read(bad_line.as_bytes(), TracedProcess::Entry);
    expect_that!(bad, err(pat!(TraceError::BadLine { line: eq(&3), .. })));
    expect_that!(
        read(b"", TracedProcess::Entry),
        err(pat!(TraceError::Empty))
    );
}
