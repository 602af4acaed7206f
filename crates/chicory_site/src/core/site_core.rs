//! State and dispatch of the reducer.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use chicory_consensus::Replica;
use chicory_directory::{MovesHistory, PeerEnvelope, RouteHistory, SiteCallId, SiteState};
use chicory_policy::Rests;
use chicory_ranges::{CallId, GrantCall, GrantCoordinator, GrantEvent, KeyLoad, ServerIncarnation};
use chicory_types::{MonoTime, ServiceName, VmId, ZoneName};

use super::address_claims::AddressClaims;
use super::cold_servers::ColdServers;
use super::entry_link::EntryLink;
use super::evacuations::EvacuationProgress;
use super::note_budget::NoteBudget;
use super::owner_admissions::OwnerAdmissions;
use super::planned_rates::PlannedRates;
use super::poison_registry::PoisonRegistry;
use super::server_limits::ServerLimits;
use super::server_speeds::ServerSpeeds;
use super::shared_slots::SharedSlots;
use super::site_config::{FORWARDING_INTERVAL, PLANNING_INTERVAL};
use super::{CallerId, EntryLinkId, SiteConfig, SiteEffect, SiteEvent, SiteNote};

/// Destination of the answer to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum ReplyTo {
    /// A caller of this process.
    Caller(CallerId),
    /// The control VM that forwarded the call.
    Peer { vm: VmId, id: SiteCallId },
}

/// Purpose of a proposal to the replicated log.
#[derive(Clone, Debug)]
pub(super) enum Proposal {
    /// A call waits for the result.
    Call(ReplyTo),
    /// Keys move to another owner.
    Move {
        service: ServiceName,
        first: chicory_ranges::Key,
        /// Whether the owner stays and gets a greater fence.
        is_to_same_owner: bool,
    },
    /// Maintenance whose result no call waits for.
    Maintenance,
}

/// A call that was forwarded to the leader.
#[derive(Clone, Debug)]
pub(super) struct ForwardedCall {
    pub(super) reply_to: ReplyTo,
    pub(super) expires_at: MonoTime,
}

/// A call to a backend server that has not ended.
#[derive(Clone, Debug)]
pub(super) struct RunningGrantCall {
    pub(super) server_incarnation: ServerIncarnation,
    pub(super) content: GrantCall,
}

