//! A control process that grants what the test has configured.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use chicory_net::peer::{CallStream, NoFaults, PeerEndpoint, PeerIdentity, PeerStream};
use chicory_net::tls::{CertificateAuthority, PeerRole, PeerTls, Subject};
use chicory_ownership::{
    ClaimAnswer, ClaimRequest, ClaimResolution, EntryRecord, RenewAnswer, RenewRequest,
    ServerRecord, SlotOwner, ViewChange, ViewUpdate,
};
use chicory_table::{CustodyLease, ServicePolicy, Table};
use chicory_telemetry::Metrics;
use chicory_types::{FencingToken, SLOTS_PER_SERVICE, SlotRun};
use chicory_wire::proto::claim::acknowledgement::Answer as Acknowledged;
use chicory_wire::proto::claim::{Acknowledgement, ResolveClaimRequest};
use chicory_wire::proto::common::Empty;
use chicory_wire::proto::peer::call::Call as CallKind;
use chicory_wire::proto::peer::reply::Reply as ReplyKind;
use chicory_wire::proto::peer::{Call, Reply};

use super::{CLUSTER, ZONE, any_port, issue};

const LEASE: Duration = Duration::from_secs(3);

/// A control process that grants what the test has configured.
pub struct FakeZone {
    pub address: SocketAddr,
    pub state: Arc<Mutex<ZoneState>>,
    _endpoint: PeerEndpoint,
}

/// The state of the control process.
#[derive(Default)]
pub struct ZoneState {
    version: u64,
    table: Table,
    servers: Vec<(ServerRecord, String)>,
    entries: BTreeMap<String, EntryRecord>,
    pub claims: BTreeMap<String, Option<ClaimResolution>>,
    pub claim_requests: u32,
}

pub fn policy(keyed: bool, idempotent: bool) -> ServicePolicy {
    ServicePolicy {
        weight: 100,
        max_in_flight: 0,
        max_connections: 0,
        queue_limit: 64,
        rate_limit_per_s: 0,
        keyed,
        idempotent,
        deadline: Duration::from_secs(10),
        custody_lease: CustodyLease::Unlimited,
        zones: BTreeSet::from([ZONE.to_owned()]),
    }
}

impl FakeZone {
    pub fn start(authority: &CertificateAuthority, folder: &Path) -> Self {
        let files = issue(authority, folder, PeerRole::Control, "control-1");
        let tls = PeerTls::load(&files).expect("certificates");
        let identity = PeerIdentity {
            subject: Subject::new(PeerRole::Control, "control-1"),
            cluster: CLUSTER.to_owned(),
            zone: ZONE.to_owned(),
        };
        let metrics = Arc::new(Metrics::new().expect("metrics"));
        let faults = Arc::new(NoFaults);
        let (endpoint, mut incoming) =
            PeerEndpoint::bind(any_port(), &tls, &identity, faults, metrics).expect("a port");
        let state = Arc::new(Mutex::new(ZoneState {
            version: 1,
            ..ZoneState::default()
        }));
        let shared = state.clone();
        tokio::spawn(async move {
            while let Some(incoming) = incoming.recv().await {
                let state = shared.clone();
                tokio::spawn(async move {
                    while let Ok(PeerStream::Call(call)) = incoming.connection.accept().await {
                        tokio::spawn(answer(call, state.clone()));
                    }
                });
            }
        });
        Self {
            address: endpoint.local_addr().expect("an address"),
            state,
            _endpoint: endpoint,
        }
    }

    /// Adds a service with a single backend server, whose dispatcher is the entry process on `vm`.
    pub fn serve(&self, record: ServerRecord, vm: &str, policy: ServicePolicy) {
        let mut state = self.state.lock().expect("state");
        state.table.revision += 1;
        state.table.services.insert(record.service.clone(), policy);
        state.servers.push((record, vm.to_owned()));
        state.version += 1;
    }
}

impl ZoneState {
    fn renew(&mut self, request: RenewRequest) -> RenewAnswer {
        let entry = request.entry;
        if !entry.lacks_addresses() && self.entries.get(&entry.vm) != Some(&entry) {
            self.entries.insert(entry.vm.clone(), entry);
            self.version += 1;
        }
        let changes = if request.known_view == self.version {
            Vec::new()
        } else {
            self.changes()
        };
        RenewAnswer::Granted {
            lease: LEASE,
            update: ViewUpdate {
                version: self.version,
                changes,
            },
        }
    }

    fn changes(&self) -> Vec<ViewChange> {
        let all = vec![SlotRun::new(0, SLOTS_PER_SERVICE - 1)];
        let mut changes = vec![
            ViewChange::Reset,
            ViewChange::TableInForce(self.table.clone()),
            ViewChange::ZoneEntries {
                zone: ZONE.to_owned(),
                entries: self.entries.values().cloned().collect(),
            },
        ];
        for (record, vm) in &self.servers {
            let service = record.service.clone();
            changes.push(ViewChange::ServerUpserted(record.clone()));
            changes.push(ViewChange::DispatcherAssigned {
                server: record.server.clone(),
                vm: Some(vm.clone()),
                epoch: 1,
            });
            changes.push(ViewChange::CustodyAssigned {
                service: service.clone(),
                runs: all.clone(),
                zone: ZONE.to_owned(),
                generation: 1,
            });
            changes.push(ViewChange::SlotsAssigned {
                service,
                runs: all.clone(),
                owner: SlotOwner::Owned {
                    server: record.server.clone(),
                    token: FencingToken::new(1, 7),
                },
            });
        }
        changes
    }

    fn claim(&mut self, claim: ClaimRequest) -> ClaimAnswer {
        self.claim_requests += 1;
        match self.claims.get(&claim.order_key) {
            None | Some(Some(ClaimResolution::NotRun)) => {
                self.claims.insert(claim.order_key, None);
                ClaimAnswer::Granted
            }
            Some(None) => ClaimAnswer::InProgress,
            Some(Some(ClaimResolution::Answered(answer))) => ClaimAnswer::Stored(answer.clone()),
            Some(Some(ClaimResolution::Unknown)) => ClaimAnswer::Unknown,
        }
    }

    fn resolve(&mut self, request: ResolveClaimRequest) {
        let resolution = request.resolution.expect("a resolution");
        let resolution = resolution.try_into().expect("a known resolution");
        self.claims.insert(request.order_key, Some(resolution));
    }
}

async fn answer(mut call: CallStream, state: Arc<Mutex<ZoneState>>) {
    let request: Call = call.read().await.expect("a call");
    let reply = reply_to(
        request.call.expect("a call"),
        &mut state.lock().expect("state"),
    );
    let _ = call.reply(&Reply { reply: Some(reply) }).await;
}

fn reply_to(call: CallKind, state: &mut ZoneState) -> ReplyKind {
    let done = Acknowledgement {
        answer: Some(Acknowledged::Done(Empty {})),
    };
    match call {
        CallKind::Renew(request) => {
            ReplyKind::Renew(state.renew(request.try_into().expect("renewal")).into())
        }
        CallKind::Claim(claim) => {
            ReplyKind::Claim(state.claim(claim.try_into().expect("claim")).into())
        }
        CallKind::ResolveClaim(request) => {
            state.resolve(request);
            ReplyKind::Acknowledged(done)
        }
        CallKind::CrashReport(_) => ReplyKind::Acknowledged(done),
        _ => panic!("not a call of an entry process"),
    }
}
