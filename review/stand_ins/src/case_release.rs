//! Late copies of the answers to releases, on the connection that carries the next release.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::endpoint::{Copied, Endpoint, EndpointConfig, Owners, Runs};
use crate::requester::{Attempt, Requester};
use crate::site::{ENDPOINT_PORT, Site, ZONES};
use crate::verdict::Verdict;

const MANIFEST: &str = r#"{"version":"r7","routes":{"columns":["name","hostname","pathPrefix","kind","timeoutS","targetLatencyS","priority","trafficSplit","maxAttempts","service"],"rows":[["saves","one.example","/saves/","unsafe",1.2,0.4,1,null,2,"formatter"]]},"services":{"columns":["name","healthPath","maxConns","protocol","tls","sharded","warmupS","grants"],"rows":[["formatter","/health",110,"h1",false,true,3.0,"direct"]]},"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15}}"#;
const ENDPOINTS: u8 = 5;
const FAULTY: usize = 3;
/// Endpoints that are replaced: 0.45 of 5.
const REPLACED: usize = 2;
/// Endpoints that are added at most.
const ROUNDS: usize = 4;
const FAULT: Duration = Duration::from_secs(5);

pub fn run(site: &Site, has_trouble: bool) -> Verdict {
    let record = &site.record;
    site.start_all();
    if !site.put(MANIFEST, Duration::from_secs(20)) {
        return Verdict::NotRun("no manifest was acknowledged".into());
    }
    let runs = Arc::new(Runs::default());
    let owners = Arc::new(Owners::default());
    let start = |index: u8| {
        let config = EndpointConfig {
            id: format!("i-{index}"),
            born_ms: Some(1_780_000_000_000 + u64::from(index)),
            service: "formatter".into(),
            zone: ZONES[usize::from(index) % 3].into(),
            address: site.address(101 + index, ENDPOINT_PORT),
            controls: site.control_addresses(),
            is_keyed: true,
            slots: 6,
            queue: 24,
            work: Duration::from_millis(200),
            starts_cut: false,
        };
        record.line(&format!("endpoint i-{index} starts"));
        Endpoint::start(config, record.clone(), runs.clone(), owners.clone())
    };
    let mut endpoints: Vec<Arc<Endpoint>> = (0..ENDPOINTS).map(start).collect();
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
    thread::sleep(Duration::from_secs(2));

    let is_over = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicU64::new(0));
    let numbers = Arc::new(AtomicU64::new(1));
    let mut callers = Vec::new();
    for caller in 0..36 {
        let (is_over, numbers, served) = (is_over.clone(), numbers.clone(), served.clone());
        let front = site.front_address(caller % 3);
        callers.push(thread::spawn(move || {
            let mut requester = Requester::default();
            while !is_over.load(Ordering::SeqCst) {
                let number = numbers.fetch_add(1, Ordering::SeqCst);
                let key = number.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 48;
                let attempt = Attempt {
                    id: format!("{number:016x}"),
                    method: "POST",
                    path: format!("/saves/{number}"),
                    host: "one.example".into(),
                    key: Some(key as u32),
                    time_left: Duration::from_millis(2500),
                    body: b"save".to_vec(),
                };
                let answer = requester.send(front, &attempt);
                if answer.is_ok_and(|answer| answer.status() == 200) {
                    served.fetch_add(1, Ordering::SeqCst);
                }
                thread::sleep(Duration::from_millis(number % 30));
            }
        }));
    }
    thread::sleep(Duration::from_secs(2));
    // Planned work: endpoints of the service are replaced one after the other. The new one starts
    // first, the old one drains. Where no faulty endpoint had to release keys for the new one, the
    // replacement waits for the next round.
    let mut old: Vec<Arc<Endpoint>> = endpoints[ENDPOINTS as usize - FAULTY..].to_vec();
    let mut replaced = 0;
    for _ in 0..ROUNDS {
        if replaced == REPLACED {
            break;
        }
        if has_trouble {
            record.say("3 of 5 endpoints write up to 3 in 100 answers once more, late, for 5 s");
            for endpoint in &endpoints[ENDPOINTS as usize - FAULTY..ENDPOINTS as usize] {
                endpoint.begin_late_copies(Copied::Releases, FAULT);
            }
        }
        let fault_begun_at = Instant::now();
        thread::sleep(Duration::from_millis(1600));
        let index = u8::try_from(endpoints.len()).unwrap_or(u8::MAX);
        endpoints.push(start(index));
        thread::sleep(Duration::from_millis(1000));
        let mut next = None;
        while next.is_none() && fault_begun_at.elapsed() < FAULT {
            next = old.iter().position(|endpoint| endpoint.has_copy_due());
            thread::sleep(Duration::from_millis(50));
        }
        let Some(next) = next.or((!has_trouble).then_some(0)) else {
            continue;
        };
        replaced += 1;
        let leaving = old.remove(next);
        leaving.is_draining.store(true, Ordering::SeqCst);
        let mut controls = site.control_addresses().into_iter().cycle();
        let is_acknowledged = (0..10).any(|_| {
            let to = controls.next().unwrap_or(site.control_address(0));
            leaving.say(to, "heartbeat", &leaving.beat("draining")) == Some(200)
        });
        record.line(&format!(
            "endpoint {} drains, acknowledged: {is_acknowledged}",
            leaving.config.id
        ));
        thread::sleep(Duration::from_millis(3500));
        leaving.checks_in.store(false, Ordering::SeqCst);
        leaving.say(
            site.control_address(0),
            "deregister",
            &leaving.beat("draining"),
        );
        leaving.end();
    }
    is_over.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }

    let copies: u64 = endpoints
        .iter()
        .map(|endpoint| endpoint.copies_written.load(Ordering::SeqCst))
        .sum();
    let broken = owners.broken.lock().unwrap();
    for line in broken.iter() {
        record.line(&format!("OWNER: {line}"));
    }
    let served = served.load(Ordering::SeqCst);
    record.say(&format!(
        "{served} orders served, {copies} late copies written; keys given to an endpoint while another was still at work on them: {}",
        broken.len()
    ));
    if served < 500 || (has_trouble && copies == 0) {
        return Verdict::NotRun("too few orders or no late copies".into());
    }
    Verdict::of(!broken.is_empty())
}
