//! Measures the load that the global group puts on its members, in virtual time.
//!
//! Each availability zone has three control processes, the first of which is in the global group.
//! The leaders of the zones sync every 0.5 s, their entry processes renew every 0.4 s, and edits
//! arrive at the rate of the run. Only the messages of the global group, syncs and edits are
//! counted, encoded and decoded as between real processes; the transport below and the disk are not
//! measured. Processor time is that of the whole control process of the global leader, which may
//! lead its zone too.
//!
//! Run it with `cargo run --release -p chicory_control --example measure_global`.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use chicory_consensus::{ConfigError, MemberId, PeerMessage, RestoredState};
use chicory_control::{
    Caller, ControlCall, ControlConfig, ControlCore, ControlEffect, ControlEvent, ControlReply,
    GroupName, OperatorCall, OperatorReply, call_from_message, new_global_group, reply_message,
};
use chicory_ownership::{EntryRecord, RenewAnswer, RenewRequest};
use chicory_table::{CustodyLease, EditOutcome, ServicePolicy, TableChange};
use chicory_types::{MonoTime, VmId, ZoneName};
use chicory_wire::peer_message;
use chicory_wire::proto::consensus;
use chicory_wire::proto::peer::{Call, call::Call as CallContent};
use prost::Message;

const VOTERS: usize = 3;
const STEP: Duration = Duration::from_millis(10);
const RENEW_INTERVAL: Duration = Duration::from_millis(400);
const FORMATION_TIME: Duration = Duration::from_secs(10);
const SETTLE_TIME: Duration = Duration::from_secs(10);
const MEASUREMENT_TIME: Duration = Duration::from_secs(20);
const SERVICES: usize = 20;
/// Identifier of the first renewal of an entry process. The calls of control processes and
/// operators have smaller ones.
const FIRST_RENEWAL: u64 = 1 << 32;
const OPERATOR_CALL: u64 = 1 << 31;

/// Size of one run.
#[derive(Clone, Copy)]
struct Size {
    zones: usize,
    entries: usize,
    edits_per_s: u32,
}

const SIZES: [Size; 9] = [
    size(3, 0, 0),
    size(5, 0, 0),
    size(7, 0, 0),
    size(7, 16, 0),
    size(7, 32, 0),
    size(7, 64, 0),
    size(7, 16, 1),
    size(7, 16, 2),
    size(7, 16, 4),
];

const fn size(zones: usize, entries: usize, edits_per_s: u32) -> Size {
    Size {
        zones,
        entries,
        edits_per_s,
    }
}

/// Load of one control process.
#[derive(Clone, Copy, Default)]
struct Cost {
    cpu_time: Duration,
    global_bytes: usize,
    sync_bytes: usize,
    messages: usize,
}

struct Process {
    core: ControlCore,
    zone: ZoneName,
    cost: Cost,
}

struct Deployment {
    now: MonoTime,
    size: Size,
    processes: BTreeMap<VmId, Process>,
    queue: VecDeque<(VmId, ControlEvent)>,
    views: BTreeMap<u64, u64>,
    next_renewal: MonoTime,
    revision: u64,
    accepted: u64,
    edits: u64,
}

fn main() -> Result<(), ConfigError> {
    println!(
        "zones entries/zone edits/s | leader cpu %  global KB/s  sync KB/s  msg/s | zone leader \
         cpu %  sync KB/s | edits accepted"
    );
    for size in SIZES {
        let mut deployment = Deployment::new(size)?;
        deployment.run(FORMATION_TIME, 0);
        deployment.create_services();
        deployment.run(SETTLE_TIME, 0);
        deployment.reset();
        deployment.run(MEASUREMENT_TIME, size.edits_per_s);
        deployment.report();
    }
    Ok(())
}

