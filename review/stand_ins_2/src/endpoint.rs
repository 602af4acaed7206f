//! An endpoint, which checks in, takes and releases keys, and runs requests.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Connection, Message, call};
use crate::record::Record;

/// Interval of check-ins.
const HEARTBEAT: Duration = Duration::from_millis(870);
/// Time within which a check-in has to be acknowledged.
const ACKNOWLEDGE_LIMIT: Duration = Duration::from_secs(1);

/// Keys that were granted.
#[derive(Clone, Debug)]
pub struct Hold {
    pub first: u32,
    pub last: u32,
    pub fence: u64,
    pub until: Instant,
}

/// What an endpoint is started with.
#[derive(Clone)]
pub struct Config {
    pub id: String,
    pub service: &'static str,
    pub zone: &'static str,
    pub address: SocketAddr,
    pub core: Vec<SocketAddr>,
    pub slots: usize,
    pub queue: usize,
    pub is_keyed: bool,
    pub work: Duration,
}

/// An endpoint.
pub struct Endpoint {
    pub config: Config,
    record: Arc<Record>,
    born_ms: u128,
    seq: AtomicU64,
    /// Whether it is partitioned from the core: nothing of the core arrives, and nothing arrives there.
    pub is_cut: AtomicBool,
    pub state: Mutex<&'static str>,
    keys: Mutex<Keys>,
    running: Mutex<usize>,
    freed: Condvar,
    waiting: AtomicUsize,
    pub run_count: AtomicU64,
    /// When each request arrived and when work on it began and ended, by its id.
    pub seen: Mutex<BTreeMap<String, Seen>>,
}

/// What happened to a request at an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Seen {
    pub arrived: Instant,
    pub began: Option<Instant>,
    pub ended: Option<Instant>,
}

#[derive(Default)]
struct Keys {
    holds: Vec<Hold>,
    /// Greatest fence that was seen for each range.
    fences: Vec<(u32, u32, u64)>,
}

