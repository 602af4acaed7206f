//! A planned stop of one entry process while it receives uploads whose bodies come slowly.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::endpoint::{Endpoint, EndpointConfig, Owners, Runs};
use crate::http::{Connection, Message};
use crate::site::{ENDPOINT_PORT, SIGTERM, Site, ZONES};
use crate::verdict::Verdict;

const MANIFEST: &str = r#"{"version":"r7","routes":{"columns":["name","hostname","pathPrefix","kind","timeoutS","targetLatencyS","priority","trafficSplit","maxAttempts","service"],"rows":[["uploads","one.example","/uploads/","upload",8,1.2,1,null,2,"desk"]]},"services":{"columns":["name","healthPath","maxConns","protocol","tls","sharded","warmupS","grants"],"rows":[["desk","/health",450,"h1",false,null,null,null]]},"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15}}"#;
const ENDPOINTS: u8 = 4;
const UPLOADS: u64 = 8;
const BODY_BYTES: usize = 60_000;
const PARTS: usize = 20;
/// Time in which a requester sends its body.
const SENDS_FOR: Duration = Duration::from_millis(3300);
const TIME_BUDGET: Duration = Duration::from_secs(8);
/// Requests that were sent no later than this after the SIGTERM are excused.
const EXCUSED: Duration = Duration::from_secs(3);

struct Sent {
    id: String,
    begun_at: Instant,
    sent_at: Instant,
    /// The status and whether the answer is the endpoint's, or the error.
    answer: Result<(u16, bool), String>,
    answered_at: Instant,
}

pub fn run(site: &Site, has_trouble: bool) -> Verdict {
    let record = &site.record;
    site.start_all();
    if !site.put(MANIFEST, Duration::from_secs(20)) {
        return Verdict::NotRun("no manifest was acknowledged".into());
    }
    let runs = Arc::new(Runs::default());
    let owners = Arc::new(Owners::default());
    let _endpoints: Vec<Arc<Endpoint>> = (0..ENDPOINTS)
        .map(|index| {
            let config = EndpointConfig {
                id: format!("i-{index}"),
                born_ms: None,
                service: "desk".into(),
                zone: ZONES[usize::from(index) % 3].into(),
                address: site.address(101 + index, ENDPOINT_PORT),
                controls: site.control_addresses(),
                is_keyed: false,
                slots: 6,
                queue: 24,
                work: Duration::from_millis(900),
                starts_cut: false,
            };
            Endpoint::start(config, record.clone(), runs.clone(), owners.clone())
        })
        .collect();
    if !site.await_ready(Duration::from_secs(10)) {
        return Verdict::NotRun("an entry process isn't ready".into());
    }
    thread::sleep(Duration::from_secs(2));

    let stop_at = Instant::now() + Duration::from_secs(1);
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let mut requesters = Vec::new();
    for number in 0..UPLOADS {
        let (sent, front) = (sent.clone(), site.front_address(0));
        requesters.push(thread::spawn(move || {
            let begins_at = stop_at + Duration::from_millis(1500 + 60 * number);
            thread::sleep(begins_at.saturating_duration_since(Instant::now()));
            let id = format!("{number:016x}");
            let begun_at = Instant::now();
            let mut sent_at = begun_at;
            let answer = upload(front, &id, &mut sent_at);
            let answer = answer
                .map(|answer| (answer.status(), answer.header("response-seal").is_some()))
                .map_err(|error| error.to_string());
            sent.lock().unwrap().push(Sent {
                id,
                begun_at,
                sent_at,
                answer,
                answered_at: Instant::now(),
            });
        }));
    }
    thread::sleep(stop_at.saturating_duration_since(Instant::now()));
    if has_trouble {
        record.say("entry-0 is stopped as planned (SIGTERM, graceS 6)");
        site.signal(&site.entries[0], SIGTERM);
    }
    for requester in requesters {
        let _ = requester.join();
    }

    let sent = sent.lock().unwrap();
    let mut lost = 0;
    let mut passed_on = 0;
    for one in sent.iter() {
        let after = |at: Instant| at.saturating_duration_since(stop_at);
        let has_run = runs.count(&one.id) > 0;
        passed_on += usize::from(has_run);
        let is_whole = matches!(one.answer, Ok((_, true)));
        let is_in_budget = one.answered_at - one.begun_at < TIME_BUDGET;
        let is_lost = has_run && !is_whole && is_in_budget && after(one.sent_at) > EXCUSED;
        lost += usize::from(is_lost);
        record.line(&format!(
            "{}upload {}: begun {:.2} s after the signal, last byte sent at {:.2} s, run: {has_run}, answered {:?} at {:.2} s",
            if is_lost { "LOST: " } else { "" },
            one.id,
            after(one.begun_at).as_secs_f64(),
            after(one.sent_at).as_secs_f64(),
            one.answer,
            after(one.answered_at).as_secs_f64()
        ));
    }
    record.say(&format!(
        "{} uploads sent, {passed_on} passed on to an endpoint; broken off while their endpoint was at work: {lost}",
        sent.len()
    ));
    if !has_trouble && passed_on < sent.len() {
        return Verdict::NotRun("not all uploads were passed on".into());
    }
    Verdict::of(lost > 0)
}

/// Sends an upload part by part, and returns its answer.
fn upload(to: std::net::SocketAddr, id: &str, sent_at: &mut Instant) -> std::io::Result<Message> {
    let until = Instant::now() + TIME_BUDGET;
    let mut connection = Connection::open(to, Duration::from_secs(1))?;
    let head = format!(
        "POST /uploads/{id} HTTP/1.1\r\nHost: one.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: {}\r\nContent-Length: {BODY_BYTES}\r\n\r\n",
        TIME_BUDGET.as_millis()
    );
    connection.write(head.as_bytes())?;
    for part in 0..PARTS {
        if part > 0 {
            thread::sleep(SENDS_FOR / (PARTS as u32 - 1));
        }
        connection.write(&[b'x'; BODY_BYTES / PARTS])?;
        *sent_at = Instant::now();
    }
    connection.read(until)
}