impl Deployment {
    fn new(size: Size) -> Result<Self, ConfigError> {
        let global: Vec<VmId> = (0..size.zones).map(|zone| vm_name(zone, 0)).collect();
        let mut processes = BTreeMap::new();
        for zone in 0..size.zones {
            for n in 0..VOTERS {
                let process = Process::new(zone, n, &global)?;
                processes.insert(vm_name(zone, n), process);
            }
        }
        Ok(Self {
            now: Duration::ZERO,
            size,
            processes,
            queue: VecDeque::new(),
            views: BTreeMap::new(),
            next_renewal: Duration::ZERO,
            revision: 0,
            accepted: 0,
            edits: 0,
        })
    }

    fn reset(&mut self) {
        self.accepted = 0;
        for process in self.processes.values_mut() {
            process.cost = Cost::default();
        }
    }

    fn run(&mut self, span: Duration, edits_per_s: u32) {
        let end = self.now + span;
        let mut next_edit = self.now;
        while self.now < end {
            self.now += STEP;
            for vm in self.processes.keys() {
                let tick = ControlEvent::Tick { wall_ms: 0 };
                self.queue.push_back((vm.clone(), tick));
            }
            if self.next_renewal <= self.now {
                self.next_renewal = self.now + RENEW_INTERVAL;
                self.renew_all();
            }
            if edits_per_s > 0 && next_edit <= self.now {
                next_edit += Duration::from_secs(1) / edits_per_s;
                self.edit();
            }
            self.drain();
        }
    }

    fn drain(&mut self) {
        while let Some((vm, event)) = self.queue.pop_front() {
            let Some(process) = self.processes.get_mut(&vm) else {
                continue;
            };
            let started = Instant::now();
            let effects = process.core.reduce(self.now, event);
            process.cost.cpu_time += started.elapsed();
            for effect in effects {
                self.carry_out(&vm, effect);
            }
        }
    }

    fn carry_out(&mut self, vm: &VmId, effect: ControlEffect) {
        match effect {
            ControlEffect::Send { group, to, message } => self.send(vm, group, &to.vm, message),
            ControlEffect::Reply { call, reply } => self.reply(vm, call, reply),
            ControlEffect::SyncZone { to, request } => {
                let call = Call {
                    call: Some(CallContent::ZoneSync(request.into())),
                };
                self.call(vm, &to, &call);
            }
            ControlEffect::AskFormation { to, request } => {
                let event = ControlEvent::CallReceived {
                    call: self.call_id(vm),
                    from: Caller::Control(vm.clone()),
                    request: ControlCall::AskFormation(request),
                };
                self.queue.push_back((to, event));
            }
            _ => {}
        }
    }

    /// Sends a message of a group as bytes; the bytes of zone groups aren't counted.
    fn send(&mut self, vm: &VmId, group: GroupName, to: &VmId, message: PeerMessage) {
        let started = Instant::now();
        let bytes = peer_message(group.into(), message).encode_to_vec();
        let counted = if group == GroupName::Global {
            bytes.len()
        } else {
            0
        };
        self.charge_group(vm, started.elapsed(), counted);
        let started = Instant::now();
        let message = consensus::PeerMessage::decode(bytes.as_slice())
            .ok()
            .and_then(|message| PeerMessage::try_from(message).ok());
        self.charge_group(to, started.elapsed(), counted);
        if let Some(message) = message {
            let event = ControlEvent::PeerReceived {
                group,
                from: message.from.clone(),
                message,
            };
            self.queue.push_back((to.clone(), event));
        }
    }

    fn charge_group(&mut self, vm: &VmId, cpu_time: Duration, bytes: usize) {
        if let Some(process) = self.processes.get_mut(vm) {
            process.cost.cpu_time += cpu_time;
            process.cost.global_bytes += bytes;
            process.cost.messages += usize::from(bytes > 0);
        }
    }

    fn charge_sync(&mut self, vm: &VmId, cpu_time: Duration, bytes: usize) {
        if let Some(process) = self.processes.get_mut(vm) {
            process.cost.cpu_time += cpu_time;
            process.cost.sync_bytes += bytes;
            process.cost.messages += 1;
        }
    }

