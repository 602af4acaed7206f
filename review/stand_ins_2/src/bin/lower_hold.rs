//! The settings lower `maxHoldS` before the machines of the core are stopped and started in turn, and an endpoint is
//! partitioned from the core before the last of them, which leads, is stopped.

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::{Duration, Instant};

use review_stand_ins_2::endpoint::{Config, Endpoint, Hold};
use review_stand_ins_2::http::call;
use review_stand_ins_2::machines::{Machines, ZONES};
use review_stand_ins_2::manifest::{manifest, put_until_acknowledged};
use review_stand_ins_2::record::Record;

const ENDPOINTS: u8 = 5;
/// Time for which the endpoint is partitioned from the core.
const CUT_TIME: Duration = Duration::from_secs(10);
/// Longest time for which two endpoints may hold the same keys.
const ALLOWED_OVERLAP: Duration = Duration::from_millis(500);
/// Time from SIGTERM to SIGKILL.
const GRACE: Duration = Duration::from_secs(6);

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
    for number in 0..ENDPOINTS {
        endpoints.push(Endpoint::start(
            Config {
                id: format!("i-{number}"),
                service: "plates",
                zone: ZONES[usize::from(number) % 3],
                address: machines.endpoint_address(number),
                core: core.clone(),
                slots: 4,
                queue: 12,
                is_keyed: true,
                work: Duration::from_millis(100),
            },
            record.clone(),
        )?);
    }
    let text = manifest(
        7,
        &[("plates.example", "/plates/", "safe", 1.5, "plates")],
        &[("plates", true)],
    );
    if !put_until_acknowledged(&core, &text, Duration::from_secs(10)) {
        return Err(std::io::Error::other("the manifest was not acknowledged"));
    }
    wait_until(Duration::from_secs(15), || {
        let keys: u32 = endpoints
            .iter()
            .flat_map(|endpoint| endpoint.holds())
            .map(|hold| hold.last - hold.first + 1)
            .sum();
        keys == 65_536
    })?;
    sleep(Duration::from_secs(5));
    let front = machines.all[machines.fronts()[0]].address();
    for key in [100, 30_000, 60_000] {
        let headers = [
            ("Host", "plates.example".to_owned()),
            ("Attempt-Id", format!("a-{key}")),
            ("Deadline-Ms", "1500".to_owned()),
            ("Shard-Key", key.to_string()),
        ];
        let answer = call(
            front,
            "GET /plates/1",
            &headers,
            b"",
            Duration::from_millis(1500),
        )?;
        record.line(&format!("a-{key} to {front}: {}", answer.status()));
    }
    if has_trouble {
        record.line("the settings files of the core change: maxHoldS=2 instead of 10");
        for (name, value) in &mut machines.bounds {
            if name == "maxHoldS" {
                *value = "2".to_owned();
            }
        }
        for at in 0..3 {
            machines.write_settings(at, false)?;
        }
    } else {
        record.line("the settings files stay as they are");
    }
    // The machine that gives the grants is stopped last.
    let giver = find_leader(&machines, record)?;
    let followers: Vec<usize> = (0..3).filter(|at| *at != giver).collect();
    for at in &followers {
        restart(&mut machines, *at, record)?;
        sleep(Duration::from_millis(1300));
    }
    let giver = find_leader(&machines, record)?;
    let victim = &endpoints[0];
    let latest = |endpoint: &Endpoint| endpoint.holds().iter().map(|hold| hold.until).max();
    let before = latest(victim);
    wait_until(Duration::from_secs(6), || latest(victim) > before)?;
    sleep(Duration::from_millis(100));
    record.line("i-0 is partitioned from the core");
    victim.is_cut.store(true, Ordering::SeqCst);
    let cut_at = Instant::now();
    restart(&mut machines, giver, record)?;
    let mut overlap_since: Option<Instant> = None;
    let mut longest = Duration::ZERO;
    while cut_at.elapsed() < CUT_TIME + Duration::from_secs(5) {
        if cut_at.elapsed() >= CUT_TIME && victim.is_cut.swap(false, Ordering::SeqCst) {
            record.line("the partition ends");
        }
        let own = victim.holds();
        let shared = endpoints[1..].iter().find_map(|other| {
            let others = other.holds();
            let found = own
                .iter()
                .find_map(|hold| others.iter().find(|one| overlaps(one, hold)).cloned())?;
            Some((other.config.id.clone(), found))
        });
        match (&shared, overlap_since) {
            (Some((id, hold)), None) => {
                record.line(&format!(
                    "i-0 holds {own:?}; {id} holds keys {}-{} under fence {} too",
                    hold.first, hold.last, hold.fence
                ));
                overlap_since = Some(Instant::now());
            }
            (None, Some(since)) => {
                record.line(&format!(
                    "no shared keys any more, after {:.3} s",
                    since.elapsed().as_secs_f64()
                ));
                overlap_since = None;
            }
            _ => {}
        }
        if let Some(since) = overlap_since {
            longest = longest.max(since.elapsed());
        }
        sleep(Duration::from_millis(10));
    }
    let is_broken = longest > ALLOWED_OVERLAP;
    record.line(&format!(
        "two endpoints held the same keys for {:.3} s at most",
        longest.as_secs_f64()
    ));
    record.line(if is_broken {
        "the rule was broken"
    } else {
        "the rule held"
    });
    Ok(!is_broken)
}

fn overlaps(one: &Hold, other: &Hold) -> bool {
    one.first <= other.last && other.first <= one.last
}

/// Stops a machine with SIGTERM and starts it again.
fn restart(machines: &mut Machines, at: usize, record: &Record) -> std::io::Result<()> {
    record.line(&format!("SIGTERM to {}", machines.all[at].name));
    machines.signal(at, "TERM");
    machines.wait_for_end(at, GRACE);
    machines.start(at, false)?;
    record.line(&format!("{} starts again", machines.all[at].name));
    Ok(())
}

/// Returns the machine that acts as leader, as its metrics say.
fn find_leader(machines: &Machines, record: &Record) -> std::io::Result<usize> {
    let mut leader = None;
    wait_until(Duration::from_secs(5), || {
        leader = (0..3).find(|at| {
            let metrics = std::net::SocketAddr::new(machines.all[*at].ip, 9464);
            let page = call(
                metrics,
                "GET /metrics",
                &[("Host", metrics.to_string())],
                b"",
                Duration::from_secs(1),
            );
            let page = page
                .map(|page| String::from_utf8_lossy(&page.body).into_owned())
                .unwrap_or_default();
            page.lines()
                .any(|line| line.starts_with("chicory_site_is_leading") && line.ends_with(" 1"))
        });
        leader.is_some()
    })?;
    let leader = leader.unwrap_or(0);
    record.line(&format!("{} gives the grants", machines.all[leader].name));
    Ok(leader)
}

fn wait_until(limit: Duration, mut is_done: impl FnMut() -> bool) -> std::io::Result<()> {
    let until = Instant::now() + limit;
    while !is_done() {
        if Instant::now() > until {
            return Err(std::io::Error::other("a state was not reached in time"));
        }
        sleep(Duration::from_millis(10));
    }
    Ok(())
}
