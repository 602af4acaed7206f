//! A control VM that leads a group of its own, without a network or a disk.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use chicory_consensus::RestoredState;
use chicory_directory::{
    ControlMessage, DirectoryPosition, EntryMessage, ServerRecord, ServerState, SiteCall,
};
use chicory_ranges::{CallOutcome, ServerIncarnation};
use chicory_routes::{RequestKind, Route, RouteTable, RouteTarget, RoutedService};
use chicory_site::{SiteConfig, SiteCore, SiteEffect, SiteEvent, SiteNote};

use crate::backend_server::BackendServer;

const VM: &str = "10.0.0.1:7540";

pub struct ControlVm {
    core: SiteCore,
    /// Messages to entry VMs, by the index of the VM.
    pub outbox: Vec<(usize, ControlMessage)>,
    /// Number of key ranges that moved to another server.
    pub moves: usize,
    last_caller: u64,
}

impl ControlVm {
    pub fn start(now: Duration, seed: u64) -> Self {
        let config = SiteConfig::new(VM, vec![VM.into()]).with_random_seed(seed);
        let mut control_vm = Self {
            core: SiteCore::new(config, now),
            outbox: Vec::new(),
            moves: 0,
            last_caller: 0,
        };
        let opened = SiteEvent::StorageOpened {
            incarnation: seed,
            restored: RestoredState::fresh(),
            is_founder: true,
        };
        control_vm.handle(now, opened);
        control_vm
    }

    pub fn is_leading(&self, now: Duration) -> bool {
        self.core.is_leading(now)
    }

    pub fn tick(&mut self, now: Duration) {
        if self.core.next_wakeup() <= now {
            self.handle(now, SiteEvent::Tick);
        }
    }

    /// Puts a route table in which cold servers bear this many requests in 1000 seconds.
    pub fn put_routes(&mut self, now: Duration, cold_rate_millihertz: Option<u32>) {
        self.call(now, SiteCall::PutRoutes(routes(cold_rate_millihertz)));
    }

    pub fn announce_servers(
        &mut self,
        now: Duration,
        servers: &BTreeMap<ServerIncarnation, BackendServer>,
    ) {
        for ((server, backend_server), port) in servers.iter().zip(8000..) {
            let record = ServerRecord {
                incarnation: server.clone(),
                service: service_of(server).into(),
                address: SocketAddr::from(([10, 0, 0, 1], port)),
                zone: "north".into(),
                software_version: String::new(),
                slots: 4,
                state: ServerState::Ready,
                cold_for: backend_server.cold_left(now),
            };
            self.call(now, SiteCall::Announce(record));
        }
    }

    pub fn connect(&mut self, now: Duration, entry_vm: usize) {
        let connected = SiteEvent::EntryConnected {
            link: entry_vm as u64,
            vm: format!("entry-{entry_vm}"),
            zone: "north".into(),
            known: DirectoryPosition::default(),
            relay_address: None,
            cpu_share: None,
        };
        self.handle(now, connected);
    }

    pub fn receive(&mut self, now: Duration, entry_vm: usize, message: EntryMessage) {
        let link = entry_vm as u64;
        self.handle(now, SiteEvent::EntrySent { link, message });
    }

    fn call(&mut self, now: Duration, call: SiteCall) {
        self.last_caller += 1;
        let caller = self.last_caller;
        self.handle(now, SiteEvent::CallReceived { caller, call });
    }

    fn handle(&mut self, now: Duration, event: SiteEvent) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            for effect in self.core.reduce(now, event) {
                match effect {
                    SiteEffect::Persist { ticket, .. } => {
                        events.push_back(SiteEvent::Persisted { ticket });
                    }
                    SiteEffect::SendToEntries { links, message } => {
                        for link in links {
                            let entry_vm = usize::try_from(link).expect("an index");
                            self.outbox.push((entry_vm, message.clone()));
                            events.push_back(SiteEvent::EntryLinkReady { link });
                        }
                    }
                    SiteEffect::Grant(request) => events.push_back(SiteEvent::GrantCallEnded {
                        call: request.call,
                        outcome: CallOutcome::Done {
                            handover: None,
                            link: Some(1),
                        },
                    }),
                    SiteEffect::Note(SiteNote::RangeMoved { .. }) => self.moves += 1,
                    _ => {}
                }
            }
        }
    }
}

/// Returns the service of a server: any server of the library serves any of its requests.
fn service_of(server: &ServerIncarnation) -> &'static str {
    if server.server.starts_with("library") {
        "library"
    } else {
        "archive"
    }
}

fn routes(cold_rate_millihertz: Option<u32>) -> RouteTable {
    let route = |name: &str, priority, service: &str| Route {
        name: name.into(),
        host: "host".into(),
        path_prefix: format!("/{name}/"),
        kind: RequestKind::Idempotent,
        timeout: Some(Duration::from_secs(1)),
        latency_target: None,
        priority: Some(priority),
        max_attempts: Some(2),
        target: RouteTarget::Service(service.into()),
    };
    RouteTable {
        version: 1,
        routes: vec![
            route("urgent", 0, "archive"),
            route("reads", 1, "archive"),
            route("plans", 1, "library"),
        ],
        services: ["archive", "library"]
            .map(|name| RoutedService {
                name: name.into(),
                health_path: None,
                max_connections: None,
                protocol: None,
                has_tls: None,
                is_keyed: Some(name == "archive"),
                warmup: None,
                grant_mode: None,
                cold_time: cold_rate_millihertz.map(|_| Duration::from_secs(3)),
                cold_rate_millihertz,
            })
            .into(),
        limits: None,
    }
}
