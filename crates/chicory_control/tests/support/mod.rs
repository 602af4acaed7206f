//! Control processes in virtual time, connected by a network whose links can be cut.

mod envelope;
mod fixtures;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use chicory_consensus::{MemberId, RestoredState};
use chicory_control::{
    CallId, Caller, ControlCall, ControlConfig, ControlCore, ControlEffect, ControlEvent,
    ControlReply, GroupName, OperatorCall, OperatorReply, PersistRequest, StoredZoneMember,
    new_global_group,
};
use chicory_ownership::{EntryRecord, RenewAnswer, RenewRequest, ServerRecord, ViewUpdate};
use chicory_table::{EditOutcome, ServicePolicy, TableChange};
use chicory_types::{MonoTime, VmId, ZoneName};

use envelope::{Envelope, Payload, Vm, Waiter};
pub use fixtures::{entry, policy, server};

/// One-way delay of every link.
const LINK_DELAY: Duration = Duration::from_millis(1);
/// Step of virtual time.
const STEP: Duration = Duration::from_millis(1);

/// Control processes in virtual time.
pub struct Fleet {
    pub now: MonoTime,
    vms: BTreeMap<VmId, Vm>,
    zones: BTreeMap<ZoneName, BTreeSet<VmId>>,
    global_vms: BTreeSet<VmId>,
    in_flight: VecDeque<Envelope>,
    cut_zones: BTreeSet<ZoneName>,
    cut_vms: BTreeSet<VmId>,
    last_call: CallId,
    replies: BTreeMap<u64, ControlReply>,
    last_incarnation: u64,
    /// Whether the zones' groups keep their state on disks.
    has_disks: bool,
    disks: BTreeMap<VmId, StoredZoneMember>,
}

impl Fleet {
    /// Creates three zones of three control processes; the first of each is a member of the global
    /// group. With disks, all of them store the state of their zone's group.
    pub fn with_disks(has_disks: bool) -> Self {
        let zone_names = ["north", "middle", "south"];
        let vms_of = |zone: &str| (1..=3).map(|n| format!("{zone}-{n}")).collect();
        let zones: BTreeMap<ZoneName, BTreeSet<VmId>> = zone_names
            .iter()
            .map(|zone| ((*zone).to_owned(), vms_of(zone)))
            .collect();
        let global_vms = zone_names.iter().map(|zone| format!("{zone}-1")).collect();
        let mut fleet = Self {
            now: Duration::from_secs(1),
            vms: BTreeMap::new(),
            zones,
            global_vms,
            in_flight: VecDeque::new(),
            cut_zones: BTreeSet::new(),
            cut_vms: BTreeSet::new(),
            last_call: 0,
            replies: BTreeMap::new(),
            last_incarnation: 0,
            has_disks,
            disks: BTreeMap::new(),
        };
        for vm in fleet.zones.values().flatten().cloned().collect::<Vec<_>>() {
            fleet.start(&vm);
        }
        fleet
    }

    /// Starts a VM. Without disks, it has no state of its zone's group from an earlier start.
    ///
    /// A member of the global group must not be started twice, since its disk isn't modelled.
    pub fn start(&mut self, vm: &str) {
        self.last_incarnation += 1_000;
        let zone = vm.rsplit_once('-').unwrap().0.to_owned();
        let config = ControlConfig {
            vm: vm.to_owned(),
            incarnation: self.last_incarnation,
            zone: zone.clone(),
            zone_vms: self.zones[&zone].clone(),
            global_vms: self.global_vms.clone(),
            is_zone_durable: self.has_disks,
            seed: self.last_incarnation,
        };
        let global = self.global_vms.contains(vm).then(|| {
            let member = MemberId::new(vm, self.last_incarnation);
            let fresh = RestoredState::fresh();
            new_global_group(member, &self.global_vms, fresh, false, self.now).unwrap()
        });
        let started = Vm {
            core: ControlCore::new(config, global, self.disks.get(vm).cloned(), self.now).unwrap(),
            zone,
            waiters: BTreeMap::new(),
            is_paused: false,
        };
        self.vms.insert(vm.to_owned(), started);
    }

    /// Stops a VM without a shutdown.
    pub fn kill(&mut self, vm: &str) {
        self.vms.remove(vm);
    }

