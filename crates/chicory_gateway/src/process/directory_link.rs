//! Follows the directory of a control VM.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chicory_directory::{ControlMessage, EntryMessage, LinkStatus};
use chicory_link::{Backoff, Frame, FrameTransfer, LinkError, LinkStream, ReadEvent};
use chicory_routes::RouteTableVersion;
use chicory_types::{VmId, ZoneName};
use chicory_wire::proto::site;
use slog::{info, warn};
use tokio::time::{Instant, MissedTickBehavior};

use super::GatewayMetric;
use super::control_vm_dialer::ControlVmDialer;
use super::control_vm_search::ControlVmSearch;
use super::evacuation_log::EvacuationLog;
use super::loss_cause::LossCause;
use super::search_cause::SearchCause;
use super::share_log;
use super::shared_state::SharedState;
use crate::UpdateOutcome;

/// Interval of reports. The control VM answers each with its status.
const REPORT_INTERVAL: Duration = Duration::from_millis(350);
/// Time without any byte after which a search for another control VM begins: two reports
/// and a margin.
const SEARCH_AFTER: Duration = Duration::from_millis(800);
/// Time without any byte after which a link is abandoned even if no other control VM was found. A
/// saturated link may delay everything for a second or two.
const LOST_AFTER: Duration = Duration::from_secs(4);
/// Time without contact to a majority after which a search for another control VM begins. An
/// election takes about as long.
const MAX_TIME_WITHOUT_MAJORITY: Duration = Duration::from_millis(500);
/// Longest pause before control VMs are dialled again. Until a dial succeeds, callers are served
/// with an outdated directory.
const MAX_DIAL_PAUSE: Duration = Duration::from_millis(200);
/// Transfer time from which an update gets a log line.
const SLOW_UPDATE: Duration = Duration::from_millis(100);
/// Least time between two log lines about servers and keys. Four lines a second are enough to show
/// when a VM fell behind.
const CHANGE_LOG_INTERVAL: Duration = Duration::from_millis(250);

/// Least time between two log lines about a backend server with a rate limit.
const LIMITED_LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Most lines about backend servers with a rate limit at a time.
const MAX_LIMITED_LINES: usize = 8;

/// Follows the directory of the leader if possible, and of any other control VM otherwise.
pub(super) struct DirectoryLink {
    shared: Arc<SharedState>,
    vm: VmId,
    zone: ZoneName,
    relay_address: Option<SocketAddr>,
    seeds: Vec<VmId>,
    /// All control VMs that are known.
    candidates: Vec<VmId>,
    /// Control VM whose link was lost last; the others are tried first.
    lost: Option<VmId>,
    /// Whether the log already states that no control VM can be reached.
    is_loss_logged: bool,
    logged: LoggedChange,
    evacuations: EvacuationLog,
    limited_logged_at: Instant,
}

/// The last change of the directory that was logged.
struct LoggedChange {
    at: Instant,
    routes_version: RouteTableVersion,
    /// Number of changes since then that were not logged.
    suppressed: u64,
}

/// Why a control VM is no longer followed.
enum FollowEnd {
    /// The link can't be used any more.
    Lost(LossCause),
    /// The search found another control VM that is in contact with a majority.
    Replaced(VmId, LinkStream),
}

/// What follows from a message.
enum FrameEffect {
    /// The message was applied; nothing else is to be done.
    Applied,
    /// The control VM reported its status.
    Reported(LinkStatus),
    /// An update was lost: the link has to be opened again to receive the whole directory.
    Lost,
}

impl DirectoryLink {
    pub(super) fn new(
        shared: Arc<SharedState>,
        vm: VmId,
        zone: ZoneName,
        relay_address: Option<SocketAddr>,
        seeds: Vec<VmId>,
    ) -> Self {
        Self {
            shared,
            vm,
            zone,
            relay_address,
            candidates: seeds.clone(),
            seeds,
            lost: None,
            is_loss_logged: false,
            logged: LoggedChange {
                at: Instant::now(),
                routes_version: 0,
                suppressed: 0,
            },
            evacuations: EvacuationLog::default(),
            limited_logged_at: Instant::now(),
        }
    }