impl Endpoint {
    /// Starts to listen and to check in.
    pub fn start(config: Config, record: Arc<Record>) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind(config.address)?;
        let born_ms = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_millis();
        let endpoint = Arc::new(Self {
            config,
            record,
            born_ms,
            seq: AtomicU64::new(0),
            is_cut: AtomicBool::new(false),
            state: Mutex::new("ready"),
            keys: Mutex::default(),
            running: Mutex::new(0),
            freed: Condvar::new(),
            waiting: AtomicUsize::new(0),
            run_count: AtomicU64::new(0),
            seen: Mutex::default(),
        });
        let accepting = endpoint.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let endpoint = accepting.clone();
                std::thread::spawn(move || endpoint.serve(stream));
            }
        });
        let checking_in = endpoint.clone();
        std::thread::spawn(move || {
            let mut node = 0;
            loop {
                if !checking_in.check_in(node) {
                    node += 1;
                }
                std::thread::sleep(HEARTBEAT);
            }
        });
        Ok(endpoint)
    }

    fn check_in(&self, node: usize) -> bool {
        if self.is_cut.load(Ordering::SeqCst) {
            return false;
        }
        let config = &self.config;
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\"state\":\"{}\",\
             \"coldLeftS\":0,\"seq\":{},\"born\":{}}}",
            config.service,
            config.address,
            config.zone,
            config.slots,
            self.state.lock().expect("state"),
            self.seq.fetch_add(1, Ordering::SeqCst) + 1,
            self.born_ms,
        );
        let core = config.core[node % config.core.len()];
        let start = format!("POST /api/instances/{}/heartbeat", config.id);
        let headers = [
            ("Host", core.to_string()),
            ("Content-Type", "application/json".to_owned()),
        ];
        let answer = call(core, &start, &headers, body.as_bytes(), ACKNOWLEDGE_LIMIT);
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(Some(request)) = connection.read() {
            let path = request.start.get(1).cloned().unwrap_or_default();
            if path.starts_with("/api/") && self.is_cut.load(Ordering::SeqCst) {
                // What a partition holds up is lost when its sender resets the connection.
                while self.is_cut.load(Ordering::SeqCst) {
                    std::thread::sleep(Duration::from_millis(20));
                }
                return;
            }
            let (status, headers, body) = match path.as_str() {
                "/api/grant" => self.grant(&request),
                "/api/release" => self.release(&request),
                path if path == "/health" => ("200 OK", Vec::new(), Vec::new()),
                _ => self.answer(&request),
            };
            let mut headers: Vec<(&str, String)> = headers;
            headers.push(("Instance-Id", self.config.id.clone()));
            headers.push(("Keep-Alive", "timeout=10".to_owned()));
            if connection
                .write(&format!("HTTP/1.1 {status}"), &headers, &body)
                .is_err()
            {
                return;
            }
        }
    }

    /// Returns the keys that it holds now.
    pub fn holds(&self) -> Vec<Hold> {
        let now = Instant::now();
        let keys = self.keys.lock().expect("keys");
        keys.holds
            .iter()
            .filter(|hold| hold.until > now)
            .cloned()
            .collect()
    }

    fn is_for_another(&self, request: &Message) -> bool {
        request
            .header("target-instance")
            .is_some_and(|id| id != self.config.id)
    }

    fn grant(&self, request: &Message) -> Answer {
        if self.is_for_another(request) {
            return ("421 Misdirected Request", Vec::new(), Vec::new());
        }
        let text = String::from_utf8_lossy(&request.body).into_owned();
        let number = |name: &str| field(&text, name);
        let (Some(first), Some(last), Some(fence), Some(hold_s)) = (
            number("from"),
            number("target"),
            number("fence"),
            number("holdS"),
        ) else {
            return ("400 Bad Request", Vec::new(), Vec::new());
        };
        let (first, last, fence) = (first as u32, last as u32, fence as u64);
        let mut keys = self.keys.lock().expect("keys");
        let mut seen = keys
            .fences
            .iter()
            .filter(|(from, to, _)| *from <= last && *to >= first);
        if seen.any(|(_, _, known)| *known > fence) {
            return ("409 Conflict", Vec::new(), Vec::new());
        }
        keys.fences.push((first, last, fence));
        keys.holds = without(&keys.holds, first, last);
        let until = Instant::now() + Duration::from_secs_f64(hold_s);
        keys.holds.push(Hold {
            first,
            last,
            fence,
            until,
        });
        drop(keys);
        self.record.line(&format!(
            "{} takes keys {first}-{last}, fence {fence}, for {hold_s} s",
            self.config.id
        ));
        ("200 OK", Vec::new(), Vec::new())
    }

    fn release(&self, request: &Message) -> Answer {
        let text = String::from_utf8_lossy(&request.body).into_owned();
        let (Some(first), Some(last)) = (field(&text, "from"), field(&text, "target")) else {
            return ("400 Bad Request", Vec::new(), Vec::new());
        };
        let mut keys = self.keys.lock().expect("keys");
        keys.holds = without(&keys.holds, first as u32, last as u32);
        drop(keys);
        self.record
            .line(&format!("{} releases keys {first}-{last}", self.config.id));
        (
            "200 OK",
            vec![("Handover", "5c0e7a21d94b36f8".to_owned())],
            Vec::new(),
        )
    }

    fn update(&self, id: &str, change: impl FnOnce(&mut Seen)) {
        if let Some(seen) = self.seen.lock().expect("seen").get_mut(id) {
            change(seen);
        }
    }

    fn answer(&self, request: &Message) -> Answer {
        let Some(id) = request.header("attempt-id").map(String::from) else {
            return (
                "400 Bad Request",
                vec![("Not-Executed", "1".to_owned())],
                Vec::new(),
            );
        };
        let refused = vec![("Attempt-Id", id.clone()), ("Not-Executed", "1".to_owned())];
        if self.is_for_another(request) {
            return ("421 Misdirected Request", refused, Vec::new());
        }
        let key: Option<u32> = request.header("shard-key").and_then(|key| key.parse().ok());
        let is_held = || {
            self.holds()
                .iter()
                .any(|hold| key.is_some_and(|key| hold.first <= key && key <= hold.last))
        };
        if self.config.is_keyed && !is_held() {
            return ("421 Misdirected Request", refused, Vec::new());
        }
        if self.waiting.fetch_add(1, Ordering::SeqCst) >= self.config.slots + self.config.queue {
            self.waiting.fetch_sub(1, Ordering::SeqCst);
            return ("503 Service Unavailable", refused, Vec::new());
        }
        let seen = Seen {
            arrived: Instant::now(),
            began: None,
            ended: None,
        };
        self.seen.lock().expect("seen").insert(id.clone(), seen);
        let mut running = self.running.lock().expect("slots");
        while *running >= self.config.slots {
            running = self.freed.wait(running).expect("slots");
        }
        *running += 1;
        drop(running);
        self.run_count.fetch_add(1, Ordering::SeqCst);
        self.record.line(&format!(
            "{} runs {id}, {} bytes",
            self.config.id,
            request.body.len()
        ));
        self.update(&id, |seen| seen.began = Some(Instant::now()));
        std::thread::sleep(self.config.work);
        self.update(&id, |seen| seen.ended = Some(Instant::now()));
        *self.running.lock().expect("slots") -= 1;
        self.freed.notify_one();
        self.waiting.fetch_sub(1, Ordering::SeqCst);
        let body = format!("ran {id} at {}", self.config.id).into_bytes();
        let seal = format!("{id}.{}", body.len());
        (
            "200 OK",
            vec![("Attempt-Id", id), ("Response-Seal", seal)],
            body,
        )
    }
}

/// Status, headers and body.
type Answer = (&'static str, Vec<(&'static str, String)>, Vec<u8>);

/// Returns holds without the keys from `first` to `last`.
fn without(holds: &[Hold], first: u32, last: u32) -> Vec<Hold> {
    let mut kept = Vec::new();
    for hold in holds {
        if hold.first < first {
            kept.push(Hold {
                last: hold.last.min(first - 1),
                ..hold.clone()
            });
        }
        if hold.last > last {
            kept.push(Hold {
                first: hold.first.max(last + 1),
                ..hold.clone()
            });
        }
    }
    kept
}

/// Returns a number of a flat JSON object.
fn field(text: &str, name: &str) -> Option<f64> {
    let rest = text.split(&format!("\"{name}\":")).nth(1)?;
    let end = rest.find([',', '}'])?;
    rest[..end].trim().parse().ok()
}
