//! Follows the directory of a control VM.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chicory_directory::{ControlMessage, EntryMessage, LinkHello, LinkStatus};
use chicory_link::{Backoff, Frame, LinkError, LinkStream, dial};
use chicory_routes::RouteTableVersion;
use chicory_types::{VmId, ZoneName};
use chicory_wire::proto::site;
use slog::{info, warn};
use tokio::task::JoinSet;
use tokio::time::{Instant, MissedTickBehavior};

use super::GatewayMetric;
use super::shared::Shared;
use crate::UpdateOutcome;

/// Interval of reports; each is answered with the control VM's status.
const REPORT_INTERVAL: Duration = Duration::from_millis(350);
/// Time without any message after which a control VM is given up: two reports and a margin.
const SILENCE: Duration = Duration::from_millis(800);
/// Time without contact to a majority after which another control VM is looked for; an election
/// takes about as long.
const NO_CONTACT: Duration = Duration::from_millis(500);

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
    leader: Option<VmId>,
    /// The control VM that was lost last; the others are tried first.
    lost: Option<VmId>,
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
    Lost,
    /// It names another leader.
    Redirected(VmId),
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
            leader: None,
            lost: None,
            noted: NotedChange {
                at: Instant::now(),
                routes_version: 0,
                suppressed: 0,
            },
        }
    }

    pub(super) async fn run(mut self) {
        let mut backoff = Backoff::default();
        let mut is_lost = false;
        loop {
            let targets = self.targets();
            match self.open_any(&targets).await {
                Ok((control_vm, stream)) => {
                    info!(self.shared.logger, "follows control VM"; "control_vm" => &control_vm);
                    is_lost = false;
                    let followed_at = Instant::now();
                    let parting = self.follow(&control_vm, stream).await;
                    if followed_at.elapsed() > SILENCE {
                        backoff.reset();
                    }
                    match parting {
                        Parting::Redirected(leader) => {
                            self.leader = Some(leader);
                            self.lost = None;
                        }
                        Parting::Lost => {
                            self.on_lost(&control_vm);
                            tokio::time::sleep(backoff.next_pause()).await;
                        }
                    }
                }
                Err(failure) => {
                    if !is_lost {
                        warn!(self.shared.logger, "no link to control VM";
                            "control_vms" => ?targets, "error" => %failure);
                        is_lost = true;
                    }
                    // Whichever was lost before may be the only one left.
                    self.lost = None;
                    tokio::time::sleep(backoff.next_pause()).await;
                }
            }
        }
    }

    fn on_lost(&mut self, control_vm: &VmId) {
        self.shared
            .metrics
            .increment(GatewayMetric::ControlLinksLost);
        let now = self.shared.now();
        let contact_age = self.shared.gateway().contact_age(now);
        warn!(self.shared.logger, "link to control VM lost"; "control_vm" => control_vm,
            "contact_age" => ?contact_age);
        self.leader = None;
        self.lost = Some(control_vm.clone());
    }

    /// The leader if it is known, else all control VMs but the one that was lost last.
    fn targets(&mut self) -> Vec<VmId> {
        if let Some(leader) = self.leader.take() {
            return vec![leader];
        }
        let lost = self.lost.as_ref();
        let others = self.candidates.iter().filter(|vm| Some(*vm) != lost);
        let others: Vec<VmId> = others.cloned().collect();
        if others.is_empty() {
            return self.candidates.clone();
        }
        others
    }

    /// Dials all targets at once and takes the first that answers: one that is cut off costs no
    /// time then.
    async fn open_any(&self, targets: &[VmId]) -> Result<(VmId, LinkStream), LinkError> {
        let mut dials = JoinSet::new();
        for vm in targets {
            let address: SocketAddr = vm.parse().map_err(|_| LinkError::Content)?;
            let vm = vm.clone();
            dials.spawn(async move { (vm, dial(address).await) });
        }
        let mut failure = LinkError::DialTimeout;
        while let Some(dialled) = dials.join_next().await {
            match dialled {
                Ok((vm, Ok((reader, mut writer)))) => {
                    let hello = LinkHello::Entry {
                        vm: self.vm.clone(),
                        zone: self.zone.clone(),
                        known: self.shared.gateway().directory().mark(),
                    };
                    writer.put(&site::LinkHello::from(hello));
                    writer.flush().await?;
                    return Ok((vm, (reader, writer)));
                }
                Ok((_, Err(error))) => failure = error,
                Err(error) => warn!(self.shared.logger, "dial ended early"; "error" => %error),
            }
        }
        Err(failure)
    }

    async fn follow(&mut self, own: &VmId, (mut reader, mut writer): LinkStream) -> Parting {
        let mut reports = tokio::time::interval(REPORT_INTERVAL);
        reports.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut heard_at = Instant::now();
        let mut in_contact_at = Instant::now();
        let mut is_in_contact = true;
        loop {
            let silent_at = heard_at + SILENCE;
            let give_up_at = if is_in_contact {
                silent_at
            } else {
                silent_at.min(in_contact_at + NO_CONTACT)
            };
            tokio::select! {
                frame = reader.next() => {
                    let Ok(Some(frame)) = frame else { return Parting::Lost };
                    heard_at = Instant::now();
                    let status = match self.take_frame(frame) {
                        FrameEffect::Followed => continue,
                        FrameEffect::Reported(status) => status,
                        FrameEffect::Lost => return Parting::Lost,
                    };
                    is_in_contact = status.is_in_contact;
                    if is_in_contact {
                        in_contact_at = heard_at;
                    }
                    self.note_control_vms(&status);
                    if let Some(leader) = status.leader.filter(|leader| leader != own) {
                        return Parting::Redirected(leader);
                    }
                }
                _ = reports.tick() => {
                    let report = self.shared.gateway().take_report();
                    writer.put(&site::EntryMessage::from(EntryMessage::Report(report)));
                    if writer.flush().await.is_err() {
                        return Parting::Lost;
                    }
                    self.prune();
                }
                () = tokio::time::sleep_until(give_up_at) => return Parting::Lost,
            }
        }
    }

    fn take_frame(&mut self, frame: Frame) -> FrameEffect {
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
                if self.shared.gateway().note_status(now, &status) {
                    self.shared.changes.send_modify(|changes| *changes += 1);
                }
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
        self.shared.readiness.set(routes_version > 0);
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
        pool.prune(self.shared.now(), |life| directory.server(life).is_some());
    }
}