    pub(super) async fn run(mut self) {
        let mut backoff = Backoff::default();
        let mut found = None;
        loop {
            let opened = match found.take() {
                Some(opened) => Ok(opened),
                None => self.open_any().await,
            };
            let Ok((control_vm, stream)) = opened else {
                // The control VM that was lost before may be the only one left.
                self.lost = None;
                tokio::time::sleep(backoff.next_pause().min(MAX_DIAL_PAUSE)).await;
                continue;
            };
            let followed_at = Instant::now();
            let follow_end = self.follow(&control_vm, stream).await;
            if followed_at.elapsed() > SEARCH_AFTER {
                backoff.reset();
            }
            match follow_end {
                FollowEnd::Replaced(next, stream) => {
                    self.lost = None;
                    found = Some((next, stream));
                }
                FollowEnd::Lost(cause) => {
                    self.on_lost(&control_vm, cause);
                    tokio::time::sleep(backoff.next_pause().min(MAX_DIAL_PAUSE)).await;
                }
            }
        }
    }

    async fn open_any(&mut self) -> Result<(VmId, LinkStream), LinkError> {
        let targets = self.targets();
        let opened = self.dialer().open_first(&targets).await;
        let was_logged = std::mem::replace(&mut self.is_loss_logged, opened.is_err());
        if let Err(failure) = &opened
            && !was_logged
        {
            warn!(self.shared.logger, "no link to control VM";
                "control_vms" => ?targets, "error" => %failure);
        }
        opened
    }

    fn on_lost(&mut self, control_vm: &VmId, cause: LossCause) {
        self.shared
            .metrics
            .increment(GatewayMetric::ControlLinksLost);
        let now = self.shared.now();
        let contact_age = self.shared.gateway().contact_age(now);
        warn!(self.shared.logger, "link to control VM lost"; "control_vm" => control_vm,
            "cause" => %cause, "contact_age" => ?contact_age);
        self.lost = Some(control_vm.clone());
    }

    /// Returns all control VMs except the one whose link was lost last.
    fn targets(&self) -> Vec<VmId> {
        let lost = self.lost.as_ref();
        let others = self.candidates.iter().filter(|vm| Some(*vm) != lost);
        let others: Vec<VmId> = others.cloned().collect();
        if others.is_empty() {
            return self.candidates.clone();
        }
        others
    }

    async fn follow(&mut self, followed: &VmId, (mut reader, mut writer): LinkStream) -> FollowEnd {
        info!(self.shared.logger, "follows control VM"; "control_vm" => followed);
        self.shared.gateway().record_new_control_vm();
        self.shared.limit_reports.notify_one();
        let mut reports = tokio::time::interval(REPORT_INTERVAL);
        reports.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut last_contact_at = Instant::now();
        let mut majority_contact_at = Instant::now();
        // The control VM is followed until a better one is found: it may be the first to learn of a
        // new leader, and transfers in progress can finish.
        let mut search = ControlVmSearch::default();
        loop {
            let is_alone = self.candidates.iter().all(|vm| vm == followed);
            // If a search for this cause already runs, or no other control VM is known, the next
            // timeout ends the link.
            let is_final_wait = is_alone || search.runs_for(SearchCause::Unresponsive);
            let receive_timeout = if is_final_wait {
                LOST_AFTER
            } else {
                SEARCH_AFTER
            };
            tokio::select! {
                event = reader.next_event() => {
                    last_contact_at = Instant::now();
                    search.end_for(SearchCause::Unresponsive);
                    let (frame, transfer) = match event {
                        Ok(ReadEvent::PartialFrame) => continue,
                        Ok(ReadEvent::Frame { frame, transfer }) => (frame, transfer),
                        Ok(ReadEvent::End) | Err(_) => return FollowEnd::Lost(LossCause::Ended),
                    };
                    let status = match self.handle_frame(frame, transfer) {
                        FrameEffect::Applied => continue,
                        FrameEffect::Reported(status) => status,
                        FrameEffect::Lost => return FollowEnd::Lost(LossCause::Unusable),
                    };
                    self.update_candidates(&status);
                    if status.is_in_contact {
                        majority_contact_at = last_contact_at;
                    }
                    self.update_search(
                        followed,
                        &status,
                        last_contact_at - majority_contact_at,
                        &mut search,
                    );
                }
                () = self.shared.limit_reports.notified() => {
                    let now = self.shared.now();
                    let report = self.shared.gateway().take_limit_report(now);
                    let Some(report) = report else { continue };
                    writer.put(&site::EntryMessage::from(EntryMessage::Report(report)));
                    if writer.flush().await.is_err() {
                        return FollowEnd::Lost(LossCause::Ended);
                    }
                }
                (next, stream) = search.found() => return FollowEnd::Replaced(next, stream),
                _ = reports.tick() => {
                    let now = self.shared.now();
                    let report = self.shared.gateway().take_report(now);
                    writer.put(&site::EntryMessage::from(EntryMessage::Report(report)));
                    if writer.flush().await.is_err() {
                        return FollowEnd::Lost(LossCause::Ended);
                    }
                    self.prune();
                    self.log_limited_servers();
                    self.shared.count_owner_admission(now);
                    share_log::count(&self.shared);
                }
                () = tokio::time::sleep_until(last_contact_at + receive_timeout) => {
                    if is_final_wait {
                        let unfinished_bytes = reader.unfinished_bytes();
                        return FollowEnd::Lost(LossCause::TimedOut { unfinished_bytes });
                    }
                    search.begin(SearchCause::Unresponsive, self.dialer(), self.others(followed));
                }
            }
        }
    }