/// The reducer of a control process.
///
/// It does no I/O and reads no clock: the caller passes the time in and carries out the returned
/// [`SiteEffect`]s in order.
///
/// # Examples
///
/// ```
/// use chicory_site::{SiteConfig, SiteCore};
/// use std::time::Duration;
///
/// let config = SiteConfig::new("10.0.0.1:7540", vec!["10.0.0.1:7540".into()]);
/// let core = SiteCore::new(config, Duration::ZERO);
/// assert!(!core.is_leading(Duration::ZERO));
/// ```
#[derive(Debug)]
pub struct SiteCore {
    pub(super) config: SiteConfig,
    pub(super) replica: Option<Replica>,
    pub(super) state: SiteState,
    pub(super) known_leader: Option<VmId>,
    /// Voters of the group when this member, as leader, last noted them.
    noted_voters: BTreeSet<VmId>,
    /// Availability zones of other control VMs, which outlast the replica when the storage is
    /// opened again.
    pub(super) control_zones: BTreeMap<VmId, ZoneName>,
    /// Grants keys to backend servers and moves them between servers. It is present from when this
    /// member first acts as leader until it loses the leadership.
    pub(super) mover: Option<GrantCoordinator>,
    pub(super) running_grant_calls: BTreeMap<CallId, RunningGrantCall>,
    /// Addresses of servers, including servers that left a while ago.
    pub(super) addresses: BTreeMap<ServerIncarnation, SocketAddr>,
    /// When each server last announced itself, as far as a leader knows; a new leader counts from
    /// when it first acts as leader.
    pub(super) announced_at: BTreeMap<ServerIncarnation, MonoTime>,
    pub(super) address_claims: AddressClaims,
    /// Servers that announced themselves to this member since it last forwarded announcements.
    pub(super) unforwarded_announcements: BTreeSet<ServerIncarnation>,
    /// When this leader received the first announcement for each service, and when it received the
    /// latest one of a new server.
    pub(super) new_server_times: BTreeMap<ServiceName, (MonoTime, MonoTime)>,
    pub(super) loads: BTreeMap<ServiceName, KeyLoad>,
    pub(super) speeds: ServerSpeeds,
    /// Servers that asked entry VMs for a pause.
    pub(super) rests: Rests<ServerIncarnation>,
    /// Servers that said in answers to entry VMs that they are about to end.
    pub(super) leaving: BTreeSet<ServerIncarnation>,
    /// Rate limits of backend servers, as far as entry VMs report them to this leader.
    pub(super) limits: ServerLimits,
    pub(super) planned_rates: PlannedRates,
    pub(super) cold: ColdServers,
    pub(super) admissions: OwnerAdmissions,
    pub(super) poison: PoisonRegistry,
    pub(super) evacuations: EvacuationProgress,
    pub(super) proposals: BTreeMap<u64, Proposal>,
    pub(super) forwarded_calls: BTreeMap<SiteCallId, ForwardedCall>,
    pub(super) last_id: u64,
    pub(super) entries: BTreeMap<EntryLinkId, EntryLink>,
    /// Links to which messages were sent during this call of the reducer.
    pub(super) busy_links: BTreeSet<EntryLinkId>,
    /// Whether the relay peers of entry VMs have to be assigned again.
    pub(super) are_relays_outdated: bool,
    /// Links to which relay peers have to be sent.
    pub(super) links_due_relays: BTreeSet<EntryLinkId>,
    pub(super) relay_notes: NoteBudget,
    /// How the slots of services without keys are divided.
    pub(super) shared_slots: SharedSlots,
    /// Services whose slots are divided, as this leader last noted them.
    pub(super) divided_services: BTreeSet<ServiceName>,
    pub(super) route_history: RouteHistory,
    /// Ranges that are in transfer, not granted yet or whose grant has expired.
    pub(super) moves: MovesHistory,
    pub(super) plan_at: MonoTime,
    pub(super) balance_at: MonoTime,
    pub(super) forward_at: MonoTime,
    pub(super) is_stopping: bool,
    pub(super) effects: Vec<SiteEffect>,
    /// Events for the grant coordinator, which are handled before the reducer returns.
    pub(super) grant_events: VecDeque<GrantEvent>,
}

impl SiteCore {
    /// Creates a reducer without storage; [`SiteEvent::StorageOpened`] provides it.
    #[must_use]
    pub fn new(config: SiteConfig, now: MonoTime) -> Self {
        Self {
            config,
            replica: None,
            state: SiteState::default(),
            known_leader: None,
            noted_voters: BTreeSet::new(),
            control_zones: BTreeMap::new(),
            mover: None,
            running_grant_calls: BTreeMap::new(),
            addresses: BTreeMap::new(),
            announced_at: BTreeMap::new(),
            address_claims: AddressClaims::default(),
            unforwarded_announcements: BTreeSet::new(),
            new_server_times: BTreeMap::new(),
            loads: BTreeMap::new(),
            speeds: ServerSpeeds::default(),
            rests: Rests::default(),
            leaving: BTreeSet::new(),
            limits: ServerLimits::default(),
            planned_rates: PlannedRates::default(),
            cold: ColdServers::default(),
            admissions: OwnerAdmissions::default(),
            poison: PoisonRegistry::default(),
            evacuations: EvacuationProgress::default(),
            proposals: BTreeMap::new(),
            forwarded_calls: BTreeMap::new(),
            last_id: 0,
            entries: BTreeMap::new(),
            busy_links: BTreeSet::new(),
            are_relays_outdated: false,
            links_due_relays: BTreeSet::new(),
            relay_notes: NoteBudget::default(),
            shared_slots: SharedSlots::default(),
            divided_services: BTreeSet::new(),
            route_history: RouteHistory::default(),
            moves: MovesHistory::default(),
            plan_at: now,
            balance_at: now,
            forward_at: now,
            is_stopping: false,
            effects: Vec::new(),
            grant_events: VecDeque::new(),
        }
    }

