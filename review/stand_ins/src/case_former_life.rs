//! A check-in of a lifetime that never registered arrives after the next lifetime at its address has
//! registered, while the check-ins of that one are late.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::endpoint::{Endpoint, EndpointConfig, Owners, Runs};
use crate::requester::{Attempt, Requester};
use crate::site::{ENDPOINT_PORT, Site, ZONES};
use crate::verdict::Verdict;

const MANIFEST: &str = r#"{"version":"r7","routes":{"columns":["name","hostname","pathPrefix","kind","timeoutS","targetLatencyS","priority","trafficSplit","maxAttempts","service"],"rows":[["saves","one.example","/saves/","unsafe",1.2,0.4,1,null,2,"formatter"]]},"services":{"columns":["name","healthPath","maxConns","protocol","tls","sharded","warmupS","grants"],"rows":[["formatter","/health",110,"h1",false,true,3.0,"direct"]]},"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15}}"#;
const ENDPOINTS: u8 = 5;
/// How long the endpoint is cut off from the control VMs.
const CUT: Duration = Duration::from_secs(10);
/// Two endpoints may hold the same keys for so long.
const MAX_OVERLAP: Duration = Duration::from_millis(500);

pub fn run(site: &Site, has_trouble: bool) -> Verdict {
    let record = &site.record;
    site.start_all();
    if !site.put(MANIFEST, Duration::from_secs(20)) {
        return Verdict::NotRun("no manifest was acknowledged".into());
    }
    let runs = Arc::new(Runs::default());
    let owners = Arc::new(Owners::default());
    let start = |index: u8, id: &str, starts_cut: bool| {
        let config = EndpointConfig {
            id: id.into(),
            born_ms: None,
            service: "formatter".into(),
            zone: ZONES[usize::from(index) % 3].into(),
            address: site.address(101 + index, ENDPOINT_PORT),
            controls: site.control_addresses(),
            is_keyed: true,
            slots: 6,
            queue: 24,
            work: Duration::from_millis(50),
            starts_cut,
        };
        record.line(&format!("endpoint {id} starts"));
        Endpoint::start(config, record.clone(), runs.clone(), owners.clone())
    };
    let mut endpoints: Vec<Arc<Endpoint>> = (0..ENDPOINTS)
        .map(|index| start(index, &format!("i-{index}"), false))
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

    let is_over = Arc::new(AtomicBool::new(false));
    let numbers = Arc::new(AtomicU64::new(1));
    let served = Arc::new(AtomicU64::new(0));
    let mut callers = Vec::new();
    for caller in 0..9 {
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
                thread::sleep(Duration::from_millis(20));
            }
        }));
    }
    thread::sleep(Duration::from_secs(1));

    let last = ENDPOINTS - 1;
    let first = endpoints.remove(usize::from(last));
    if has_trouble {
        record.say("i-4 is cut off from the control VMs for 10 s");
        first.is_cut.store(true, Ordering::SeqCst);
    }
    let cut_at = Instant::now();
    record.say("i-4 crashes and starts again as i-8, which crashes and starts again as i-9");
    thread::sleep(Duration::from_secs(1));
    first.end();
    thread::sleep(Duration::from_secs(2));
    let second = start(last, "i-8", has_trouble);
    // The check-in that is delayed on its way.
    let delayed = second.beat("ready");
    thread::sleep(Duration::from_secs(2));
    second.end();
    record.line("i-8 has crashed");
    thread::sleep(Duration::from_secs(2));
    let third = start(last, "i-9", has_trouble);
    thread::sleep(CUT.saturating_sub(cut_at.elapsed()));
    if has_trouble {
        record.say("the cut ends");
        third.is_cut.store(false, Ordering::SeqCst);
    }
    let until = Instant::now() + Duration::from_secs(8);
    while third.held_key().is_none() {
        if Instant::now() >= until {
            return Verdict::NotRun("i-9 was granted no keys".into());
        }
        thread::sleep(Duration::from_millis(20));
    }
    endpoints.push(third.clone());
    thread::sleep(Duration::from_secs(1));

    // Two check-ins of i-9 arrive seconds late. It gives each up after a second.
    record.say("two check-ins of i-9 are late");
    third.checks_in.store(false, Ordering::SeqCst);
    thread::sleep(Duration::from_millis(2600));
    let node = 1;
    let answer = second.say(site.control_address(node), "heartbeat", &delayed);
    record.say(&format!(
        "the delayed check-in of i-8 arrives, answered {answer:?}"
    ));
    thread::sleep(Duration::from_millis(300));
    third.checks_in.store(true, Ordering::SeqCst);
    for _ in 0..2 {
        let answer = third.say(
            site.control_address(node),
            "heartbeat",
            &third.beat("ready"),
        );
        record.say(&format!(
            "a late check-in of i-9 arrives, answered {answer:?}"
        ));
    }

    let longest = watch(site, &endpoints, Duration::from_secs(8));
    is_over.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    let served = served.load(Ordering::SeqCst);
    record.say(&format!(
        "{served} orders served; the longest time for which two endpoints held the same keys: {longest:?}"
    ));
    if served < 500 {
        return Verdict::NotRun("too few orders were served".into());
    }
    Verdict::of(longest > MAX_OVERLAP)
}

/// Returns the longest time for which two endpoints that are up held the same keys.
pub fn watch(site: &Site, endpoints: &[Arc<Endpoint>], time: Duration) -> Duration {
    let mut since: BTreeMap<(usize, usize), Instant> = BTreeMap::new();
    let mut longest = Duration::ZERO;
    let begun_at = Instant::now();
    while begun_at.elapsed() < time {
        let held: Vec<_> = endpoints.iter().map(|endpoint| endpoint.held()).collect();
        for one in 0..held.len() {
            for other in one + 1..held.len() {
                let both = held[one].iter().find_map(|a| {
                    let mut others = held[other].iter();
                    let b = others.find(|b| a.0 <= b.1 && b.0 <= a.1)?;
                    Some((a, b))
                });
                let Some((a, b)) = both else {
                    since.remove(&(one, other));
                    continue;
                };
                let begun = since.entry((one, other)).or_insert_with(|| {
                    let (one, other) = (&endpoints[one].config.id, &endpoints[other].config.id);
                    site.record.line(&format!(
                        "{one} holds keys {} to {} (fence {}) for {:?} more, and {other} holds keys {} to {} (fence {}) for {:?} more",
                        a.0, a.1, a.2, a.3, b.0, b.1, b.2, b.3
                    ));
                    Instant::now()
                });
                longest = longest.max(begun.elapsed());
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
    longest
}
