//! Late copies of refusals on a connection that carries the same order once more.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::endpoint::{Copied, Endpoint, EndpointConfig, Owners, Runs};
use crate::requester::{Attempt, Requester, is_promise};
use crate::site::{ENDPOINT_PORT, Site, ZONES};
use crate::verdict::Verdict;

const MANIFEST: &str = r#"{"version":"r7","routes":{"columns":["name","hostname","pathPrefix","kind","timeoutS","targetLatencyS","priority","trafficSplit","maxAttempts","service"],"rows":[["saves","one.example","/saves/","unsafe",1.2,0.4,1,null,2,"formatter"]]},"services":{"columns":["name","healthPath","maxConns","protocol","tls","sharded","warmupS","grants"],"rows":[["formatter","/health",110,"h1",false,true,3.0,"direct"]]},"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15}}"#;
const ENDPOINTS: u8 = 5;
/// Share of the endpoints that are faulty: 3 of 5.
const FAULTY: usize = 3;
const FAULT: Duration = Duration::from_secs(5);

pub fn run(site: &Site, has_trouble: bool) -> Verdict {
    let record = &site.record;
    site.start_all();
    if !site.put(MANIFEST, Duration::from_secs(20)) {
        return Verdict::NotRun("no manifest was acknowledged".into());
    }
    let runs = Arc::new(Runs::default());
    let owners = Arc::new(Owners::default());
    let endpoints: Vec<Arc<Endpoint>> = (0..ENDPOINTS)
        .map(|index| {
            let config = EndpointConfig {
                id: format!("i-{index}"),
                born_ms: Some(1_780_000_000_000 + u64::from(index)),
                service: "formatter".into(),
                zone: ZONES[usize::from(index) % 3].into(),
                address: site.address(101 + index, ENDPOINT_PORT),
                controls: site.control_addresses(),
                is_keyed: true,
                slots: 3,
                queue: 2,
                work: Duration::from_millis(20),
                starts_cut: false,
            };
            Endpoint::start(config, record.clone(), runs.clone(), owners.clone())
        })
        .collect();
    let until = Instant::now() + Duration::from_secs(20);
    while endpoints
        .iter()
        .any(|endpoint| endpoint.held_key().is_none())
    {
        if Instant::now() >= until {
            return Verdict::NotRun("an endpoint was granted no keys".into());
        }
        thread::sleep(Duration::from_millis(100));
    }
    if !site.await_ready(Duration::from_secs(10)) {
        return Verdict::NotRun("an entry process isn't ready".into());
    }
    thread::sleep(Duration::from_secs(3));

    let answers: Arc<Mutex<Vec<(String, Option<u16>)>>> = Arc::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let numbers = Arc::new(AtomicU64::new(0));
    let mut callers = Vec::new();
    for endpoint in &endpoints {
        for entry in 0..3 {
            for caller in 0..3 {
                let (endpoint, answers, is_over, numbers, record) = (
                    endpoint.clone(),
                    answers.clone(),
                    is_over.clone(),
                    numbers.clone(),
                    record.clone(),
                );
                let front = site.front_address(entry);
                let mut random =
                    Random(0x9e37 + numbers.fetch_add(1, Ordering::SeqCst) * 77 + caller);
                callers.push(thread::spawn(move || {
                    let mut requester = Requester::default();
                    while !is_over.load(Ordering::SeqCst) {
                        let Some(key) = endpoint.held_key() else {
                            thread::sleep(Duration::from_millis(20));
                            continue;
                        };
                        let number = numbers.fetch_add(1, Ordering::SeqCst);
                        let attempt = Attempt {
                            id: format!("{number:016x}"),
                            method: "POST",
                            path: format!("/saves/{number}"),
                            host: "one.example".into(),
                            key: Some(key),
                            time_left: Duration::from_millis(2500),
                            body: b"save".to_vec(),
                        };
                        let answer = requester.send(front, &attempt);
                        let status = answer.ok().map(|answer| answer.status());
                        if status != Some(200) {
                            record.line(&format!("order {} is answered {status:?}", attempt.id));
                        }
                        answers.lock().unwrap().push((attempt.id, status));
                        thread::sleep(Duration::from_millis(random.next() % 60));
                    }
                }));
            }
        }
    }
    thread::sleep(Duration::from_secs(3));
    if has_trouble {
        record.say("3 of 5 endpoints write up to 3 in 100 answers once more, late, for 5 s");
        for endpoint in &endpoints[..FAULTY] {
            endpoint.begin_late_copies(Copied::Refusals, FAULT);
        }
    }
    thread::sleep(FAULT + Duration::from_secs(3));
    is_over.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    thread::sleep(Duration::from_secs(2));

    let answers = answers.lock().unwrap();
    let copies: u64 = endpoints
        .iter()
        .map(|endpoint| endpoint.copies_written.load(Ordering::SeqCst))
        .sum();
    let served = answers
        .iter()
        .filter(|(_, status)| *status == Some(200))
        .count();
    let mut twice = Vec::new();
    let mut refused = Vec::new();
    for (id, status) in answers.iter() {
        let count = runs.count(id);
        if count > 1 {
            twice.push(id.as_str());
            record.line(&format!(
                "TWICE: order {id} ran {count} times, answered {status:?}"
            ));
        }
        if count > 0 && status.is_some_and(is_promise) {
            refused.push(id.as_str());
            record.line(&format!(
                "REFUSED: order {id} ran {count} times, answered {status:?}"
            ));
        }
    }
    record.say(&format!(
        "{} orders sent, {served} served, {copies} late copies written; ran more than once: {}; ran and refused with a promise: {}",
        answers.len(),
        twice.len(),
        refused.len()
    ));
    if served < 500 || (has_trouble && copies == 0) {
        return Verdict::NotRun("too few orders or no late copies".into());
    }
    Verdict::of(!twice.is_empty() || !refused.is_empty())
}

/// A small generator of numbers that differ between callers.
struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 >> 11
    }
}
