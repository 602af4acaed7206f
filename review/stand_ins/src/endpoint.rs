//! A stand-in endpoint that follows the protocol page.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Message, call, json_number};
use crate::record::Record;

/// Runs of requests, by attempt id: the endpoint and the moment of each.
#[derive(Default)]
pub struct Runs(pub Mutex<BTreeMap<String, Vec<(String, Instant)>>>);

impl Runs {
    pub fn count(&self, attempt: &str) -> usize {
        self.0.lock().unwrap().get(attempt).map_or(0, Vec::len)
    }
}

/// What the endpoints of a service see together: who is at work on which key, and who was granted
/// which keys until when.
#[derive(Default)]
pub struct Owners {
    at_work: Mutex<Vec<(String, u32)>>,
    grants: Mutex<Vec<(String, Grant)>>,
    /// Grants of keys on which another endpoint was still at work, before its hold had run out.
    pub broken: Mutex<Vec<String>>,
}

impl Owners {
    fn begin(&self, id: &str, key: u32) {
        self.at_work.lock().unwrap().push((id.to_owned(), key));
    }

    fn end(&self, id: &str, key: u32) {
        let mut at_work = self.at_work.lock().unwrap();
        if let Some(at) = at_work.iter().position(|(of, k)| of == id && *k == key) {
            at_work.swap_remove(at);
        }
    }

    /// Records a grant that an endpoint has accepted, and checks it against the work of the others.
    fn granted(&self, id: &str, grant: Grant) {
        let now = Instant::now();
        let at_work = self.at_work.lock().unwrap();
        let mut grants = self.grants.lock().unwrap();
        for (other, key) in at_work.iter().filter(|(other, _)| other != id) {
            let is_given = (grant.first..=grant.last).contains(key);
            let is_held = grants.iter().any(|(of, held)| {
                of == other && (held.first..=held.last).contains(key) && now < held.until
            });
            if is_given && is_held {
                self.broken.lock().unwrap().push(format!(
                    "{id} is given keys {} to {} with fence {} while {other} is at work on key {key}",
                    grant.first, grant.last, grant.fence
                ));
            }
        }
        grants.retain(|(_, held)| now < held.until);
        grants.push((id.to_owned(), grant));
    }
}

/// Which answers a faulty endpoint writes once more.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
pub enum Copied {
    #[default]
    Refusals,
    Releases,
}

#[derive(Clone)]
pub struct EndpointConfig {
    pub id: String,
    /// What the endpoint states as `born`, if its installation has the field.
    pub born_ms: Option<u64>,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub controls: Vec<SocketAddr>,
    pub is_keyed: bool,
    pub slots: usize,
    pub queue: usize,
    pub work: Duration,
    /// Whether the endpoint starts behind a partition from the control VMs.
    pub starts_cut: bool,
}

#[derive(Clone, Copy)]
pub struct Grant {
    first: u32,
    last: u32,
    fence: u64,
    until: Instant,
}

#[derive(Default)]
struct Load {
    running: usize,
    waiting: usize,
    keys: Vec<u32>,
}

/// Answers and late copies since a fault began.
#[derive(Default)]
struct Copies {
    until: Option<Instant>,
    copied_kind: Copied,
    answers: u64,
    copied: u64,
}

pub struct Endpoint {
    pub config: EndpointConfig,
    pub record: Arc<Record>,
    pub runs: Arc<Runs>,
    owners: Arc<Owners>,
    grants: Mutex<Vec<Grant>>,
    seen: Mutex<Vec<(u32, u32, u64)>>,
    load: Mutex<Load>,
    freed: Condvar,
    copies: Mutex<Copies>,
    pub copies_written: AtomicU64,
    copies_due: AtomicU64,
    sequence: AtomicU64,
    pub checks_in: AtomicBool,
    pub is_draining: AtomicBool,
    pub says_leaving: AtomicBool,
    /// Whether the endpoint is partitioned from the control VMs, while requests still reach it.
    pub is_cut: AtomicBool,
    has_ended: AtomicBool,
}

/// Share of the answers of a faulty endpoint that are written once more.
pub const COPIED_SHARE: f64 = 0.03;