    fn call(&mut self, from: &VmId, to: &VmId, call: &Call) {
        let started = Instant::now();
        let bytes = call.encode_to_vec();
        self.charge_sync(from, started.elapsed(), bytes.len());
        let started = Instant::now();
        let request = Call::decode(bytes.as_slice())
            .ok()
            .and_then(|call| call_from_message(call).ok());
        self.charge_sync(to, started.elapsed(), bytes.len());
        if let Some(request) = request {
            let event = ControlEvent::CallReceived {
                call: self.call_id(from),
                from: Caller::Control(from.clone()),
                request,
            };
            self.queue.push_back((to.clone(), event));
        }
    }

    fn call_id(&self, vm: &VmId) -> u64 {
        let index = self.processes.keys().position(|known| known == vm);
        u64::try_from(index.unwrap_or(0)).unwrap_or(0)
    }

    fn reply(&mut self, vm: &VmId, call: u64, reply: ControlReply) {
        match reply {
            ControlReply::Renew(RenewAnswer::Granted { update, .. }) => {
                self.views.insert(call, update.version);
            }
            ControlReply::ZoneSync(answer) => {
                let caller = self.caller(call);
                let started = Instant::now();
                let message = reply_message(ControlReply::ZoneSync(answer.clone()));
                let bytes = message.encode_to_vec();
                self.charge_sync(vm, started.elapsed(), bytes.len());
                self.charge_sync(&caller, Duration::ZERO, bytes.len());
                let event = ControlEvent::ZoneSyncAnswered {
                    sent_at: self.now,
                    from: vm.clone(),
                    answer,
                };
                self.queue.push_back((caller, event));
            }
            ControlReply::Formation(answer) => {
                let group = GroupName::Global;
                let event = ControlEvent::FormationAnswered { group, answer };
                self.queue.push_back((self.caller(call), event));
            }
            ControlReply::Operator(OperatorReply::Edited(outcome)) => self.record_edit(&outcome),
            _ => {}
        }
    }

    fn record_edit(&mut self, outcome: &EditOutcome) {
        match outcome {
            EditOutcome::Accepted { revision } => {
                self.revision = *revision;
                self.accepted += 1;
            }
            EditOutcome::Conflict { current_revision } => self.revision = *current_revision,
            _ => {}
        }
    }

    fn caller(&self, call: u64) -> VmId {
        let index = usize::try_from(call).unwrap_or(0);
        self.processes
            .keys()
            .nth(index)
            .cloned()
            .unwrap_or_default()
    }

    fn leader(&self, group: GroupName, zone: Option<&str>) -> Option<VmId> {
        let mut processes = self.processes.iter();
        let leader = processes.find(|(_, process)| {
            zone.is_none_or(|zone| process.zone == zone) && process.core.leads(group)
        });
        leader.map(|(vm, _)| vm.clone())
    }

    /// Sends the renewals of all entry processes; their messages aren't counted.
    fn renew_all(&mut self) {
        for zone in 0..self.size.zones {
            let Some(leader) = self.leader(GroupName::Zone, Some(&zone_name(zone))) else {
                continue;
            };
            for n in 0..self.size.entries {
                let number = u64::try_from(zone * self.size.entries + n).unwrap_or(0);
                let call = FIRST_RENEWAL + number;
                let known_view = self.views.get(&call).copied().unwrap_or(0);
                let request = renewal(zone, n, known_view);
                let event = ControlEvent::CallReceived {
                    call,
                    from: Caller::Entry(request.entry.vm.clone()),
                    request: ControlCall::Renew(request),
                };
                self.queue.push_back((leader.clone(), event));
            }
        }
    }

    fn create_services(&mut self) {
        let zones = self.size.zones;
        let changes = (0..SERVICES).map(|n| put_service(n, zones, 100));
        self.send_edit(changes.collect());
        self.drain();
    }

    fn edit(&mut self) {
        let weight = 100 + u32::try_from(self.edits % 100).unwrap_or(0);
        let change = put_service(0, self.size.zones, weight);
        self.send_edit(vec![change]);
    }

    fn send_edit(&mut self, changes: Vec<TableChange>) {
        let Some(leader) = self.leader(GroupName::Global, None) else {
            return;
        };
        self.edits += 1;
        let event = ControlEvent::CallReceived {
            call: OPERATOR_CALL + self.edits,
            from: Caller::Operator("ana".to_owned()),
            request: ControlCall::Operator(OperatorCall::EditTable {
                edit_id: format!("edit-{}", self.edits),
                base_revision: self.revision,
                changes,
            }),
        };

        self.queue.push_back((leader, event));
    }

