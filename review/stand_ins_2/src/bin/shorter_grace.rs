//! The settings lower `graceS`, and a machine that serves requesters is stopped after that.

use std::collections::BTreeMap;
use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use review_stand_ins_2::endpoint::{Config, Endpoint};
use review_stand_ins_2::http::Connection;
use review_stand_ins_2::machines::{Machines, ZONES};
use review_stand_ins_2::manifest::{manifest, put_until_acknowledged};
use review_stand_ins_2::record::Record;

/// Requesters, half of them in the zone of each machine that serves requesters.
const REQUESTERS: usize = 24;
const FORMER_GRACE: Duration = Duration::from_secs(6);
const SHORTER_GRACE: Duration = Duration::from_secs(2);
const DEADLINE: Duration = Duration::from_millis(2500);

/// A request as its requester sees it.
struct Sent {
    front: usize,
    sent: Instant,
    ended: Instant,
    status: Option<u16>,
}

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
    for number in 0..2_u8 {
        endpoints.push(Endpoint::start(
            Config {
                id: format!("i-{number}"),
                service: "orders",
                zone: ZONES[usize::from(number)],
                address: machines.endpoint_address(number),
                core: core.clone(),
                slots: 3,
                queue: 12,
                is_keyed: false,
                work: Duration::from_millis(290),
            },
            record.clone(),
        )?);
    }
    let routes = [("orders.example", "/orders/", "unsafe", 2.5, "orders")];
    let text = manifest(7, &routes, &[("orders", false)]);
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
    // The machine to which the platform sends new connections of the requesters of the first one's zone.
    let in_rotation = Arc::new(AtomicUsize::new(0));
    let is_over = Arc::new(AtomicBool::new(false));
    let numbers = Arc::new(AtomicU64::new(0));
    let sent = Arc::new(Mutex::new(BTreeMap::<String, Sent>::new()));
    let addresses = [
        machines.all[fronts[0]].address(),
        machines.all[fronts[1]].address(),
    ];
    let requesters: Vec<_> = (0..REQUESTERS)
        .map(|number| {
            let (is_over, in_rotation) = (is_over.clone(), in_rotation.clone());
            let (numbers, sent, record) = (numbers.clone(), sent.clone(), record.clone());
            spawn(move || {
                let mut kept: Option<(usize, Connection)> = None;
                while !is_over.load(Ordering::SeqCst) {
                    let front = match &kept {
                        Some((front, _)) => *front,
                        None if number % 2 == 0 => in_rotation.load(Ordering::SeqCst),
                        None => 1,
                    };
                    let opened = match kept.take() {
                        Some((_, connection)) => Ok(connection),
                        None => Connection::open(addresses[front], Duration::from_secs(1)),
                    };
                    let Ok(mut connection) = opened else {
                        sleep(Duration::from_millis(100));
                        continue;
                    };
                    let id = format!("a{:06}", numbers.fetch_add(1, Ordering::SeqCst));
                    let headers = [
                        ("Host", "orders.example".to_owned()),
                        ("Attempt-Id", id.clone()),
                        ("Deadline-Ms", DEADLINE.as_millis().to_string()),
                    ];
                    let _ = connection.stream.set_read_timeout(Some(DEADLINE));
                    let began = Instant::now();
                    let answer = connection
                        .write("POST /orders/1 HTTP/1.1", &headers, b"one order")
                        .and_then(|()| connection.read());
                    let answer = answer.ok().flatten();
                    let status = answer.as_ref().map(|answer| answer.status());
                    let outcome =
                        status.map_or("no answer".to_owned(), |status| status.to_string());
                    let took = began.elapsed().as_millis();
                    record.line(&format!(
                        "{id} by {}: {outcome} after {took} ms",
                        addresses[front]
                    ));
                    let request = Sent {
                        front,
                        sent: began,
                        ended: Instant::now(),
                        status,
                    };
                    sent.lock().expect("sent").insert(id, request);
                    if let Some(answer) = answer {
                        let closes = answer
                            .header("connection")
                            .is_some_and(|value| value == "close");
                        if answer.status() == 503 {
                            sleep(Duration::from_millis(300));
                        }
                        if !closes {
                            kept = Some((front, connection));
                        }
                    }
                }
            })
        })
        .collect();
    sleep(Duration::from_secs(4));
    let grace = if has_trouble {
        SHORTER_GRACE
    } else {
        FORMER_GRACE
    };
    if has_trouble {
        record
            .line("the settings files change: graceS=2 instead of 6; SIGHUP to the front machines");
        for (name, value) in &mut machines.bounds {
            if name == "graceS" {
                *value = "2".to_owned();
            }
        }
        for at in &fronts {
            machines.write_settings(*at, false)?;
            machines.signal(*at, "HUP");
        }
    }
    sleep(Duration::from_secs(5));
    let stopped = fronts[0];
    record.line(&format!("SIGTERM to {}", machines.all[stopped].name));
    let stop_at = Instant::now();
    machines.signal(stopped, "TERM");
    // The platform asks once a second, and takes a machine out of rotation after two misses.
    let mut misses = 0;
    let mut asked_at = stop_at + Duration::from_millis(500);
    let mut has_ended = false;
    while stop_at.elapsed() < grace {
        if Instant::now() >= asked_at {
            asked_at += Duration::from_secs(1);
            misses = if machines.is_ready(stopped) {
                0
            } else {
                misses + 1
            };
            if misses == 2 {
                record.line("out of rotation");
                in_rotation.store(1, Ordering::SeqCst);
            }
        }
        if !has_ended && machines.has_ended(stopped) {
            has_ended = true;
            record.line("the process has ended by itself");
            in_rotation.store(1, Ordering::SeqCst);
        }
        sleep(Duration::from_millis(5));
    }
    if !has_ended {
        record.line("graceS is over: SIGKILL");
        machines.kill(stopped);
    }
    let killed_at = Instant::now();
    in_rotation.store(1, Ordering::SeqCst);
    sleep(Duration::from_millis(500));
    machines.start(stopped, false)?;
    sleep(Duration::from_secs(4));
    is_over.store(true, Ordering::SeqCst);
    for requester in requesters {
        let _ = requester.join();
    }
    let last_sixth = stop_at + grace.mul_f64(5.0 / 6.0);
    let mut lost = 0;
    for (id, request) in sent.lock().expect("sent").iter() {
        let is_unanswered = request.status.is_none() && request.front == 0;
        let is_around_stop = request.ended >= stop_at && request.sent <= killed_at;
        let is_out_of_time = request.ended >= request.sent + DEADLINE;
        if !is_unanswered || !is_around_stop || is_out_of_time {
            continue;
        }
        let seen = endpoints
            .iter()
            .find_map(|endpoint| endpoint.seen.lock().expect("seen").get(id).copied());
        let Some(seen) = seen else { continue };
        let was_at_work = seen.began.is_some_and(|began| began <= killed_at)
            && seen.ended.is_none_or(|ended| ended >= last_sixth)
            && request.sent <= stop_at + Duration::from_secs(3);
        let passed_on = seen.arrived.saturating_duration_since(stop_at).as_millis();
        if was_at_work {
            record.line(&format!(
                "{id} ends without an answer; its endpoint was at work on it: not counted"
            ));
        } else {
            lost += 1;
            record.line(&format!(
                "{id} was passed on {passed_on} ms after the SIGTERM, not at work at the end, and ends without an answer"
            ));
        }
    }
    let total = sent.lock().expect("sent").len();
    record.line(&format!(
        "{lost} of {total} requests were lost in the planned stop"
    ));
    let is_broken = lost > 0;
    record.line(if is_broken {
        "the rule was broken"
    } else {
        "the rule held"
    });
    Ok(!is_broken)
}