    /// Pauses or resumes a VM. The process gets no event about it.
    pub fn set_paused(&mut self, vm: &str, is_paused: bool) {
        self.vms.get_mut(vm).unwrap().is_paused = is_paused;
    }

    /// Cuts a zone off from the others, or reconnects it.
    pub fn set_zone_cut(&mut self, zone: &str, is_cut: bool) {
        if is_cut {
            self.cut_zones.insert(zone.to_owned());
        } else {
            self.cut_zones.remove(zone);
        }
    }

    /// Cuts a VM off from all others, or reconnects it.
    pub fn set_vm_cut(&mut self, vm: &str, is_cut: bool) {
        if is_cut {
            self.cut_vms.insert(vm.to_owned());
        } else {
            self.cut_vms.remove(vm);
        }
    }

    /// Advances virtual time by `span`.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    /// Advances virtual time until a condition holds. Returns `false` if it doesn't within `limit`.
    pub fn run_until(&mut self, limit: Duration, condition: impl Fn(&Self) -> bool) -> bool {
        let end = self.now + limit;
        while self.now < end {
            if condition(self) {
                return true;
            }
            self.step();
        }
        condition(self)
    }

    fn step(&mut self) {
        self.now += STEP;
        self.deliver();
        let wall_ms = u64::try_from(self.now.as_millis()).unwrap();
        let due: Vec<VmId> = self
            .vms
            .iter()
            .filter(|(_, vm)| !vm.is_paused && self.now >= vm.core.next_wakeup())
            .map(|(name, _)| name.clone())
            .collect();
        for vm in due {
            self.feed(&vm, ControlEvent::Tick { wall_ms });
        }
    }

    fn deliver(&mut self) {
        let mut still_in_flight = VecDeque::new();
        let mut due = Vec::new();
        while let Some(envelope) = self.in_flight.pop_front() {
            let is_receiver_paused = self.vms.get(&envelope.to).is_some_and(|vm| vm.is_paused);
            if envelope.due_at > self.now || is_receiver_paused {
                still_in_flight.push_back(envelope);
            } else {
                due.push(envelope);
            }
        }
        self.in_flight = still_in_flight;
        for envelope in due {
            if self.is_connected(&envelope.from, &envelope.to) {
                self.deliver_envelope(envelope);
            }
        }
    }

    fn is_connected(&self, from: &str, to: &str) -> bool {
        if from == to || !self.vms.contains_key(from) {
            return from == to || from == "test";
        }
        let zone_of = |vm: &str| vm.rsplit_once('-').unwrap().0.to_owned();
        let (from_zone, to_zone) = (zone_of(from), zone_of(to));
        let is_zone_cut = from_zone != to_zone
            && (self.cut_zones.contains(&from_zone) || self.cut_zones.contains(&to_zone));
        let is_vm_cut = self.cut_vms.contains(from) || self.cut_vms.contains(to);
        !is_zone_cut && !is_vm_cut
    }

    fn deliver_envelope(&mut self, envelope: Envelope) {
        if !self.vms.contains_key(&envelope.to) {
            return;
        }
        match envelope.payload {
            Payload::Event(event) => self.feed(&envelope.to, event),
            Payload::Call {
                from,
                request,
                waiter,
            } => {
                self.last_call += 1;
                let call = self.last_call;
                let vm = self.vms.get_mut(&envelope.to).unwrap();
                vm.waiters.insert(call, waiter);
                self.feed(
                    &envelope.to,
                    ControlEvent::CallReceived {
                        call,
                        from,
                        request,
                    },
                );
            }
        }
    }

    fn feed(&mut self, name: &str, event: ControlEvent) {
        let Some(vm) = self.vms.get_mut(name) else {
            return;
        };
        let effects = vm.core.reduce(self.now, event);
        for effect in effects {
            self.carry_out(name, effect);
        }
    }

