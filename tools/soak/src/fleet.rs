//! The backend servers of a run.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use platform_stand_ins::{BackendServer, BackendServerConfig, ServerObserver};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use snafu::ResultExt;

use crate::addresses::Addresses;
use crate::cluster::CONTROL_VMS;
use crate::promises::Promises;
use crate::proxy::Proxy;
use crate::proxy_rules::ProxyRules;
use crate::soak_error::{ListenSnafu, SoakError};

/// Service whose servers own keys.
pub(crate) const ARCHIVE: &str = "archive";
/// Service that carries out orders.
pub(crate) const LEDGER: &str = "ledger";
/// Service with large answers.
pub(crate) const LIBRARY: &str = "library";
/// Servers of each service.
const SERVERS: [(&str, usize); 3] = [(ARCHIVE, 5), (LEDGER, 4), (LIBRARY, 3)];
/// Addresses of servers; each life takes the one that has been free for longest.
const ADDRESSES: u8 = 24;
/// Time after which an address may be used again, also for another service; stated by the
/// operators.
const ADDRESS_REUSE: Duration = Duration::from_secs(2);
/// The part that an address is kept free for longer than that.
const REUSE_MARGIN: Duration = Duration::from_millis(200);
/// Most that a server's clock is slow, as stated by the operators.
const SLOWEST_CLOCK: f64 = 1.02;

/// One place for a server, with its present life.
struct Place {
    service: &'static str,
    server: Option<BackendServer>,
    address: u8,
    proxy: Option<Proxy>,
}

/// The backend servers of a run.
pub(crate) struct Fleet {
    addresses: Addresses,
    promises: Arc<Promises>,
    rules: Arc<ProxyRules>,
    rng: StdRng,
    places: Vec<Place>,
    /// Free addresses with the time at which each may be used.
    free: VecDeque<(u8, Instant)>,
    lives: u32,
}

impl Fleet {
    pub(crate) fn new(
        addresses: Addresses,
        promises: Arc<Promises>,
        rules: Arc<ProxyRules>,
        seed: u64,
    ) -> Self {
        let places = SERVERS.iter().flat_map(|(service, count)| {
            (0..*count).map(|_| Place {
                service,
                server: None,
                address: 0,
                proxy: None,
            })
        });
        let now = Instant::now();
        Self {
            addresses,
            promises,
            rules,
            rng: StdRng::seed_from_u64(seed),
            places: places.collect(),
            free: (0..ADDRESSES).map(|address| (address, now)).collect(),
            lives: 0,
        }
    }

    /// Number of servers.
    pub(crate) fn count() -> usize {
        SERVERS.iter().map(|(_, count)| count).sum()
    }

    /// Starts all servers.
    pub(crate) async fn start(&mut self) -> Result<(), SoakError> {
        for place in 0..self.places.len() {
            self.start_life(place).await?;
        }
        Ok(())
    }

    /// The present life at a place.
    pub(crate) fn server(&self, place: usize) -> Option<BackendServer> {
        self.places[place].server.clone()
    }

    /// Ends the life at a place; its address becomes free.
    pub(crate) fn crash(&mut self, place: usize) {
        let ended = &mut self.places[place];
        if let Some(server) = ended.server.take() {
            server.crash();
            ended.proxy = None;
            let reuse_at = Instant::now() + ADDRESS_REUSE + REUSE_MARGIN;
            self.free.push_back((ended.address, reuse_at));
        }
    }

    /// Begins a new life at a place without one.
    pub(crate) async fn start_life(&mut self, place: usize) -> Result<(), SoakError> {
        if self.places[place].server.is_some() {
            return Ok(());
        }
        let Some((address, free_at)) = self.free.pop_front() else {
            return Ok(());
        };
        tokio::time::sleep_until(free_at.into()).await;
        let plan = self.plan(place, address);
        self.lives += 1;
        let name = format!("{}#{}", plan.id, self.lives);
        self.promises.begins_server(&name, &plan.service);
        let (told, own) = (plan.announced_address, plan.listen_address);
        let witness: Arc<dyn ServerObserver> = self.promises.clone();
        let started = BackendServer::start(plan, name.clone(), witness).await;
        let server = started.context(ListenSnafu { name })?;
        let proxy = Proxy::start(told, own, false, self.rules.clone()).await?;
        let place = &mut self.places[place];
        place.server = Some(server);
        place.address = address;
        place.proxy = Some(proxy);
        Ok(())
    }

    fn plan(&mut self, place: usize, address: u8) -> BackendServerConfig {
        let service = self.places[place].service;
        let control_vms = (0..CONTROL_VMS).map(|index| self.addresses.control_interface(index));
        // Half of the lives come back under the id of their place, with another start.
        let keeps_id = self.rng.random_bool(0.5);
        let id = if keeps_id {
            format!("{service}-{place}")
        } else {
            format!("{service}-{place}-{}", self.lives + 1)
        };
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let started_at_ms = since_epoch.map_or(0, |since| since.as_millis());
        BackendServerConfig {
            id,
            started_at_ms: u64::try_from(started_at_ms).ok(),
            service: service.to_owned(),
            zone: format!("zone-{}", place % usize::from(CONTROL_VMS)),
            listen_address: self.addresses.server_own(address),
            announced_address: self.addresses.server_told(address),
            control_vms: control_vms.collect(),
            is_keyed: service == ARCHIVE,
            slots: 3,
            queue_capacity: 6,
            work_time: Duration::from_millis(self.rng.random_range(10..60)),
            body_bytes: if service == LIBRARY { 60_000 } else { 300 },
            announce_interval: Duration::from_millis(700),
            clock_factor: self.rng.random_range(1.0..SLOWEST_CLOCK),
        }
    }
}
