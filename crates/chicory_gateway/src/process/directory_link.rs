//! Follows the directory of a control VM.

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
use super::control_vm_search::ControlVmSearch;
use super::entry_identity::EntryIdentity;
use super::loss_cause::LossCause;
use super::search_cause::SearchCause;
use super::shared::Shared;
use crate::UpdateOutcome;

/// Interval of reports; each is answered with the control VM's status.
const REPORT_INTERVAL: Duration = Duration::from_millis(350);
/// Time without any byte after which another control VM is looked for: two reports and a margin.
const SILENCE: Duration = Duration::from_millis(800);
/// Time without any byte after which a control VM is given up, though no other one was found: a full
/// link may delay everything for a second or two.
const GONE: Duration = Duration::from_secs(4);
/// Time without contact to a majority after which another control VM is looked for; an election
/// takes about as long.
const NO_CONTACT: Duration = Duration::from_millis(500);
/// Longest pause before control VMs are dialled again: callers are served by an old directory until
/// then.
const MAX_DIAL_PAUSE: Duration = Duration::from_millis(200);
/// Time that an update may be under way without a log line.
const SLOW_UPDATE: Duration = Duration::from_millis(100);
/// Least time between two log lines about servers and keys: four a second show when a VM fell
/// behind.
const NOTE_INTERVAL: Duration = Duration::from_millis(250);

/// Follows the directory: the leader's if it can, any other control VM's otherwise.
pub(super) struct DirectoryLink {
    shared: Arc<Shared>,
    vm: VmId,
    zone: ZoneName,
    seeds: Vec<VmId>,
    /// All control VMs that are known.
    candidates: Vec<VmId>,
    /// The control VM that was lost last; the others are tried first.
    lost: Option<VmId>,
    /// A log line has told that no control VM can be reached.
    is_loss_told: bool,
    noted: NotedChange,
}

/// The last change of the directory that has a log line.
struct NotedChange {
    at: Instant,
    routes_version: RouteTableVersion,
    /// Changes since then without a line.
    suppressed: u64,
}

/// Why a control VM is no longer followed.
enum Parting {
    /// It can't be followed any more.
    Lost(LossCause),
    /// Another one is the leader, or serves better.
    Replaced(VmId, LinkStream),
}

/// What follows from a message.
enum FrameEffect {
    /// Nothing but what was taken in.
    Followed,
    /// The control VM told its state.
    Reported(LinkStatus),
    /// Something is missing from now on: the link has to be opened anew.
    Lost,
}

