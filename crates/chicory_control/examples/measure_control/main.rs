//! Measures the load of control traffic on a zone's voters and entry processes, in virtual time.
//!
//! Three control processes form the group of one zone, and the first of them the global group. Each
//! entry process renews every 0.4 s. Every 5 s it also reports on its share of the backend servers,
//! with as many slots as a report may list. Every message is encoded and decoded as between real
//! processes; the transport below is not measured. The figures are processor time per second of
//! virtual time, and bytes per second. The number of entry processes differs from run to run.
//!
//! Run it with `cargo run --release -p chicory_control --example measure_control`.

mod entry;

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use chicory_consensus::{ConfigError, MemberId, PeerMessage, RestoredState};
use chicory_control::{
    Caller, ControlCall, ControlConfig, ControlCore, ControlEffect, ControlEvent, ControlReply,
    GroupName, OperatorCall, call_from_message, new_global_group, reply_message,
};
use chicory_ownership::{RenewAnswer, StoredAnswer};
use chicory_table::{CustodyLease, ServicePolicy, TableChange};
use chicory_types::{MonoTime, VmId};
use chicory_wire::peer_message;
use chicory_wire::proto::consensus;
use chicory_wire::proto::peer::{Call, call::Call as CallContent};
use prost::Message;

use crate::entry::Entry;

const ZONE: &str = "north";
const VOTERS: usize = 3;
const STEP: Duration = Duration::from_millis(10);
const RENEW_INTERVAL: Duration = Duration::from_millis(400);
const REPORT_INTERVAL: Duration = Duration::from_secs(5);
const WARM_UP_TIME: Duration = Duration::from_secs(30);
const MEASUREMENT_TIME: Duration = Duration::from_secs(20);
const SERVICES: usize = 20;

/// Size of one run.
#[derive(Clone, Copy)]
struct Size {
    entries: usize,
    servers: usize,
    orders_per_s: usize,
}

const SIZES: [Size; 9] = [
    Size {
        entries: 8,
        servers: 128,
        orders_per_s: 0,
    },
    Size {
        entries: 16,
        servers: 128,
        orders_per_s: 0,
    },
    Size {
        entries: 32,
        servers: 128,
        orders_per_s: 0,
    },
    Size {
        entries: 64,
        servers: 128,
        orders_per_s: 0,
    },
    Size {
        entries: 64,
        servers: 256,
        orders_per_s: 0,
    },
    Size {
        entries: 64,
        servers: 512,
        orders_per_s: 0,
    },
    Size {
        entries: 16,
        servers: 128,
        orders_per_s: 50,
    },
    Size {
        entries: 16,
        servers: 128,
        orders_per_s: 100,
    },
    Size {
        entries: 16,
        servers: 128,
        orders_per_s: 200,
    },
];

/// Load of one voter.
#[derive(Clone, Copy, Default)]
struct Cost {
    cpu_time: Duration,
    bytes: usize,
    messages: usize,
}

struct Voter {
    core: ControlCore,
    cost: Cost,
}

struct Deployment {
    now: MonoTime,
    voters: BTreeMap<VmId, Voter>,
    entries: Vec<Entry>,
    queue: VecDeque<(VmId, ControlEvent)>,
    renewals: BTreeMap<u64, usize>,
    last_call: u64,
    orders: u64,
}

fn main() -> Result<(), ConfigError> {
    println!(
        "entries servers orders/s | leader cpu %  KB/s msg/s | follower cpu %  KB/s | entry KB/s"
    );
    for size in SIZES {
        measure(size)?;
    }
    Ok(())
}

fn measure(size: Size) -> Result<(), ConfigError> {
    let mut deployment = Deployment::new(size)?;
    deployment.run(Duration::from_secs(8), 0);
    deployment.edit_table();
    deployment.run(WARM_UP_TIME, 0);
    deployment.reset();
    deployment.run(MEASUREMENT_TIME, size.orders_per_s);
    deployment.report(size);
    Ok(())
}

impl Deployment {
    fn new(size: Size) -> Result<Self, ConfigError> {
        let vms: Vec<VmId> = (0..VOTERS).map(|n| format!("vm-{n}")).collect();
        let mut voters = BTreeMap::new();
        for (n, vm) in vms.iter().enumerate() {
            voters.insert(vm.clone(), Voter::new(n, vm, &vms)?);
        }
        let entries = (0..size.entries).map(|n| Entry::new(n, size)).collect();
        Ok(Self {
            now: Duration::ZERO,
            voters,
            entries,
            queue: VecDeque::new(),
            renewals: BTreeMap::new(),
            last_call: 1_000,
            orders: 0,
        })
    }

    fn reset(&mut self) {
        for voter in self.voters.values_mut() {
            voter.cost = Cost::default();
        }
        for entry in &mut self.entries {
            entry.bytes = 0;
        }
    }