    /// Begins or ends a search for another control VM, depending on the status that the followed
    /// one reported.
    fn update_search(
        &self,
        followed: &VmId,
        status: &LinkStatus,
        time_without_majority: Duration,
        search: &mut ControlVmSearch,
    ) {
        let other_leader = status.leader.as_ref().filter(|leader| *leader != followed);
        if !status.is_in_contact && time_without_majority > MAX_TIME_WITHOUT_MAJORITY {
            search.begin(
                SearchCause::NoMajority,
                self.dialer(),
                self.others(followed),
            );
        } else if let Some(leader) = other_leader {
            let leader = vec![leader.clone()];
            search.begin(SearchCause::OtherLeader, self.dialer(), leader);
        } else if status.is_in_contact {
            search.end();
        }
    }

    fn dialer(&self) -> ControlVmDialer {
        ControlVmDialer {
            shared: self.shared.clone(),
            vm: self.vm.clone(),
            zone: self.zone.clone(),
            relay_address: self.relay_address,
        }
    }

    fn others(&self, followed: &VmId) -> Vec<VmId> {
        let others = self.candidates.iter().filter(|vm| *vm != followed);
        others.cloned().collect()
    }

    fn handle_frame(&mut self, frame: Frame, transfer: FrameTransfer) -> FrameEffect {
        let message = frame.decode::<site::ControlMessage>();
        let message = message
            .ok()
            .and_then(|message| ControlMessage::try_from(message).ok());
        let now = self.shared.now();
        match message {
            Some(ControlMessage::Update(update)) => {
                let outcome = self.shared.gateway().update(now, update);
                match outcome {
                    UpdateOutcome::Changed => {
                        self.record_transfer(transfer);
                        self.shared.changes.send_modify(|changes| *changes += 1);
                        self.record_version();
                        FrameEffect::Applied
                    }
                    UpdateOutcome::Older => FrameEffect::Applied,
                    UpdateOutcome::UnknownBase => {
                        warn!(
                            self.shared.logger,
                            "update builds on an unknown route table"
                        );
                        FrameEffect::Lost
                    }
                }
            }
            Some(ControlMessage::Status(status)) => {
                self.shared.gateway().record_status(now, &status);
                FrameEffect::Reported(status)
            }
            Some(ControlMessage::Moves(change)) => {
                self.shared.gateway().record_moves(change);
                self.shared.changes.send_modify(|changes| *changes += 1);
                FrameEffect::Applied
            }
            Some(ControlMessage::ServerLimits(update)) => {
                let changes = self.shared.gateway().record_server_limits(now, update);
                for (incarnation, change) in changes {
                    self.shared.log_limit_change(&incarnation, change);
                }
                self.shared.changes.send_modify(|changes| *changes += 1);
                FrameEffect::Applied
            }
            Some(ControlMessage::ServerShares(services)) => {
                share_log::record(&self.shared, now, services);
                FrameEffect::Applied
            }
            Some(ControlMessage::OwnerAdmission(admitted)) => {
                self.shared.record_owner_admission(now, admitted);
                FrameEffect::Applied
            }
            Some(ControlMessage::Relays(peers)) => {
                let has_changed = self.shared.gateway().set_relays(peers.clone());
                if has_changed {
                    self.shared.reachability.relays_changed(now, &peers);
                }
                FrameEffect::Applied
            }
            None => {
                warn!(
                    self.shared.logger,
                    "message from control VM can't be decoded"
                );
                self.shared.gateway().record_lost_update();
                FrameEffect::Lost
            }
        }
    }

