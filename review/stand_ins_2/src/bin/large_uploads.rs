//! Requesters upload large bodies, usually a few at a time and sometimes 1.8 times as many.
//!
//! The platform kills a process that uses more memory than its settings state.

use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use review_stand_ins_2::endpoint::{Config, Endpoint};
use review_stand_ins_2::http::call;
use review_stand_ins_2::machines::{MEMORY_MB, Machines, ZONES, resident_bytes};
use review_stand_ins_2::manifest::{manifest, put_until_acknowledged};
use review_stand_ins_2::record::Record;

/// Size of a body; the manifest allows 67,108,864 bytes.
const BODY_BYTES: usize = 8_000_000;
/// Requesters at each front machine in usual times.
const USUAL: usize = 10;
/// Requesters at each front machine during a burst: 1.8 times as many.
const BURST: usize = 18;
/// Length of a burst, and time from one to the next.
const BURST_TIME: Duration = Duration::from_millis(2400);
const BURST_INTERVAL: Duration = Duration::from_secs(11);
const LOAD_TIME: Duration = Duration::from_secs(95);
/// Time for which a requester waits, in milliseconds.
const DEADLINE_MS: u64 = 10_000;

fn main() -> ExitCode {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".to_owned());
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Arc::new(Record::create(&Path::new(&folder).join("record.txt")).expect("record"));
    match run(&record, has_trouble) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(failure) => {
            record.line(&format!("the case could not run: {failure}"));
            ExitCode::from(2)
        }
    }
}

fn run(record: &Arc<Record>, has_trouble: bool) -> std::io::Result<bool> {
    let mut machines = Machines::new(3, 2)?;
    for at in 0..machines.all.len() {
        machines.start(at, true)?;
    }
    let core = machines.core_addresses();
    let mut endpoints = Vec::new();
    for number in 0..10_u8 {
        endpoints.push(Endpoint::start(
            Config {
                id: format!("i-{number}"),
                service: "drafts",
                zone: ZONES[usize::from(number) % 3],
                address: machines.endpoint_address(number),
                core: core.clone(),
                slots: 6,
                queue: 12,
                is_keyed: false,
                work: Duration::from_millis(230),
            },
            record.clone(),
        )?);
    }
    let text = manifest(
        7,
        &[("drafts.example", "/drafts/", "upload", 10.0, "drafts")],
        &[("drafts", false)],
    );
    if !put_until_acknowledged(&core, &text, Duration::from_secs(10)) {
        return Err(std::io::Error::other("the manifest was not acknowledged"));
    }
    let fronts = machines.fronts();
    let until = Instant::now() + Duration::from_secs(8);
    while !fronts.iter().all(|at| machines.is_ready(*at)) {
        if Instant::now() > until {
            return Err(std::io::Error::other("the front machines are not ready"));
        }
        sleep(Duration::from_millis(100));
    }
    sleep(Duration::from_secs(2));
    record.line("traffic begins");
    let is_over = Arc::new(AtomicBool::new(false));
    let in_burst = Arc::new(AtomicBool::new(false));
    let outcomes = Arc::new(Mutex::new(std::collections::BTreeMap::<String, u64>::new()));
    let body = Arc::new(vec![b'x'; BODY_BYTES]);
    let numbers = Arc::new(AtomicU64::new(0));
    let mut requesters = Vec::new();
    for at in &fronts {
        let address = machines.all[*at].address();
        for number in 0..BURST {
            let (record, body, numbers) = (record.clone(), body.clone(), numbers.clone());
            let (is_over, in_burst, outcomes) =
                (is_over.clone(), in_burst.clone(), outcomes.clone());
            requesters.push(spawn(move || {
                while !is_over.load(Ordering::SeqCst) {
                    if number >= USUAL && !in_burst.load(Ordering::SeqCst) {
                        sleep(Duration::from_millis(20));
                        continue;
                    }
                    let id = format!("a{:08x}", numbers.fetch_add(1, Ordering::SeqCst));
                    let headers = [
                        ("Host", "drafts.example".to_owned()),
                        ("Attempt-Id", id.clone()),
                        ("Deadline-Ms", DEADLINE_MS.to_string()),
                    ];
                    record.line(&format!("{id} sent to {address}, {BODY_BYTES} bytes"));
                    let answer = call(
                        address,
                        "POST /drafts/1",
                        &headers,
                        &body,
                        Duration::from_millis(DEADLINE_MS),
                    );
                    let outcome = match answer {
                        Ok(answer) => answer.status().to_string(),
                        Err(failure) => format!("no answer ({:?})", failure.kind()),
                    };
                    record.line(&format!("{id} ends: {outcome}"));
                    *outcomes
                        .lock()
                        .expect("outcomes")
                        .entry(outcome)
                        .or_default() += 1;
                    sleep(Duration::from_millis(50 + 7 * (number as u64 % 7)));
                }
            }));
        }
    }
    let mut ends = vec![0; machines.all.len()];
    let mut peak = vec![0; machines.all.len()];
    let began = Instant::now();
    let mut restart_at: Vec<Option<Instant>> = vec![None; machines.all.len()];
    while began.elapsed() < LOAD_TIME {
        let phase_ms = began.elapsed().as_millis() % BURST_INTERVAL.as_millis();
        let is_burst = has_trouble && phase_ms >= (BURST_INTERVAL - BURST_TIME).as_millis();
        if in_burst.swap(is_burst, Ordering::SeqCst) != is_burst {
            record.line(if is_burst {
                "burst begins"
            } else {
                "burst ends"
            });
        }
        for at in &fronts {
            if restart_at[*at].is_some_and(|due| Instant::now() >= due) {
                restart_at[*at] = None;
                machines.start(*at, false)?;
            }
            let Some(bytes) = machines.all[*at].pid().and_then(resident_bytes) else {
                continue;
            };
            peak[*at] = bytes.max(peak[*at]);
            if bytes > MEMORY_MB * 1024 * 1024 {
                ends[*at] += 1;
                let name = machines.all[*at].name.clone();
                record.line(&format!(
                    "{name} uses {} MB, more than {MEMORY_MB} MB: killed",
                    bytes / 1_048_576
                ));
                machines.kill(*at);
                restart_at[*at] = Some(Instant::now() + Duration::from_millis(500));
            }
        }
        sleep(Duration::from_millis(10));
    }
    is_over.store(true, Ordering::SeqCst);
    for requester in requesters {
        let _ = requester.join();
    }
    for at in &fronts {
        let name = &machines.all[*at].name;
        record.line(&format!(
            "{name}: {} ends by memory, {} MB at most",
            ends[*at],
            peak[*at] / 1_048_576
        ));
    }
    let outcomes = outcomes.lock().expect("outcomes");
    record.line(&format!("outcomes: {outcomes:?}"));
    // At least two machines end three times or more.
    let is_broken = fronts.iter().filter(|at| ends[**at] >= 3).count() >= 2;
    record.line(if is_broken {
        "the rule was broken"
    } else {
        "the rule held"
    });
    Ok(!is_broken)
}
