//! Manifests, and the operator that sends them.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::http::{Message, call};

/// A route: host, prefix, kind, timeout in seconds, service.
pub type Route = (&'static str, &'static str, &'static str, f64, &'static str);

/// Returns a manifest. `services` are names, each with whether it is divided by key.
pub fn manifest(version: u64, routes: &[Route], services: &[(&str, bool)]) -> String {
    let routes: Vec<String> = routes.iter().enumerate().map(|(number, (host, prefix, kind, timeout, service))| {
        format!("[\"r-{number}\",\"{host}\",\"{prefix}\",\"{kind}\",{timeout},0.5,1,null,2,\"{service}\"]")
    }).collect();
    let services: Vec<String> = services
        .iter()
        .map(|(name, is_keyed)| {
            let (sharded, warmup, grants) = if *is_keyed {
                ("true", "3.0", "\"direct\"")
            } else {
                ("null", "null", "null")
            };
            format!("[\"{name}\",\"/health\",110,\"h1\",false,{sharded},{warmup},{grants}]")
        })
        .collect();
    format!(
        "{{\"version\":\"r{version}\",\"routes\":{{\"columns\":[\"name\",\"hostname\",\"pathPrefix\",\"kind\",\"timeoutS\",\
         \"targetLatencyS\",\"priority\",\"trafficSplit\",\"maxAttempts\",\"service\"],\"rows\":[{}]}},\"services\":{{\
         \"columns\":[\"name\",\"healthPath\",\"maxConns\",\"protocol\",\"tls\",\"sharded\",\"warmupS\",\"grants\"],\
         \"rows\":[{}]}},\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeoutS\":3,\
         \"idleTimeoutS\":15}}}}",
        routes.join(","),
        services.join(","),
    )
}

/// Sends a manifest to one machine.
pub fn put(core: SocketAddr, text: &str) -> std::io::Result<Message> {
    let headers = [
        ("Host", core.to_string()),
        ("Content-Type", "application/json".to_owned()),
    ];
    call(
        core,
        "POST /api/config/replace",
        &headers,
        text.as_bytes(),
        Duration::from_secs(1),
    )
}

/// Sends a manifest until it is acknowledged, to each machine in turn.
pub fn put_until_acknowledged(core: &[SocketAddr], text: &str, limit: Duration) -> bool {
    let until = Instant::now() + limit;
    let mut machines = core.iter().cycle();
    while Instant::now() < until {
        let Some(machine) = machines.next() else {
            return false;
        };
        if put(*machine, text).is_ok_and(|answer| answer.status() == 200) {
            return true;
        }
        std::thread::sleep(Duration::from_millis(200));
    }
    false
}