    fn record_transfer(&self, transfer: FrameTransfer) {
        let metrics = &self.shared.metrics;
        metrics.record(GatewayMetric::UpdateTransfer, transfer.took);
        metrics.add(GatewayMetric::UpdateBytes, transfer.size_bytes as u64);
        if let Some(lag) = self.shared.gateway().take_table_lag() {
            metrics.record(GatewayMetric::TableLag, lag);
        }
        if transfer.took >= SLOW_UPDATE {
            info!(self.shared.logger, "update was under way for long"; "took" => ?transfer.took,
                "size_bytes" => transfer.size_bytes);
        }
    }

    /// Records the version of the directory in metrics and in the log. Each new route table is
    /// logged. Other changes are logged at a limited rate, as servers and keys may change many
    /// times a second.
    fn record_version(&mut self) {
        let (version, routes_version) = {
            let gateway = self.shared.gateway();
            let position = gateway.directory().position();
            (position.version, position.routes_version)
        };
        let metrics = &self.shared.metrics;
        metrics.set(GatewayMetric::DirectoryVersion, version);
        metrics.set(GatewayMetric::RoutesVersion, routes_version);
        self.evacuations.update(&self.shared);
        self.shared.update_readiness();
        let logged = &mut self.logged;
        let has_new_routes = logged.routes_version != routes_version;
        if !has_new_routes && logged.at.elapsed() < CHANGE_LOG_INTERVAL {
            logged.suppressed += 1;
            return;
        }
        info!(self.shared.logger, "directory changed"; "version" => version,
            "routes_version" => routes_version, "lines_suppressed" => logged.suppressed);
        *logged = LoggedChange {
            at: Instant::now(),
            routes_version,
            suppressed: 0,
        };
    }

    /// Replaces the candidates with the reported control VMs. Seeds stay among the candidates, as a
    /// seed may name a machine that was added later.
    fn update_candidates(&mut self, status: &LinkStatus) {
        if status.control_vms.is_empty() {
            return;
        }
        self.candidates.clone_from(&status.control_vms);
        for seed in &self.seeds {
            if !self.candidates.contains(seed) {
                self.candidates.push(seed.clone());
            }
        }
    }

    /// Logs what was sent to backend servers with a rate limit, once a second for as many servers as
    /// a few lines can hold.
    fn log_limited_servers(&mut self) {
        if self.limited_logged_at.elapsed() < LIMITED_LOG_INTERVAL {
            return;
        }
        self.limited_logged_at = Instant::now();
        let now = self.shared.now();
        let (loads, cold_counts, cold_count) = {
            let mut gateway = self.shared.gateway();
            let loads = gateway.take_limited_server_loads(now);
            let cold_count = gateway.directory().cold_count(now) as u64;
            (loads, gateway.take_cold_counts(), cold_count)
        };
        let metrics = &self.shared.metrics;
        metrics.set(GatewayMetric::ColdServers, cold_count);
        metrics.add(GatewayMetric::SentToCold, cold_counts.sent.into());
        metrics.add(GatewayMetric::HeldBackFromCold, cold_counts.denied.into());
        let suppressed = loads.len().saturating_sub(MAX_LIMITED_LINES);
        for load in loads.iter().take(MAX_LIMITED_LINES) {
            info!(self.shared.logger, "requests to backend server with a rate limit";
                "server" => %load.limit.incarnation, "rate_per_s" => load.limit.rate_per_s,
                "is_cold" => load.limit.is_cold, "limit_age" => ?load.limit.age, "sent" => load.sent, "denied" => load.denied,
                "lines_suppressed" => suppressed);
        }
    }

    fn prune(&self) {
        let gateway = self.shared.gateway();
        let directory = gateway.directory();
        let pool = &self.shared.pool;
        pool.prune(self.shared.now(), |incarnation| {
            directory.server(incarnation).is_some()
        });
    }
}