impl Endpoint {
    pub fn start(
        config: EndpointConfig,
        record: Arc<Record>,
        runs: Arc<Runs>,
        owners: Arc<Owners>,
    ) -> Arc<Self> {
        let starts_cut = config.starts_cut;
        let listener = TcpListener::bind(config.address).expect("the address is free");
        let endpoint = Arc::new(Self {
            config,
            record,
            runs,
            owners,
            grants: Mutex::default(),
            seen: Mutex::default(),
            load: Mutex::default(),
            freed: Condvar::new(),
            copies: Mutex::default(),
            copies_written: AtomicU64::new(0),
            copies_due: AtomicU64::new(0),
            sequence: AtomicU64::new(0),
            checks_in: AtomicBool::new(true),
            is_draining: AtomicBool::new(false),
            says_leaving: AtomicBool::new(false),
            is_cut: AtomicBool::new(starts_cut),
            has_ended: AtomicBool::new(false),
        });
        let accepting = endpoint.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.has_ended.load(Ordering::SeqCst) {
                    return;
                }
                let serving = accepting.clone();
                thread::spawn(move || serving.serve(Connection::new(stream)));
            }
        });
        let checking_in = endpoint.clone();
        thread::spawn(move || checking_in.check_in_regularly());
        endpoint
    }

    /// Ends the endpoint: nothing is accepted or announced any more.
    pub fn end(&self) {
        self.has_ended.store(true, Ordering::SeqCst);
        let _ = std::net::TcpStream::connect(self.config.address);
    }

    /// Begins the fault "an extra answer, late": for this time up to 3 in 100 answers are written
    /// once more, at the point where the next answer on the connection is expected.
    pub fn begin_late_copies(&self, copied_kind: Copied, time: Duration) {
        let mut copies = self.copies.lock().unwrap();
        *copies = Copies {
            until: Some(Instant::now() + time),
            copied_kind,
            ..Copies::default()
        };
    }

    /// The body of a check-in in this state.
    pub fn beat(&self, state: &str) -> String {
        let config = &self.config;
        let seq = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let born = config.born_ms;
        let born = born.map_or_else(String::new, |born| format!(r#","born":{born}"#));
        format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":{},"state":"{state}","coldLeftS":0,"seq":{seq}{born}}}"#,
            config.service, config.address, config.zone, config.slots
        )
    }

    pub fn say(&self, to: SocketAddr, action: &str, body: &str) -> Option<u16> {
        let path = format!("/api/instances/{}/{action}", self.config.id);
        let answer = call(to, "POST", &path, body, Duration::from_secs(1));
        answer.ok().map(|answer| answer.status())
    }

    fn check_in_regularly(&self) {
        let mut next = self.config.id.bytes().map(usize::from).sum::<usize>();
        while !self.has_ended.load(Ordering::SeqCst) {
            let is_cut = self.is_cut.load(Ordering::SeqCst);
            if self.checks_in.load(Ordering::SeqCst) && !is_cut {
                let is_draining = self.is_draining.load(Ordering::SeqCst);
                let state = if is_draining { "draining" } else { "ready" };
                let to = self.config.controls[next % self.config.controls.len()];
                if self.say(to, "heartbeat", &self.beat(state)) != Some(200) {
                    next += 1;
                }
            }
            thread::sleep(Duration::from_millis(870));
        }
    }

    /// Whether an answer is to be written once more, as soon as its connection is used again.
    pub fn has_copy_due(&self) -> bool {
        let written = self.copies_written.load(Ordering::SeqCst);
        self.copies_due.load(Ordering::SeqCst) > written
    }

    /// A key that the endpoint holds, if it holds any.
    pub fn held_key(&self) -> Option<u32> {
        let now = Instant::now();
        let grants = self.grants.lock().unwrap();
        let held = grants.iter().filter(|grant| now < grant.until);
        held.map(|grant| (grant.first + grant.last) / 2).next()
    }

    /// The keys that the endpoint holds: first, last, fence and the time for which it still does.
    pub fn held(&self) -> Vec<(u32, u32, u64, Duration)> {
        let now = Instant::now();
        let grants = self.grants.lock().unwrap();
        let held = grants.iter().filter(|grant| now < grant.until);
        held.map(|grant| (grant.first, grant.last, grant.fence, grant.until - now))
            .collect()
    }

    fn holds(&self, key: u32) -> bool {
        let now = Instant::now();
        let grants = self.grants.lock().unwrap();
        let mut grants = grants.iter();
        grants.any(|grant| (grant.first..=grant.last).contains(&key) && now < grant.until)
    }

    fn remove_keys(grants: &mut Vec<Grant>, first: u32, last: u32) {
        let former = std::mem::take(grants);
        for grant in former {
            if grant.last < first || grant.first > last {
                grants.push(grant);
                continue;
            }
            if grant.first < first {
                grants.push(Grant {
                    last: first - 1,
                    ..grant
                });
            }
            if grant.last > last {
                grants.push(Grant {
                    first: last + 1,
                    ..grant
                });
            }
        }
    }

    fn serve(&self, mut connection: Connection) {
        let mut copy: Option<Vec<u8>> = None;
        let idle = Duration::from_secs(10);
        while let Ok(request) = connection.read(Instant::now() + idle) {
            if self.has_ended.load(Ordering::SeqCst) {
                return;
            }
            if request.word(1).starts_with("/api/") && self.is_cut.load(Ordering::SeqCst) {
                // What a partition holds up is lost as its sender resets the connection.
                while self.is_cut.load(Ordering::SeqCst) {
                    thread::sleep(Duration::from_millis(20));
                }
                return;
            }
            if let Some(bytes) = copy.take() {
                // The extra answer arrives late, where the next answer is expected.
                self.copies_written.fetch_add(1, Ordering::SeqCst);
                self.record.line(&format!(
                    "{} writes its last answer once more, late; the next request there is {} {}",
                    self.config.id,
                    request.word(1),
                    request.header("attempt-id").unwrap_or("")
                ));
                if connection.write(&bytes).is_err() {
                    return;
                }
            }
            let answer = self.answer(&request);
            let bytes = answer.to_bytes();
            if self.is_copied(&request, &answer) {
                copy = Some(bytes.clone());
            }
            if connection.write(&bytes).is_err() || answer.closes() || request.closes() {
                return;
            }
        }
    }

    /// Whether an answer is one of those that are written once more, within the share.
    fn is_copied(&self, request: &Message, answer: &Message) -> bool {
        let mut copies = self.copies.lock().unwrap();
        if copies.until.is_none_or(|until| Instant::now() >= until) {
            return false;
        }
        copies.answers += 1;
        let may_copy = (copies.copied + 1) as f64 <= copies.answers as f64 * COPIED_SHARE;
        let is_kind = match copies.copied_kind {
            Copied::Refusals => {
                request.header("attempt-id").is_some() && answer.header("not-executed").is_some()
            }
            Copied::Releases => request.word(1) == "/api/release",
        };
        let is_copied = may_copy && is_kind;
        copies.copied += u64::from(is_copied);
        self.copies_due
            .fetch_add(u64::from(is_copied), Ordering::SeqCst);
        is_copied
    }

    fn answer(&self, request: &Message) -> Message {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        match request.word(1) {
            "/api/grant" => self.grant(request, &body),
            "/api/release" => self.release(&body),
            "/health" => plain("200 OK", &[("Instance-Id", &self.config.id)]),
            _ => self.run(request),
        }
    }

    fn grant(&self, request: &Message, body: &str) -> Message {
        let target = request.header("target-instance");
        if target.is_some_and(|target| target != self.config.id) {
            return plain(
                "421 Misdirected Request",
                &[("Instance-Id", &self.config.id)],
            );
        }
        let number = |field| json_number(body, field).unwrap_or(0.0);
        let (first, last, fence) = (
            number("from") as u32,
            number("target") as u32,
            number("fence") as u64,
        );
        let mut seen = self.seen.lock().unwrap();
        if seen
            .iter()
            .any(|(from, to, known)| *known > fence && *from <= last && *to >= first)
        {
            return plain("409 Conflict", &[]);
        }
        seen.push((first, last, fence));
        seen.dedup();
        drop(seen);
        let grant = Grant {
            first,
            last,
            fence,
            until: Instant::now() + Duration::from_secs_f64(number("holdS")),
        };
        let mut grants = self.grants.lock().unwrap();
        let is_renewal = grants
            .iter()
            .any(|held| held.fence == fence && held.first <= first && last <= held.last);
        Self::remove_keys(&mut grants, first, last);
        grants.push(grant);
        drop(grants);
        self.owners.granted(&self.config.id, grant);
        if !is_renewal {
            self.record.line(&format!(
                "{} is granted keys {first} to {last} with fence {fence}",
                self.config.id
            ));
        }
        plain("200 OK", &[])
    }

    fn release(&self, body: &str) -> Message {
        let number = |field| json_number(body, field).unwrap_or(0.0);
        let (first, last) = (number("from") as u32, number("target") as u32);
        Self::remove_keys(&mut self.grants.lock().unwrap(), first, last);
        let id = &self.config.id;
        self.record
            .line(&format!("{id} is asked to release keys {first} to {last}"));
        let is_at_work = || {
            let load = self.load.lock().unwrap();
            load.keys.iter().any(|key| (first..=last).contains(key))
        };
        while is_at_work() {
            thread::sleep(Duration::from_millis(2));
        }
        self.record
            .line(&format!("{id} has released keys {first} to {last}"));
        let handover = format!("{}-{}", self.config.id, number("fence"));
        plain("200 OK", &[("Handover", &handover)])
    }

    fn run(&self, request: &Message) -> Message {
        let Some(attempt) = request.header("attempt-id").map(str::to_owned) else {
            let status = if request.header("target-instance") == Some(&self.config.id) {
                "400 Bad Request"
            } else {
                "421 Misdirected Request"
            };
            return plain(
                status,
                &[("Not-Executed", "1"), ("Instance-Id", &self.config.id)],
            );
        };
        let target = request.header("target-instance");
        if target.is_some_and(|target| target != self.config.id) {
            let instance = [("Instance-Id", self.config.id.as_str())];
            return self.refusal("421 Misdirected Request", &attempt, &instance);
        }
        let key = request.header("shard-key").and_then(|key| key.parse().ok());
        let key: u32 = key.unwrap_or(0);
        if self.config.is_keyed && !self.holds(key) {
            return self.refusal("421 Misdirected Request", &attempt, &[]);
        }
        let time_left = request.header("deadline-ms");
        let time_left = time_left.and_then(|ms| ms.parse().ok()).unwrap_or(30_000);
        let until = Instant::now() + Duration::from_millis(time_left);
        let mut load = self.load.lock().unwrap();
        if load.running + load.waiting >= self.config.slots + self.config.queue {
            drop(load);
            return self.refusal("503 Service Unavailable", &attempt, &[]);
        }
        load.waiting += 1;
        while load.running >= self.config.slots {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                load.waiting -= 1;
                drop(load);
                return self.refusal("503 Service Unavailable", &attempt, &[]);
            }
            load = self.freed.wait_timeout(load, left).unwrap().0;
        }
        load.waiting -= 1;
        if self.config.is_keyed && !self.holds(key) {
            drop(load);
            self.freed.notify_all();
            return self.refusal("421 Misdirected Request", &attempt, &[]);
        }
        load.running += 1;
        load.keys.push(key);
        if self.config.is_keyed {
            self.owners.begin(&self.config.id, key);
        }
        drop(load);
        let run = (self.config.id.clone(), Instant::now());
        let mut runs = self.runs.0.lock().unwrap();
        runs.entry(attempt.clone()).or_default().push(run);
        drop(runs);
        self.record.line(&format!(
            "{} runs {attempt} ({} {})",
            self.config.id,
            request.word(0),
            request.word(1)
        ));
        thread::sleep(self.config.work);
        let mut load = self.load.lock().unwrap();
        load.running -= 1;
        if let Some(at) = load.keys.iter().position(|known| *known == key) {
            load.keys.swap_remove(at);
        }
        if self.config.is_keyed {
            self.owners.end(&self.config.id, key);
        }
        drop(load);
        self.freed.notify_all();
        let mut headers = vec![
            ("Attempt-Id", attempt.as_str()),
            ("Response-Seal", "3e1b.07.5a2.600.0.c9f2a4d1"),
        ];
        if self.says_leaving.load(Ordering::SeqCst) {
            headers.push(("Server-Leaving", "1"));
        }
        let mut answer = plain("200 OK", &headers);
        answer.body = format!("done {attempt}").into_bytes();
        answer
    }

    fn refusal(&self, status: &str, attempt: &str, headers: &[(&str, &str)]) -> Message {
        self.record
            .line(&format!("{} refuses {attempt}: {status}", self.config.id));
        let mut answer = plain(status, &[("Attempt-Id", attempt), ("Not-Executed", "1")]);
        let headers = headers.iter();
        answer
            .headers
            .extend(headers.map(|(name, value)| ((*name).into(), (*value).into())));
        if self.says_leaving.load(Ordering::SeqCst) {
            answer.headers.push(("Server-Leaving".into(), "1".into()));
        }
        answer
    }
}

fn plain(status: &str, headers: &[(&str, &str)]) -> Message {
    let headers = headers.iter();
    Message {
        first_line: format!("HTTP/1.1 {status}"),
        headers: headers
            .map(|(name, value)| ((*name).into(), (*value).into()))
            .collect(),
        body: Vec::new(),
    }
}