    fn run(&mut self, span: Duration, orders_per_s: usize) {
        let end = self.now + span;
        let mut due_orders = 0.0;
        while self.now < end {
            self.now += STEP;
            for vm in self.voters.keys().cloned().collect::<Vec<_>>() {
                self.queue
                    .push_back((vm, ControlEvent::Tick { wall_ms: 0 }));
            }
            self.renew_due();
            #[expect(clippy::cast_precision_loss, reason = "rates are small")]
            let rate = orders_per_s as f64;
            due_orders += rate * STEP.as_secs_f64();
            while due_orders >= 1.0 {
                due_orders -= 1.0;
                self.send_order();
            }
            self.drain();
        }
    }

    fn drain(&mut self) {
        while let Some((vm, event)) = self.queue.pop_front() {
            let Some(voter) = self.voters.get_mut(&vm) else {
                continue;
            };
            let started = Instant::now();
            let effects = voter.core.reduce(self.now, event);
            voter.cost.cpu_time += started.elapsed();
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
                self.call(vm, to, 1, ControlCall::ZoneSync(request));
            }
            ControlEffect::AskFormation { to, request } => {
                self.call(vm, to, 2, ControlCall::AskFormation(request));
            }
            _ => {}
        }
    }

    /// Sends a message as bytes, and adds the work of both ends to their costs.
    fn send(&mut self, vm: &VmId, group: GroupName, to: &VmId, message: PeerMessage) {
        let started = Instant::now();
        let bytes = peer_message(group.into(), message).encode_to_vec();
        self.charge(vm, started.elapsed(), bytes.len());
        let started = Instant::now();
        let message = consensus::PeerMessage::decode(bytes.as_slice())
            .ok()
            .and_then(|message| PeerMessage::try_from(message).ok());
        self.charge(to, started.elapsed(), bytes.len());
        if let Some(message) = message {
            let event = ControlEvent::PeerReceived {
                group,
                from: message.from.clone(),
                message,
            };
            self.queue.push_back((to.clone(), event));
        }
    }

    fn charge(&mut self, vm: &VmId, cpu_time: Duration, bytes: usize) {
        if let Some(voter) = self.voters.get_mut(vm) {
            voter.cost.cpu_time += cpu_time;
            voter.cost.bytes += bytes;
            voter.cost.messages += 1;
        }
    }

    fn call(&mut self, from: &VmId, to: VmId, kind: u64, request: ControlCall) {
        let index = self.voters.keys().position(|vm| vm == from).unwrap_or(0);
        let event = ControlEvent::CallReceived {
            call: kind * 10 + index as u64,
            from: Caller::Control(from.clone()),
            request,
        };
        self.queue.push_back((to, event));
    }

    fn reply(&mut self, vm: &VmId, call: u64, reply: ControlReply) {
        match reply {
            ControlReply::Renew(answer) => self.handle_renewal(vm, call, answer),
            ControlReply::ZoneSync(answer) => {
                let event = ControlEvent::ZoneSyncAnswered {
                    sent_at: self.now,
                    from: vm.clone(),
                    answer,
                };
                self.answer_voter(call, event);
            }
            ControlReply::Formation(answer) => {
                let group = GroupName::Global;
                self.answer_voter(call, ControlEvent::FormationAnswered { group, answer });
            }
            _ => {}
        }
    }

    fn answer_voter(&mut self, call: u64, event: ControlEvent) {
        let index = usize::try_from(call % 10).unwrap_or(0);
        if let Some(vm) = self.voters.keys().nth(index) {
            self.queue.push_back((vm.clone(), event));
        }
    }

    fn leader(&self) -> Option<VmId> {
        let mut voters = self.voters.iter();
        let leader = voters.find(|(_, voter)| voter.core.leads(GroupName::Zone));
        leader.map(|(vm, _)| vm.clone())
    }

    fn renew_due(&mut self) {
        let Some(leader) = self.leader() else {
            return;
        };
        for index in 0..self.entries.len() {
            if self.entries[index].next_renewal <= self.now {
                self.renew(&leader, index);
            }
        }
    }

    fn renew(&mut self, leader: &VmId, index: usize) {
        let now = self.now;
        let entry = &mut self.entries[index];
        entry.next_renewal = now + RENEW_INTERVAL;
        let request = entry.request(now);
        let call = Call {
            call: Some(CallContent::Renew(request.into())),
        };
        let bytes = call.encode_to_vec();
        entry.bytes += bytes.len();
        let from = Caller::Entry(entry.record.vm.clone());
        self.last_call += 1;
        self.renewals.insert(self.last_call, index);
        self.receive(leader, from, &bytes);
    }

    /// Passes encoded bytes to the leader as a call.
    fn receive(&mut self, leader: &VmId, from: Caller, bytes: &[u8]) {
        let started = Instant::now();
        let request = Call::decode(bytes)
            .ok()
            .and_then(|call| call_from_message(call).ok());
        self.charge(leader, started.elapsed(), bytes.len());
        if let Some(request) = request {
            let event = ControlEvent::CallReceived {
                call: self.last_call,
                from,
                request,
            };
            self.queue.push_back((leader.clone(), event));
        }
    }

    fn handle_renewal(&mut self, leader: &VmId, call: u64, answer: RenewAnswer) {
        let update = match &answer {
            RenewAnswer::Granted { update, .. } => Some(update.clone()),
            _ => None,
        };
        let started = Instant::now();
        let bytes = reply_message(ControlReply::Renew(answer)).encode_to_vec();
        self.charge(leader, started.elapsed(), bytes.len());
        let Some(index) = self.renewals.remove(&call) else {
            return;
        };
        let entry = &mut self.entries[index];
        entry.bytes += bytes.len();
        if let Some(update) = update {
            entry.apply(update);
        }
    }

    fn send_order(&mut self) {
        let Some(leader) = self.leader() else {
            return;
        };
        self.orders += 1;
        let claimant = chicory_ownership::Claimant {
            vm: self.entries[0].record.vm.clone(),
            incarnation: 1,
            attempt: self.orders,
        };
        let claim = chicory_ownership::ClaimRequest {
            service: "orders".to_owned(),
            order_key: format!("order-{}", self.orders),
            fingerprint: self.orders,
            claimant: claimant.clone(),
        };
        let resolution = chicory_ownership::ClaimResolution::Answered(StoredAnswer {
            status: 200,
            content_type: "text/plain".to_owned(),
            body: Some(vec![b'x'; 100]),
        });
        let resolve = chicory_wire::proto::claim::ResolveClaimRequest {
            service: claim.service.clone(),
            order_key: claim.order_key.clone(),
            claimant: Some(claimant.into()),
            resolution: Some(resolution.into()),
        };
        for question in [
            CallContent::Claim(claim.into()),
            CallContent::ResolveClaim(resolve),
        ] {
            let bytes = Call {
                call: Some(question),
            }
            .encode_to_vec();
            let from = Caller::Entry(self.entries[0].record.vm.clone());
            self.last_call += 1;
            self.receive(&leader, from, &bytes);
        }
    }

    fn edit_table(&mut self) {
        let mut changes: Vec<TableChange> = (0..SERVICES)
            .map(|n| put_service(format!("service-{n}"), true))
            .collect();
        changes.push(put_service("orders".to_owned(), false));
        let event = ControlEvent::CallReceived {
            call: 999,
            from: Caller::Operator("ana".to_owned()),
            request: ControlCall::Operator(OperatorCall::EditTable {
                edit_id: "first".to_owned(),
                base_revision: 0,
                changes,
            }),
        };
        self.queue.push_back(("vm-0".to_owned(), event));
        self.drain();
    }

    fn report(&self, size: Size) {
        let leader = self.leader().unwrap_or_default();
        let costs = |vm: &VmId| self.voters[vm].cost;
        let leader_cost = costs(&leader);
        let follower = self.voters.keys().filter(|vm| **vm != leader).map(costs);
        let busiest_follower = follower
            .max_by_key(|cost| cost.cpu_time)
            .unwrap_or_default();
        let seconds = MEASUREMENT_TIME.as_secs_f64();
        let entry_bytes = self.entries.iter().map(|entry| entry.bytes).max();
        println!(
            "{:>7} {:>7} {:>8} | {:>11.3} {:>6.1} {:>5.0} | {:>13.3} {:>6.1} | {:>10.2}",
            size.entries,
            size.servers,
            size.orders_per_s,
            leader_cost.cpu_time.as_secs_f64() / seconds * 100.0,
            kilobytes(leader_cost.bytes) / seconds,
            f64::from(u32::try_from(leader_cost.messages).unwrap_or(u32::MAX)) / seconds,
            busiest_follower.cpu_time.as_secs_f64() / seconds * 100.0,
            kilobytes(busiest_follower.bytes) / seconds,
            kilobytes(entry_bytes.unwrap_or(0)) / seconds,
        );
    }
}

