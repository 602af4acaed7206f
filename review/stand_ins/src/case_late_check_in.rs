//! An endpoint starts again behind a partition, leaves as the partition heals, and a check-in that
//! the partition has delayed arrives some seconds after its deregistration was acknowledged.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::endpoint::{Endpoint, EndpointConfig, Owners, Runs};
use crate::requester::{Attempt, Requester};
use crate::site::{ENDPOINT_PORT, Site, ZONES};
use crate::verdict::Verdict;

const MANIFEST: &str = r#"{"version":"r7","routes":{"columns":["name","hostname","pathPrefix","kind","timeoutS","targetLatencyS","priority","trafficSplit","maxAttempts","service"],"rows":[["uploads","one.example","/uploads/","unsafe",1.2,0.4,1,null,2,"desk"]]},"services":{"columns":["name","healthPath","maxConns","protocol","tls","sharded","warmupS","grants"],"rows":[["desk","/health",110,"h1",false,null,null,null]]},"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15}}"#;
const ENDPOINTS: u8 = 4;
const DRAIN: Duration = Duration::from_secs(2);
/// How long the endpoint is cut off from the control VMs.
const CUT: Duration = Duration::from_secs(10);
/// Time from the acknowledgement of the deregistration to the arrival of the delayed check-in.
const DELAY: Duration = Duration::from_secs(3);
/// Time for which the endpoint serves on after the acknowledgement.
const SERVES_ON: Duration = Duration::from_secs(7);

pub fn run(site: &Site, has_trouble: bool) -> Verdict {
    let record = &site.record;
    site.start_all();
    if !site.put(MANIFEST, Duration::from_secs(20)) {
        return Verdict::NotRun("no manifest was acknowledged".into());
    }
    let runs = Arc::new(Runs::default());
    let owners = Arc::new(Owners::default());
    let start = |index: u8, id: &str, born_ms: u64, starts_cut: bool| {
        let config = EndpointConfig {
            id: id.into(),
            born_ms: Some(born_ms),
            service: "desk".into(),
            zone: ZONES[usize::from(index) % 3].into(),
            address: site.address(101 + index, ENDPOINT_PORT),
            controls: site.control_addresses(),
            is_keyed: false,
            slots: 6,
            queue: 24,
            work: Duration::from_millis(30),
            starts_cut,
        };
        Endpoint::start(config, record.clone(), runs.clone(), owners.clone())
    };
    let endpoints: Vec<Arc<Endpoint>> = (0..ENDPOINTS)
        .map(|index| start(index, &format!("i-{index}"), 1_780_000_000_000, false))
        .collect();
    if !site.await_ready(Duration::from_secs(10)) {
        return Verdict::NotRun("an entry process isn't ready".into());
    }
    thread::sleep(Duration::from_secs(2));

    let sent: Arc<Mutex<Vec<(String, Instant, Option<u16>)>>> = Arc::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let numbers = Arc::new(AtomicU64::new(1));
    let mut callers = Vec::new();
    for caller in 0..9 {
        let (sent, is_over, numbers) = (sent.clone(), is_over.clone(), numbers.clone());
        let front = site.front_address(caller % 3);
        callers.push(thread::spawn(move || {
            let mut requester = Requester::default();
            while !is_over.load(Ordering::SeqCst) {
                let number = numbers.fetch_add(1, Ordering::SeqCst);
                let attempt = Attempt {
                    id: format!("{number:016x}"),
                    method: "POST",
                    path: format!("/uploads/{number}"),
                    host: "one.example".into(),
                    key: None,
                    time_left: Duration::from_millis(2500),
                    body: b"draft".to_vec(),
                };
                let at = Instant::now();
                let answer = requester.send(front, &attempt);
                let status = answer.ok().map(|answer| answer.status());
                sent.lock().unwrap().push((attempt.id, at, status));
                thread::sleep(Duration::from_millis(20));
            }
        }));
    }
    thread::sleep(Duration::from_secs(1));

    // An endpoint crashes and starts again, with a new id at the same address.
    let last = ENDPOINTS - 1;
    if has_trouble {
        record.say(
            "i-3 is cut off from the control VMs for 10 s, crashes there and starts again as i-9",
        );
        endpoints[usize::from(last)]
            .is_cut
            .store(true, Ordering::SeqCst);
    }
    let cut_at = Instant::now();
    thread::sleep(Duration::from_secs(1));
    endpoints[usize::from(last)].end();
    thread::sleep(Duration::from_secs(3));
    let reborn = start(last, "i-9", 1_780_000_300_000, has_trouble);
    // The check-in that is delayed on its way. The endpoint gives it up after a second.
    let delayed = reborn.beat("ready");
    thread::sleep(CUT.saturating_sub(cut_at.elapsed()));
    record.say("i-9 leaves: it deregisters first, and serves on for some seconds");
    reborn.checks_in.store(false, Ordering::SeqCst);
    reborn.is_cut.store(false, Ordering::SeqCst);
    reborn.says_leaving.store(true, Ordering::SeqCst);
    thread::sleep(Duration::from_millis(100));
    let born = format!(r#"{{"born":{}}}"#, reborn.config.born_ms.unwrap_or(0));
    let answer = reborn.say(site.control_address(0), "deregister", &born);
    let left_at = Instant::now();
    record.say(&format!("the deregistration is answered {answer:?}"));
    if answer != Some(200) {
        return Verdict::NotRun("the deregistration was not acknowledged".into());
    }
    thread::sleep(DELAY);
    let answer = reborn.say(site.control_address(1), "heartbeat", &delayed);
    record.say(&format!(
        "the delayed check-in arrives {:.1} s after the acknowledgement, answered {answer:?}",
        left_at.elapsed().as_secs_f64()
    ));
    thread::sleep(SERVES_ON.saturating_sub(left_at.elapsed()));
    reborn.end();
    record.line("i-9 ends");
    thread::sleep(Duration::from_secs(1));
    is_over.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }

    let sent = sent.lock().unwrap();
    let runs = runs.0.lock().unwrap();
    let served = sent
        .iter()
        .filter(|(_, _, status)| *status == Some(200))
        .count();
    let mut late = 0;
    for (id, at, status) in sent.iter().filter(|(_, at, _)| *at > left_at + DRAIN) {
        let mut of_request = runs.get(id).into_iter().flatten();
        if of_request.any(|(endpoint, _)| endpoint == "i-9") {
            late += 1;
            record.line(&format!(
                "DRAIN: request {id}, sent {:.2} s after the acknowledgement, ran at i-9, answered {status:?}",
                (*at - left_at).as_secs_f64()
            ));
        }
    }
    record.say(&format!(
        "{} requests sent, {served} served; sent later than drainS after the acknowledgement and run by i-9: {late}",
        sent.len()
    ));
    if served < 500 {
        return Verdict::NotRun("too few requests were served".into());
    }
    Verdict::of(late > 0)
}