    fn report(&self) {
        let leader = self.leader(GroupName::Global, None).unwrap_or_default();
        let zone_leaders = self
            .processes
            .iter()
            .filter(|(vm, process)| process.core.leads(GroupName::Zone) && **vm != leader);
        let zone_costs = zone_leaders.map(|(_, process)| process.cost);
        let zone = zone_costs
            .max_by_key(|cost| cost.sync_bytes)
            .unwrap_or_default();
        let leader_cost = self
            .processes
            .get(&leader)
            .map_or_else(Cost::default, |process| process.cost);
        let seconds = MEASUREMENT_TIME.as_secs_f64();
        println!(
            "{:>5} {:>12} {:>7} | {:>12.3} {:>12.1} {:>10.1} {:>6.0} | {:>17.3} {:>10.2} | {:>8}",
            self.size.zones,
            self.size.entries,
            self.size.edits_per_s,
            leader_cost.cpu_time.as_secs_f64() / seconds * 100.0,
            kilobytes(leader_cost.global_bytes) / seconds,
            kilobytes(leader_cost.sync_bytes) / seconds,
            f64::from(u32::try_from(leader_cost.messages).unwrap_or(u32::MAX)) / seconds,
            zone.cpu_time.as_secs_f64() / seconds * 100.0,
            kilobytes(zone.sync_bytes) / seconds,
            self.accepted,
        );
    }
}

impl Process {
    fn new(zone: usize, n: usize, global_vms: &[VmId]) -> Result<Self, ConfigError> {
        let vm = vm_name(zone, n);
        let incarnation = 1;
        let config = ControlConfig {
            is_zone_durable: false,
            vm: vm.clone(),
            incarnation,
            zone: zone_name(zone),
            zone_vms: (0..VOTERS).map(|n| vm_name(zone, n)).collect(),
            global_vms: global_vms.iter().cloned().collect(),
            seed: u64::try_from(zone * VOTERS + n).unwrap_or(0),
        };
        let global = if n == 0 {
            let member = MemberId::new(vm, incarnation);
            let vms = &config.global_vms;
            let fresh = RestoredState::fresh();
            Some(new_global_group(member, vms, fresh, false, Duration::ZERO)?)
        } else {
            None
        };
        Ok(Self {
            zone: config.zone.clone(),
            core: ControlCore::new(config, global, None, Duration::ZERO)?,
            cost: Cost::default(),
        })
    }
}

fn zone_name(zone: usize) -> ZoneName {
    format!("zone-{zone}")
}

fn vm_name(zone: usize, n: usize) -> VmId {
    format!("vm-{zone}-{n}")
}

fn renewal(zone: usize, n: usize, known_view: u64) -> RenewRequest {
    RenewRequest {
        entry: EntryRecord {
            vm: format!("entry-{zone}-{n}"),
            incarnation: 1,
            peer_address: format!("10.{zone}.0.{n}:7100"),
            announce_address: format!("10.{zone}.0.{n}:7101"),
        },
        known_view,
        stopping: false,
        announcements: Vec::new(),
        released: Vec::new(),
        resigned: Vec::new(),
        reports: Vec::new(),
    }
}

fn put_service(n: usize, zones: usize, weight: u32) -> TableChange {
    TableChange::PutService {
        service: format!("service-{n}"),
        policy: ServicePolicy {
            weight,
            max_in_flight: 0,
            max_connections: 0,
            queue_limit: 30,
            rate_limit_per_s: 0,
            keyed: true,
            idempotent: true,
            deadline: Duration::from_secs(2),
            custody_lease: CustodyLease::Unlimited,
            zones: (0..zones).map(zone_name).collect(),
        },
    }
}

fn kilobytes(bytes: usize) -> f64 {
    f64::from(u32::try_from(bytes).unwrap_or(u32::MAX)) / 1_000.0
}