    /// Handles one event and returns the effects to carry out, in order.
    pub fn reduce(&mut self, now: MonoTime, event: SiteEvent) -> Vec<SiteEffect> {
        self.reduce_all(now, [event])
    }

    /// Handles events that were received together and returns the effects to carry out, in order.
    ///
    /// Work that concerns all keys or all entry VMs is done once for all events.
    pub fn reduce_all(
        &mut self,
        now: MonoTime,
        events: impl IntoIterator<Item = SiteEvent>,
    ) -> Vec<SiteEffect> {
        for event in events {
            self.handle_event(now, event);
        }
        self.check_deadlines(now);
        self.run_grant_events(now);
        self.record_moving_ranges(now);
        self.check_evacuations(now);
        self.check_leader_change();
        self.check_voters();
        self.notify_entries(now);
        std::mem::take(&mut self.effects)
    }

    /// Returns when the next [`SiteEvent::Tick`] is due.
    #[must_use]
    pub fn next_wakeup(&self) -> MonoTime {
        let replica = self.replica.as_ref().map(Replica::next_wakeup);
        let mover = self.mover.as_ref().and_then(GrantCoordinator::next_wakeup);
        let plan = self.mover.is_some().then_some(self.plan_at);
        let has_announcements = !self.unforwarded_announcements.is_empty();
        let forwarding = has_announcements.then_some(self.forward_at);
        let forwarded = self
            .forwarded_calls
            .values()
            .map(|call| call.expires_at)
            .min();
        let wakeups = [replica, mover, plan, forwarding, forwarded];
        wakeups.into_iter().flatten().min().unwrap_or(MonoTime::MAX)
    }

    /// Whether this member is the leader, holds the leader lease and has applied everything that
    /// was ever committed.
    #[must_use]
    pub fn is_leading(&self, now: MonoTime) -> bool {
        let replica = self.replica.as_ref();
        replica.is_some_and(|replica| replica.is_leader() && replica.has_leader_lease(now))
    }

    /// Returns the replicated state, as far as it is applied on this member.
    #[must_use]
    pub fn state(&self) -> &SiteState {
        &self.state
    }

    /// Returns the control VMs whose votes count in the group, as far as this member knows.
    #[must_use]
    pub fn voters(&self) -> BTreeSet<VmId> {
        let membership = self.replica.iter().map(Replica::membership);
        let voters = membership.flat_map(|membership| &membership.voters);
        voters.map(|voter| voter.vm.clone()).collect()
    }

    /// Returns the number of entry VMs that follow this member.
    #[must_use]
    pub fn entry_count(&self) -> usize {
        self.entries.len()
    }

    fn handle_event(&mut self, now: MonoTime, event: SiteEvent) {
        match event {
            SiteEvent::Tick => self.run_replica(now, chicory_consensus::ReplicaEvent::Tick),
            SiteEvent::StorageOpened {
                incarnation,
                restored,
                is_founder,
            } => self.on_storage_opened(now, incarnation, restored, is_founder),
            SiteEvent::Persisted { ticket } => {
                self.run_replica(now, chicory_consensus::ReplicaEvent::Persisted { ticket });
            }
            SiteEvent::PersistFailed { .. } => self.on_persist_failed(),
            SiteEvent::CallReceived { caller, call } => {
                self.on_call(now, ReplyTo::Caller(caller), call);
            }
            SiteEvent::PeerConnected { vm, zone } => self.on_peer_connected(now, vm, zone),
            SiteEvent::PeerSent { from, envelope } => self.on_peer_message(now, from, envelope),
            SiteEvent::GrantCallEnded { call, outcome } => self.on_grant_call_ended(call, outcome),
            SiteEvent::EntryConnected {
                link,
                vm,
                known,
                zone,
                relay_address,
                cpu_share,
            } => {
                self.shared_slots.add_link(link, vm.clone(), cpu_share);
                self.on_entry_connected(link, vm, zone, known, relay_address);
            }
            SiteEvent::EntrySent { link, message } => self.on_entry_message(now, link, message),
            SiteEvent::EntryLinkReady { link } => self.on_entry_link_ready(link),
            SiteEvent::EntryDisconnected { link } => self.on_entry_disconnected(link),
            SiteEvent::Stopping => self.on_stopping(now),
        }
    }