    fn carry_out(&mut self, name: &str, effect: ControlEffect) {
        match effect {
            ControlEffect::Send { group, to, message } => {
                let event = ControlEvent::PeerReceived {
                    group,
                    from: message.from.clone(),
                    message,
                };
                self.send(name, &to.vm, Payload::Event(event));
            }
            ControlEffect::Reply { call, reply } => self.reply(name, call, reply),
            ControlEffect::SyncZone { to, request } => {
                let waiter = Waiter::Sync {
                    vm: name.to_owned(),
                    sent_at: self.now,
                };
                self.call(name, &to, ControlCall::ZoneSync(request), waiter);
            }
            ControlEffect::AskFormation { to, request } => {
                let waiter = Waiter::Formation {
                    vm: name.to_owned(),
                    group: request.asked_group,
                };
                self.call(name, &to, ControlCall::AskFormation(request), waiter);
            }
            ControlEffect::Abort => panic!("{name} aborted"),
            ControlEffect::OpenZoneStore {
                group_epoch,
                member,
            } => {
                let stored_member = StoredZoneMember {
                    group_epoch,
                    incarnation: member.incarnation,
                    state: RestoredState::fresh(),
                };
                self.disks.insert(name.to_owned(), stored_member);
            }
            ControlEffect::Persist { group, request } => {
                let ticket = request.ticket;
                self.write(name, *request);
                let event = ControlEvent::Persisted { group, ticket };
                self.send(name, name, Payload::Event(event));
            }
            ControlEffect::Note(_) | ControlEffect::Stopped => {}
        }
    }

    fn write(&mut self, name: &str, request: PersistRequest) {
        let state = &mut self.disks.get_mut(name).unwrap().state;
        if let Some(hard_state) = request.hard_state {
            state.hard_state = hard_state;
        }
        if let Some(from) = request.truncate_from {
            state.entries.retain(|entry| entry.index < from);
        }
        if let Some(snapshot) = request.snapshot {
            state
                .entries
                .retain(|entry| entry.index > snapshot.last_index);
            state.snapshot = Some(snapshot);
        }
        state.entries.extend(request.entries);
    }

    fn call(&mut self, name: &str, to: &str, request: ControlCall, waiter: Waiter) {
        let is_unreachable = !self.vms.contains_key(to) || !self.is_connected(name, to);
        if is_unreachable {
            let event = match waiter {
                Waiter::Sync { .. } => ControlEvent::ZoneSyncFailed,
                Waiter::Formation { .. } => ControlEvent::FormationFailed,
                Waiter::Test(_) => return,
            };
            self.send(name, name, Payload::Event(event));
            return;
        }
        let payload = Payload::Call {
            from: Caller::Control(name.to_owned()),
            request,
            waiter,
        };
        self.send(name, to, payload);
    }

    fn reply(&mut self, name: &str, call: CallId, reply: ControlReply) {
        let waiter = self.vms.get_mut(name).unwrap().waiters.remove(&call);
        match (waiter, reply) {
            (Some(Waiter::Test(number)), reply) => {
                self.replies.insert(number, reply);
            }
            (Some(Waiter::Sync { vm, sent_at }), ControlReply::ZoneSync(answer)) => {
                let event = ControlEvent::ZoneSyncAnswered {
                    sent_at,
                    from: name.to_owned(),
                    answer,
                };
                self.send(name, &vm, Payload::Event(event));
            }
            (Some(Waiter::Formation { vm, group }), ControlReply::Formation(answer)) => {
                let event = ControlEvent::FormationAnswered { group, answer };
                self.send(name, &vm, Payload::Event(event));
            }
            _ => {}
        }
    }

    fn send(&mut self, from: &str, to: &str, payload: Payload) {
        self.in_flight.push_back(Envelope {
            due_at: self.now + LINK_DELAY,
            from: from.to_owned(),
            to: to.to_owned(),
            payload,
        });
    }

    /// Calls a VM from outside the fleet and returns the reply, if it comes within 300 ms.
    pub fn call_as(
        &mut self,
        vm: &str,
        from: Caller,
        request: ControlCall,
    ) -> Option<ControlReply> {
        self.last_call += 1;
        let number = self.last_call;
        let payload = Payload::Call {
            from,
            request,
            waiter: Waiter::Test(number),
        };
        self.send("test", vm, payload);
        self.run_until(Duration::from_millis(300), |fleet| {
            fleet.replies.contains_key(&number)
        });
        self.replies.remove(&number)
    }

