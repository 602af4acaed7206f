//! Measures planning by a zone leader, including the application of its commands to the replicated
//! state: twenty services with twenty servers each, one server of each service lost.

use std::hint::black_box;
use std::time::Duration;

use chicory_ownership::{
    ALL_SLOTS, Custody, CustodyCause, CustodyRun, CustodyUpdate, EntryRecord, RenewRequest, RunMap,
    ServerRecord, ZoneCommand, ZoneLeader, ZoneLeaderConfig, ZoneState,
};
use chicory_table::{CustodyLease, ServicePolicy, Table};
use criterion::{BatchSize, Criterion, criterion_group, criterion_main};

const SERVICES: usize = 20;
const SERVERS: usize = 20;
const ZONE: &str = "z";

fn policy() -> ServicePolicy {
    ServicePolicy {
        weight: 100,
        max_in_flight: 0,
        max_connections: 0,
        queue_limit: 8,
        rate_limit_per_s: 0,
        keyed: true,
        idempotent: true,
        deadline: Duration::from_secs(1),
        custody_lease: CustodyLease::Unlimited,
        zones: [ZONE.to_owned()].into(),
    }
}

fn name(service: usize) -> String {
    format!("service-{service:02}")
}

fn record(service: usize, server: usize) -> ServerRecord {
    ServerRecord {
        server: format!("{}-{server:02}", name(service)),
        service: name(service),
        address: "127.0.0.1:1".to_owned(),
        zone: ZONE.to_owned(),
        slots: 3,
        connections: 100,
        incarnation: 1,
        checks_grants: true,
        draining: false,
    }
}

struct Zone {
    state: ZoneState,
    leader: ZoneLeader,
}

impl Zone {
    fn new() -> Self {
        let mut zone = Self {
            state: ZoneState::new(ZONE.to_owned(), 1),
            leader: ZoneLeader::new(Duration::ZERO, ZoneLeaderConfig::default()),
        };
        let table = Table {
            revision: 1,
            services: (0..SERVICES).map(|s| (name(s), policy())).collect(),
            ..Table::default()
        };
        zone.apply(&ZoneCommand::AdoptTable { table });
        let custody = Custody {
            zone: ZONE.to_owned(),
            generation: 1,
            cause: CustodyCause::Initial,
            moving_to: None,
        };
        let runs = (0..SERVICES).map(|service| CustodyRun {
            service: name(service),
            run: ALL_SLOTS,
            custody: custody.clone(),
        });
        let update = CustodyUpdate {
            version: 1,
            runs: runs.collect(),
            handovers: Vec::new(),
        };
        zone.apply(&ZoneCommand::AdoptCustody { update, at_ms: 0 });
        for service in 0..SERVICES {
            for server in 0..SERVERS {
                let record = record(service, server);
                zone.apply(&ZoneCommand::RegisterServer { record });
            }
        }
        zone
    }

    fn apply(&mut self, command: &ZoneCommand) {
        self.state.apply(self.state.applied() + 1, command);
    }

    /// Plans, applies the commands and returns their number.
    fn plan(&mut self, now: Duration) -> usize {
        let commands = self.leader.plan(now, &self.state);
        for command in &commands {
            self.apply(command);
        }
        commands.len()
    }

    /// Renews the lease of an entry process.
    fn renew(&mut self, now: Duration) {
        let request = RenewRequest {
            entry: EntryRecord {
                vm: "vm".to_owned(),
                incarnation: 1,
                peer_address: String::new(),
                announce_address: String::new(),
            },
            known_view: self.state.view_version(),
            stopping: false,
            announcements: Vec::new(),
            released: Vec::new(),
            resigned: Vec::new(),
            reports: Vec::new(),
        };
        let (_, commands) = self.leader.on_renew(now, &self.state, &request);
        for command in &commands {
            self.apply(command);
        }
    }

    /// Releases all slots of the first server of each service.
    fn lose_servers(&mut self) {
        for service in 0..SERVICES {
            let (service, server) = (name(service), record(service, 0).server);
            let runs = vec![ALL_SLOTS];
            self.apply(&ZoneCommand::ReleaseSlots {
                service: service.clone(),
                runs: runs.clone(),
                server: server.clone(),
            });
            let holds = self.state.holds(&service).into_iter();
            let hold = holds
                .flat_map(RunMap::iter)
                .find(|(_, h)| h.server == server);
            let token = hold.map(|(_, hold)| hold.token).unwrap_or_default();
            self.apply(&ZoneCommand::ConfirmReleased {
                service,
                runs,
                server,
                token,
            });
        }
    }
}

fn after_loss() -> Zone {
    let mut zone = Zone::new();
    zone.renew(Duration::from_secs(1));
    zone.plan(Duration::from_secs(1));
    zone.lose_servers();
    zone
}

fn benches(c: &mut Criterion) {
    c.bench_function("plan and apply 20 x 16384 slots after one loss each", |b| {
        b.iter_batched_ref(
            after_loss,
            |zone| black_box(zone.plan(Duration::from_secs(2))),
            BatchSize::LargeInput,
        );
    });
    c.bench_function("plan with nothing to do, 20 x 16384 slots", |b| {
        let mut zone = Zone::new();
        zone.renew(Duration::from_secs(1));
        zone.plan(Duration::from_secs(1));
        zone.plan(Duration::from_secs(2));
        b.iter(|| black_box(zone.plan(Duration::from_secs(2))));
    });
}

criterion_group!(zone_plan, benches);
criterion_main!(zone_plan);