fn kilobytes(bytes: usize) -> f64 {
    f64::from(u32::try_from(bytes).unwrap_or(u32::MAX)) / 1_000.0
}

fn put_service(service: String, is_keyed: bool) -> TableChange {
    TableChange::PutService {
        service,
        policy: ServicePolicy {
            weight: 100,
            max_in_flight: 0,
            max_connections: 0,
            queue_limit: 30,
            rate_limit_per_s: 0,
            keyed: is_keyed,
            idempotent: is_keyed,
            deadline: Duration::from_secs(2),
            custody_lease: CustodyLease::Unlimited,
            zones: [ZONE.to_owned()].into(),
        },
    }
}

impl Voter {
    fn new(n: usize, vm: &VmId, vms: &[VmId]) -> Result<Self, ConfigError> {
        let incarnation = n as u64 + 1;
        let config = ControlConfig {
            vm: vm.clone(),
            incarnation,
            zone: ZONE.to_owned(),
            zone_vms: vms.iter().cloned().collect(),
            global_vms: [vms[0].clone()].into(),
            is_zone_durable: false,
            seed: incarnation,
        };
        let global = if n == 0 {
            let member = MemberId::new(vm.clone(), incarnation);
            let vms = &config.global_vms;
            let fresh = RestoredState::fresh();
            Some(new_global_group(member, vms, fresh, false, Duration::ZERO)?)
        } else {
            None
        };
        Ok(Self {
            core: ControlCore::new(config, global, None, Duration::ZERO)?,
            cost: Cost::default(),
        })
    }
}
