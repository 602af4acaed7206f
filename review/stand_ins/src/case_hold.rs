//! The bound on holds is lowered in the settings, the control VMs are restarted in turn, and an
//! endpoint is cut off from them for some seconds.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use crate::endpoint::{Endpoint, EndpointConfig, Owners, Runs};
use crate::site::{ENDPOINT_PORT, MAX_HOLD_S, SIGHUP, Site, ZONES};
use crate::verdict::Verdict;

const MANIFEST: &str = r#"{"version":"r7","routes":{"columns":["name","hostname","pathPrefix","kind","timeoutS","targetLatencyS","priority","trafficSplit","maxAttempts","service"],"rows":[["saves","one.example","/saves/","unsafe",1.2,0.4,1,null,2,"formatter"]]},"services":{"columns":["name","healthPath","maxConns","protocol","tls","sharded","warmupS","grants"],"rows":[["formatter","/health",110,"h1",false,true,3.0,"direct"]]},"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15}}"#;
const ENDPOINTS: u8 = 5;
const LOWERED_HOLD_S: u32 = 4;
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
                slots: 6,
                queue: 24,
                work: Duration::from_millis(100),
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
    thread::sleep(Duration::from_secs(3));

    // Settings change, and control VMs are restarted in turn, the leader last.
    let max_hold_s = if has_trouble {
        LOWERED_HOLD_S
    } else {
        MAX_HOLD_S
    };
    site.write_settings(max_hold_s);
    for process in site.controls.iter().chain(&site.entries) {
        site.signal(process, SIGHUP);
    }
    thread::sleep(Duration::from_secs(1));
    let Some(leader) = site.leader() else {
        return Verdict::NotRun("no leader was found".into());
    };
    record.say(&format!(
        "control-{leader} leads; the others are restarted first"
    ));
    for index in (0..3).filter(|index| *index != leader) {
        site.roll(&site.controls[index]);
        thread::sleep(Duration::from_secs(4));
    }
    if site.leader() != Some(leader) {
        return Verdict::NotRun("the leader has changed early".into());
    }
    let cut = endpoints[0].clone();
    record.say("i-0 is cut off from the control VMs for 10 s");
    cut.is_cut.store(true, Ordering::SeqCst);
    let cut_at = Instant::now();
    thread::sleep(Duration::from_millis(300));
    thread::scope(|scope| {
        scope.spawn(|| site.roll(&site.controls[leader]));
        watch(site, &endpoints, cut_at)
    })
}

/// Watches which endpoints hold the same keys, until some seconds after the cut.
fn watch(site: &Site, endpoints: &[Arc<Endpoint>], cut_at: Instant) -> Verdict {
    let record = &site.record;
    let mut since: BTreeMap<(usize, usize), Instant> = BTreeMap::new();
    let mut longest = Duration::ZERO;
    while cut_at.elapsed() < CUT + Duration::from_secs(6) {
        if cut_at.elapsed() >= CUT && endpoints[0].is_cut.swap(false, Ordering::SeqCst) {
            record.say("the cut ends");
        }
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
                    record.line(&format!(
                        "i-{one} holds keys {} to {} (fence {}) for {:?} more, and i-{other} holds keys {} to {} (fence {})",
                        a.0, a.1, a.2, a.3, b.0, b.1, b.2
                    ));
                    Instant::now()
                });
                longest = longest.max(begun.elapsed());
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
    let later = site.leader();
    record.say(&format!(
        "control-{later:?} leads; the longest time for which two endpoints held the same keys: {longest:?}"
    ));
    if endpoints.iter().all(|endpoint| endpoint.held().is_empty()) {
        return Verdict::NotRun("no keys are held in the end".into());
    }
    Verdict::of(longest > MAX_OVERLAP)
}
