//! Tests of writing and reading traces.

use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use chicory_trace::{EventTrace, TraceError, TraceReader, TraceWriter, TracedProcess};
use googletest::prelude::*;

#[derive(Clone, Default)]
struct SharedBuffer(Arc<Mutex<Vec<u8>>>);

impl Write for SharedBuffer {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn written_trace() -> Vec<u8> {
    let buffer = SharedBuffer::default();
    let mut writer = TraceWriter::new(
        Box::new(buffer.clone()),
        TracedProcess::Entry,
        Duration::ZERO,
        &7_u32,
    )
    .unwrap();
    for event in ["first", "second"] {
        writer.record(Duration::from_nanos(5), &event.to_owned());
    }
    drop(writer);
    std::mem::take(&mut buffer.0.lock().unwrap())
}

fn read_trace(
    bytes: &[u8],
    process: TracedProcess,
) -> Result<TraceReader<u32, String>, TraceError> {
    TraceReader::read(bytes, process)
}

#[gtest]
fn trace_is_read_as_it_was_written() {
    let trace = read_trace(&written_trace(), TracedProcess::Entry).unwrap();
    expect_that!(trace.config, eq(7));
    let events: Vec<&str> = trace.lines.iter().map(|line| line.event.as_str()).collect();
    expect_that!(events, elements_are![eq(&"first"), eq(&"second")]);
    expect_that!(trace.lines[0].now(), eq(Duration::from_nanos(5)));
}

#[gtest]
fn incomplete_last_line_is_skipped() {
    let mut bytes = written_trace();
    bytes.truncate(bytes.len() - 3);
    let trace = read_trace(&bytes, TracedProcess::Entry).unwrap();
    expect_that!(trace.lines.len(), eq(1));
}

#[gtest]
fn other_processes_other_versions_and_malformed_lines_are_rejected() {
    let wrong_process = read_trace(&written_trace(), TracedProcess::Control);
    expect_that!(wrong_process, err(pat!(TraceError::WrongProcess { .. })));
    let text = String::from_utf8(written_trace()).unwrap();
    let other_version = text.replace("\"version\":2", "\"version\":1");
    let wrong_version = read_trace(other_version.as_bytes(), TracedProcess::Entry);
    expect_that!(wrong_version, err(pat!(TraceError::WrongVersion { .. })));
    let malformed_text = text.replace("\"second\"", "second");
    let malformed = read_trace(malformed_text.as_bytes(), TracedProcess::Entry);
    expect_that!(
        malformed,
        err(pat!(TraceError::BadLine { line: eq(&3), .. }))
    );
    expect_that!(
        read_trace(b"", TracedProcess::Entry),
        err(pat!(TraceError::Empty))
    );
}
