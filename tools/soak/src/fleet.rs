//! The backend servers of a run.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use platform_stand_ins::{
    BackendServer, BackendServerConfig, ColdLimit, LoadStatement, ServerObserver,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use snafu::ResultExt;
use tokio::sync::Mutex;

use crate::addresses::Addresses;
use crate::cluster::CONTROL_VMS;
use crate::guarantees::Guarantees;
use crate::link_source::Recognition;
use crate::plan::Plan;
use crate::proxy::Proxy;
use crate::proxy_rules::ProxyRules;
use crate::soak_error::{ListenSnafu, SoakError};
use crate::successor::Successor;

/// Service whose servers own keys.
pub(crate) const ARCHIVE: &str = "archive";
/// Service that carries out orders.
pub(crate) const LEDGER: &str = "ledger";
/// Service with large answers.
pub(crate) const LIBRARY: &str = "library";
/// Number of servers that own keys. They are the first ones.
pub(crate) const KEYED_SERVERS: usize = 5;
/// Number of servers of each service.
const SERVERS: [(&str, usize); 3] = [(ARCHIVE, KEYED_SERVERS), (LEDGER, 4), (LIBRARY, 3)];
/// Number of server addresses. Each incarnation uses the one that has been free for longest.
const ADDRESSES: u8 = 24;
/// Time after which an address may be used again, also for another service. It is part of the
/// operators' requirements.
const ADDRESS_REUSE: Duration = Duration::from_secs(2);
/// Time for which an address stays unused beyond [`ADDRESS_REUSE`].
const REUSE_MARGIN: Duration = Duration::from_millis(200);
/// What a cold server can take, in runs whose servers start cold. It is part of the operators'
/// requirements.
pub(crate) const COLD_LIMIT: ColdLimit = ColdLimit {
    cold_time: Duration::from_secs(3),
    rate_per_s: 4.0,
    overage: 1.5,
    slack: 8.0,
};
/// Upper bound of the factor by which a server's clock is slow. It is part of the operators'
/// requirements.
const SLOWEST_CLOCK: f64 = 1.02;

/// One member of the fleet, with the current incarnation of its server.
struct FleetMember {
    service: &'static str,
    server: Option<BackendServer>,
    address: u8,
    proxy: Option<Proxy>,
    /// Whether the next incarnation is about to start at the same address.
    is_restarting: bool,
}

/// The backend servers of a run.
pub(crate) struct Fleet {
    addresses: Addresses,
    guarantees: Arc<Guarantees>,
    rules: Arc<ProxyRules>,
    rng: StdRng,
    members: Vec<FleetMember>,
    /// Free addresses, each with the time from which it may be used.
    free: VecDeque<(u8, Instant)>,
    incarnations: u32,
    /// Whether servers start cold, and those without keys state their load.
    starts_cold: bool,
}

impl Fleet {
    pub(crate) fn new(
        addresses: Addresses,
        guarantees: Arc<Guarantees>,
        rules: Arc<ProxyRules>,
        seed: u64,
    ) -> Self {
        let members = SERVERS.iter().flat_map(|(service, count)| {
            (0..*count).map(|_| FleetMember {
                service,
                server: None,
                address: 0,
                proxy: None,
                is_restarting: false,
            })
        });
        let now = Instant::now();
        Self {
            addresses,
            guarantees,
            rules,
            rng: StdRng::seed_from_u64(seed),
            members: members.collect(),
            free: (0..ADDRESSES).map(|address| (address, now)).collect(),
            incarnations: 0,
            starts_cold: Plan::has_evacuations(seed),
        }
    }

    /// Returns the number of servers.
    pub(crate) fn count() -> usize {
        SERVERS.iter().map(|(_, count)| count).sum()
    }

    /// Starts all servers.
    pub(crate) async fn start(&mut self) -> Result<(), SoakError> {
        for member in 0..self.members.len() {
            self.start_incarnation(member).await?;
        }
        Ok(())
    }

    /// Returns the current incarnation of a member, if it runs.
    pub(crate) fn server(&self, member: usize) -> Option<BackendServer> {
        self.members[member].server.clone()
    }

    /// Ends the current incarnation of a member as by a crash, and frees its address.
    pub(crate) fn crash(&mut self, member: usize) {
        let ended = &mut self.members[member];
        if let Some(server) = ended.server.take() {
            server.crash();
            ended.proxy = None;
            let reuse_at = Instant::now() + ADDRESS_REUSE + REUSE_MARGIN;
            self.free.push_back((ended.address, reuse_at));
        }
    }