impl DirectoryLink {
    pub(super) fn new(shared: Arc<Shared>, vm: VmId, zone: ZoneName, seeds: Vec<VmId>) -> Self {
        Self {
            shared,
            vm,
            zone,
            candidates: seeds.clone(),
            seeds,
            lost: None,
            is_loss_told: false,
            noted: NotedChange {
                at: Instant::now(),
                routes_version: 0,
                suppressed: 0,
            },
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
                // Whichever was lost before may be the only one left.
                self.lost = None;
                tokio::time::sleep(backoff.next_pause().min(MAX_DIAL_PAUSE)).await;
                continue;
            };
            let followed_at = Instant::now();
            let parting = self.follow(&control_vm, stream).await;
            if followed_at.elapsed() > SILENCE {
                backoff.reset();
            }
            match parting {
                Parting::Replaced(next, stream) => {
                    self.lost = None;
                    found = Some((next, stream));
                }
                Parting::Lost(cause) => {
                    self.on_lost(&control_vm, cause);
                    tokio::time::sleep(backoff.next_pause().min(MAX_DIAL_PAUSE)).await;
                }
            }
        }
    }

    async fn open_any(&mut self) -> Result<(VmId, LinkStream), LinkError> {
        let targets = self.targets();
        let opened = self.identity().open_first(&targets).await;
        let was_told = std::mem::replace(&mut self.is_loss_told, opened.is_err());
        if let Err(failure) = &opened
            && !was_told
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

    /// All control VMs but the one that was lost last.
    fn targets(&self) -> Vec<VmId> {
        let lost = self.lost.as_ref();
        let others = self.candidates.iter().filter(|vm| Some(*vm) != lost);
        let others: Vec<VmId> = others.cloned().collect();
        if others.is_empty() {
            return self.candidates.clone();
        }
        others
    }

    async fn follow(&mut self, own: &VmId, (mut reader, mut writer): LinkStream) -> Parting {
        info!(self.shared.logger, "follows control VM"; "control_vm" => own);
        let mut reports = tokio::time::interval(REPORT_INTERVAL);
        reports.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut heard_at = Instant::now();
        let mut in_contact_at = Instant::now();
        // It is followed until a better one is found: it may be the first to hear of a new leader, and
        // what is under way from it goes on.
        let mut search = ControlVmSearch::default();
        loop {
            let is_alone = self.candidates.iter().all(|vm| vm == own);
            let is_sought = is_alone || search.runs_for(SearchCause::Silence);
            let patience = if is_sought { GONE } else { SILENCE };
            tokio::select! {
                arrival = reader.next_event() => {
                    heard_at = Instant::now();
                    search.end_for(SearchCause::Silence);
                    let (frame, transfer) = match arrival {
                        Ok(ReadEvent::PartialFrame) => continue,
                        Ok(ReadEvent::Frame { frame, transfer }) => (frame, transfer),
                        Ok(ReadEvent::End) | Err(_) => return Parting::Lost(LossCause::Ended),
                    };
                    let status = match self.take_frame(frame, transfer) {
                        FrameEffect::Followed => continue,
                        FrameEffect::Reported(status) => status,
                        FrameEffect::Lost => return Parting::Lost(LossCause::Unusable),
                    };
                    self.note_control_vms(&status);
                    if status.is_in_contact {
                        in_contact_at = heard_at;
                    }
                    self.search_beside(own, &status, heard_at - in_contact_at, &mut search);
                }
                (next, stream) = search.found() => return Parting::Replaced(next, stream),
                _ = reports.tick() => {
                    let report = self.shared.gateway().take_report();
                    writer.put(&site::EntryMessage::from(EntryMessage::Report(report)));
                    if writer.flush().await.is_err() {
                        return Parting::Lost(LossCause::Ended);
                    }
                    self.prune();
                }
                () = tokio::time::sleep_until(heard_at + patience) => {
                    if is_sought {
                        let unfinished_bytes = reader.unfinished_bytes();
                        return Parting::Lost(LossCause::Silent { unfinished_bytes });
                    }
                    search.begin(SearchCause::Silence, self.identity(), self.others(own));
                }
            }
        }
    }

    /// Looks for another control VM, or no longer, by what the followed one told.
    fn search_beside(
        &self,
        own: &VmId,
        status: &LinkStatus,
        without_majority: Duration,
        search: &mut ControlVmSearch,
    ) {
        let other_leader = status.leader.as_ref().filter(|leader| *leader != own);
        if !status.is_in_contact && without_majority > NO_CONTACT {
            search.begin(SearchCause::NoMajority, self.identity(), self.others(own));
        } else if let Some(leader) = other_leader {
            let leader = vec![leader.clone()];
            search.begin(SearchCause::OtherLeader, self.identity(), leader);
        } else if status.is_in_contact {
            search.end();
        }
    }

    fn identity(&self) -> EntryIdentity {
        EntryIdentity {
            shared: self.shared.clone(),
            vm: self.vm.clone(),
            zone: self.zone.clone(),
        }
    }

    fn others(&self, own: &VmId) -> Vec<VmId> {
        let others = self.candidates.iter().filter(|vm| *vm != own);
        others.cloned().collect()
    }

    fn take_frame(&mut self, frame: Frame, transfer: FrameTransfer) -> FrameEffect {
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
                        self.note_transfer(transfer);
                        self.shared.changes.send_modify(|changes| *changes += 1);
                        self.note_version();
                        FrameEffect::Followed
                    }
                    UpdateOutcome::Older => FrameEffect::Followed,
                    UpdateOutcome::Unfit => {
                        warn!(
                            self.shared.logger,
                            "update builds on an unknown route table"
                        );
                        FrameEffect::Lost
                    }
                }
            }
            Some(ControlMessage::Status(status)) => {
                self.shared.gateway().note_status(now, &status);
                FrameEffect::Reported(status)
            }
            Some(ControlMessage::Moves(change)) => {
                self.shared.gateway().note_moves(change);
                self.shared.changes.send_modify(|changes| *changes += 1);
                FrameEffect::Followed
            }
            None => {
                warn!(self.shared.logger, "control VM sent something unreadable");
                self.shared.gateway().note_lost_update();
                FrameEffect::Lost
            }
        }
    }

    fn note_transfer(&self, transfer: FrameTransfer) {
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

    /// Each route table has a line; servers and keys may change many times a second.
    fn note_version(&mut self) {
        let (version, routes_version) = {
            let gateway = self.shared.gateway();
            let mark = gateway.directory().mark();
            (mark.version, mark.routes_version)
        };
        let metrics = &self.shared.metrics;
        metrics.set(GatewayMetric::DirectoryVersion, version);
        metrics.set(GatewayMetric::RoutesVersion, routes_version);
        self.shared.update_readiness();
        let noted = &mut self.noted;
        let has_new_routes = noted.routes_version != routes_version;
        if !has_new_routes && noted.at.elapsed() < NOTE_INTERVAL {
            noted.suppressed += 1;
            return;
        }
        info!(self.shared.logger, "directory changed"; "version" => version,
            "routes_version" => routes_version, "lines_suppressed" => noted.suppressed);
        *noted = NotedChange {
            at: Instant::now(),
            routes_version,
            suppressed: 0,
        };
    }

    /// Seeds stay among the candidates: they may name machines that came later.
    fn note_control_vms(&mut self, status: &LinkStatus) {
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

    fn prune(&self) {
        let gateway = self.shared.gateway();
        let directory = gateway.directory();
        let pool = &self.shared.pool;
        pool.prune(self.shared.now(), |incarnation| {
            directory.server(incarnation).is_some()
        });
    }
}