    /// Calls the leader of the global group as an operator.
    pub fn call_as_operator(&mut self, request: &OperatorCall) -> Option<OperatorReply> {
        let leader = self.global_leader()?;
        let from = Caller::Operator("ana".to_owned());
        match self.call_as(&leader, from, ControlCall::Operator(request.clone()))? {
            ControlReply::Operator(reply) => Some(reply),
            _ => None,
        }
    }

    /// Puts a service into the table and returns the outcome of the edit.
    pub fn put_service(&mut self, edit_id: &str, base_revision: u64, service: &str) -> EditOutcome {
        let policy = policy(self.zones.keys().cloned().collect());
        self.edit_table(edit_id, base_revision, service, policy)
    }

    /// Puts a service that accepts orders into the table and returns the outcome of the edit.
    pub fn put_order_service(&mut self, edit_id: &str, base_revision: u64) -> EditOutcome {
        let policy = ServicePolicy {
            keyed: false,
            idempotent: false,
            ..policy(self.zones.keys().cloned().collect())
        };
        self.edit_table(edit_id, base_revision, "orders", policy)
    }

    fn edit_table(
        &mut self,
        edit_id: &str,
        base_revision: u64,
        service: &str,
        policy: ServicePolicy,
    ) -> EditOutcome {
        let call = OperatorCall::EditTable {
            edit_id: edit_id.to_owned(),
            base_revision,
            changes: vec![TableChange::PutService {
                service: service.to_owned(),
                policy,
            }],
        };
        match self.call_as_operator(&call) {
            Some(OperatorReply::Edited(outcome)) => outcome,
            other => panic!("the edit has no outcome: {other:?}"),
        }
    }

    /// Sends a renewal of an entry process to the leader of a zone.
    pub fn renew(
        &mut self,
        zone: &str,
        entry: &EntryRecord,
        known_view: u64,
        announcements: Vec<ServerRecord>,
    ) -> Option<(Duration, ViewUpdate)> {
        let leader = self.zone_leader(zone)?;
        let request = RenewRequest {
            entry: entry.clone(),
            known_view,
            stopping: false,
            announcements,
            released: Vec::new(),
            resigned: Vec::new(),
            reports: Vec::new(),
        };
        let from = Caller::Entry(entry.vm.clone());
        match self.call_as(&leader, from, ControlCall::Renew(request))? {
            ControlReply::Renew(RenewAnswer::Granted { lease, update }) => Some((lease, update)),
            _ => None,
        }
    }

    /// Returns the VM that leads the global group, if there is exactly one.
    pub fn global_leader(&self) -> Option<VmId> {
        self.leader(|vm| vm.core.leads(GroupName::Global))
    }

    /// Returns the VM that leads a zone's group, if there is exactly one.
    pub fn zone_leader(&self, zone: &str) -> Option<VmId> {
        self.leader(|vm| vm.zone == zone && vm.core.leads(GroupName::Zone))
    }

    fn leader(&self, leads: impl Fn(&Vm) -> bool) -> Option<VmId> {
        let mut leaders = self.vms.iter().filter(|(_, vm)| leads(vm));
        let first = leaders.next()?;
        leaders.next().is_none().then(|| first.0.clone())
    }

    /// Returns whether every VM is a voter of a zone group that has a leader.
    pub fn are_all_ready(&self) -> bool {
        self.vms.values().all(|vm| vm.core.is_ready())
    }

    /// Returns whether the global group and all zone groups have a leader.
    pub fn have_all_leaders(&self) -> bool {
        let zones: Vec<_> = self.zones.keys().collect();
        self.global_leader().is_some() && zones.iter().all(|z| self.zone_leader(z).is_some())
    }

    /// Returns the status of the zones from the leader of the global group: revision in force and
    /// number of slots in custody.
    pub fn status(&mut self) -> BTreeMap<ZoneName, (u64, u64)> {
        match self.call_as_operator(&OperatorCall::GetStatus) {
            Some(OperatorReply::Status { zones, .. }) => zones
                .into_iter()
                .map(|zone| {
                    let figures = (zone.revision_in_force, zone.custody_slots);
                    (zone.directory.zone, figures)
                })
                .collect(),
            other => panic!("the status was not answered: {other:?}"),
        }
    }

    /// Returns the VMs of a zone.
    pub fn vms_of(&self, zone: &str) -> Vec<VmId> {
        self.zones[zone].iter().cloned().collect()
    }
}