    /// Ends the current incarnation of a member as by a crash. After `down` its successor starts
    /// at the same address.
    pub(crate) async fn restart(
        fleet: &Mutex<Self>,
        member: usize,
        successor: Successor,
        down: Duration,
    ) -> Result<(), SoakError> {
        let (address, id, started_at_ms) = {
            let mut fleet = fleet.lock().await;
            let ended = &mut fleet.members[member];
            let Some(server) = ended.server.take() else {
                return Ok(());
            };
            server.crash();
            ended.proxy = None;
            ended.is_restarting = true;
            (
                ended.address,
                server.config().id.clone(),
                server.config().started_at_ms,
            )
        };
        tokio::time::sleep(down).await;
        let mut fleet = fleet.lock().await;
        fleet.members[member].is_restarting = false;
        let id = match successor {
            Successor::SameId => id,
            Successor::NewId | Successor::NewIdSameStart => fleet.new_id(member),
        };
        let mut config = fleet.config(member, address, id);
        if successor == Successor::NewIdSameStart {
            config.started_at_ms = started_at_ms;
        }
        fleet.start_server(member, address, config).await
    }

    /// Makes all servers of a zone cold.
    pub(crate) fn turn_cold(&self, zone: &str) {
        let servers = self
            .members
            .iter()
            .filter_map(|member| member.server.as_ref());
        for server in servers.filter(|server| server.config().zone == zone) {
            server.turn_cold();
        }
    }

    /// Starts the next incarnation of each server that ended by itself.
    pub(crate) async fn restart_ended(&mut self) -> Result<(), SoakError> {
        for member in 0..self.members.len() {
            let server = self.server(member);
            if server.is_some_and(|server| server.has_ended()) {
                self.crash(member);
                self.start_incarnation(member).await?;
            }
        }
        Ok(())
    }

    /// Ends all servers, so that none of them goes on beside later runs.
    pub(crate) fn crash_all(&mut self) {
        for member in 0..self.members.len() {
            self.crash(member);
        }
    }

    /// Starts a new incarnation of a member, unless one runs.
    pub(crate) async fn start_incarnation(&mut self, member: usize) -> Result<(), SoakError> {
        if self.members[member].server.is_some() || self.members[member].is_restarting {
            return Ok(());
        }
        let Some((address, free_at)) = self.free.pop_front() else {
            return Ok(());
        };
        tokio::time::sleep_until(free_at.into()).await;
        // Half of the incarnations use the id of their member again, with another start time; the
        // others get an id of their own.
        let id = if self.rng.random_bool(0.5) {
            format!("{}-{member}", self.members[member].service)
        } else {
            self.new_id(member)
        };
        let config = self.config(member, address, id);
        self.start_server(member, address, config).await
    }

    async fn start_server(
        &mut self,
        member: usize,
        address: u8,
        config: BackendServerConfig,
    ) -> Result<(), SoakError> {
        self.incarnations += 1;
        let name = format!("{}#{}", config.id, self.incarnations);
        self.guarantees
            .record_incarnation(&name, &config.service, &config.zone);
        let (advertised, target) = (config.announced_address, config.listen_address);
        let observer: Arc<dyn ServerObserver> = self.guarantees.clone();
        let started = BackendServer::start(config, name.clone(), observer).await;
        let server = started.context(ListenSnafu { name })?;
        let proxy =
            Proxy::start(advertised, target, Recognition::Process, self.rules.clone()).await?;
        let member = &mut self.members[member];
        member.server = Some(server);
        member.address = address;
        member.proxy = Some(proxy);
        Ok(())
    }

    /// Returns an id that no other incarnation has.
    fn new_id(&self, member: usize) -> String {
        let service = self.members[member].service;
        format!("{service}-{member}-{}", self.incarnations + 1)
    }

    fn config(&mut self, member: usize, address: u8, id: String) -> BackendServerConfig {
        let service = self.members[member].service;
        let control_vms = (0..CONTROL_VMS).map(|index| self.addresses.control_interface(index));
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let started_at_ms = since_epoch.map_or(0, |since| since.as_millis());
        BackendServerConfig {
            id,
            started_at_ms: u64::try_from(started_at_ms).ok(),
            service: service.to_owned(),
            zone: zone_name(member % usize::from(CONTROL_VMS)),
            listen_address: self.addresses.server_listen(address),
            announced_address: self.addresses.server_advertised(address),
            control_vms: control_vms.collect(),
            is_keyed: service == ARCHIVE,
            slots: 3,
            queue_capacity: 6,
            work_time: Duration::from_millis(self.rng.random_range(10..60)),
            body_bytes: if service == LIBRARY { 60_000 } else { 300 },
            announce_interval: Duration::from_millis(700),
            clock_factor: self.rng.random_range(1.0..SLOWEST_CLOCK),
            load_statement: if self.starts_cold && service != ARCHIVE {
                LoadStatement::True
            } else {
                LoadStatement::None
            },
            cold_limit: self.starts_cold.then_some(COLD_LIMIT),
        }
    }
}

/// Returns the name of a zone by its index.
pub(crate) fn zone_name(index: usize) -> String {
    format!("zone-{index}")
}