    fn on_peer_connected(&mut self, now: MonoTime, vm: VmId, zone: ZoneName) {
        self.control_zones.insert(vm.clone(), zone.clone());
        self.run_replica(now, chicory_consensus::ReplicaEvent::Located { vm, zone });
    }

    fn on_peer_message(&mut self, now: MonoTime, from: VmId, envelope: PeerEnvelope) {
        match envelope {
            PeerEnvelope::Log(message) => {
                let event = chicory_consensus::ReplicaEvent::Received {
                    from: message.from.clone(),
                    message,
                };
                self.run_replica(now, event);
            }
            PeerEnvelope::Call { id, call } => {
                self.on_forwarded_call(now, ReplyTo::Peer { vm: from, id }, call);
            }
            PeerEnvelope::Answer { id, answer } => {
                if let Some(forwarded) = self.forwarded_calls.remove(&id) {
                    self.reply(forwarded.reply_to, answer);
                }
            }
            PeerEnvelope::Announced(incarnations) => {
                for server_incarnation in incarnations {
                    self.record_announcement(now, server_incarnation);
                }
            }
            PeerEnvelope::Report(report) => self.on_report(now, None, report),
        }
    }

    fn on_stopping(&mut self, now: MonoTime) {
        self.is_stopping = true;
        self.run_replica(now, chicory_consensus::ReplicaEvent::TransferLeadership);
    }

    fn check_deadlines(&mut self, now: MonoTime) {
        let is_due = |replica: &Replica| replica.next_wakeup() <= now;
        if self.replica.as_ref().is_some_and(is_due) {
            self.run_replica(now, chicory_consensus::ReplicaEvent::Tick);
        }
        self.expire_forwarded_calls(now);
        if now >= self.forward_at {
            self.forward_at = now + FORWARDING_INTERVAL;
            self.forward_announcements();
        }
        self.update_leader_state(now);
        if self.mover.is_some() && now >= self.plan_at {
            self.plan_at = now + PLANNING_INTERVAL;
            self.run_maintenance(now);
        }
        let mover_wakeup = self.mover.as_ref().and_then(GrantCoordinator::next_wakeup);
        if mover_wakeup.is_some_and(|at| at <= now) {
            self.grant_events.push_back(GrantEvent::Tick);
        }
    }

    /// Records a change of the known leader, and schedules statuses that announce it to entry VMs.
    fn check_leader_change(&mut self) {
        let leader = self.leader_vm();
        if leader != self.known_leader {
            self.known_leader.clone_from(&leader);
            self.push_note(SiteNote::LeaderChanged { leader });
            self.schedule_statuses();
        }
    }

    /// Notes a change of the voters, on the leader only.
    fn check_voters(&mut self) {
        let Some(replica) = self.replica.as_ref().filter(|replica| replica.is_leader()) else {
            return;
        };
        let voters = &replica.membership().voters;
        let is_unchanged = voters.len() == self.noted_voters.len()
            && voters
                .iter()
                .all(|voter| self.noted_voters.contains(&voter.vm));
        if is_unchanged {
            return;
        }
        let voters = self.voters();
        self.noted_voters.clone_from(&voters);
        self.push_note(SiteNote::VotersChanged {
            voters,
            wanted_count: self.config.voter_count,
        });
    }

    pub(super) fn leader_vm(&self) -> Option<VmId> {
        let leader = self.replica.as_ref().and_then(Replica::leader);
        leader.map(|member| member.vm.clone())
    }

    pub(super) fn push_note(&mut self, note: SiteNote) {
        self.effects.push(SiteEffect::Note(note));
    }

    pub(super) fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }
}
