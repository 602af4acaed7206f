//! The replay of a control process.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

use chicory_consensus::{MemberId, RestoredState};
use chicory_control::{
    ControlConfig, ControlCore, ControlEffect, ControlEvent, ControlReply, OperatorReply,
    new_global_group,
};
use chicory_ownership::{ClaimAnswer, RenewAnswer};
use chicory_trace::{TraceReader, TracedProcess};
use chicory_types::{MonoTime, VmId};
use snafu::ResultExt;

use crate::ReplayError;
use crate::replay_error::{SettingsSnafu, TraceSnafu};

/// Replays a control process that started without stored state, and returns its outcomes.
///
/// # Errors
///
/// [`ReplayError`] if the trace can't be read or its settings are invalid.
pub fn replay_control(path: &Path) -> Result<Vec<String>, ReplayError> {
    let trace: TraceReader<ControlConfig, ControlEvent> =
        TraceReader::open(path, TracedProcess::Control).context(TraceSnafu)?;
    let mut replay = ControlReplay::new(trace.config, trace.started_at)?;
    for line in trace.lines {
        replay.apply(line.now(), line.event);
    }
    Ok(replay.finish())
}

/// The replay of one control process.
struct ControlReplay {
    core: ControlCore,
    /// Entry VMs that have a lease.
    leased: BTreeSet<VmId>,
    /// Entry VM whose renewal the current event is.
    renewing: Option<VmId>,
    /// Number of answers to claims, by the name of the answer.
    claims: BTreeMap<&'static str, u64>,
    outcomes: Vec<String>,
}

impl ControlReplay {
    fn new(config: ControlConfig, now: MonoTime) -> Result<Self, ReplayError> {
        let global = if config.is_global_member() {
            let member = MemberId::new(config.vm.clone(), config.incarnation);
            let fresh = RestoredState::fresh();
            let group = new_global_group(member, &config.global_vms, fresh, true, now);
            Some(group.context(SettingsSnafu)?)
        } else {
            None
        };
        Ok(Self {
            core: ControlCore::new(config, global, None, now).context(SettingsSnafu)?,
            leased: BTreeSet::new(),
            renewing: None,
            claims: BTreeMap::new(),
            outcomes: Vec::new(),
        })
    }

    /// Returns all outcomes, with the totals of claims last.
    fn finish(mut self) -> Vec<String> {
        let claims = self.claims.iter();
        let totals = claims.map(|(answer, count)| format!("claims answered {answer}: {count}"));
        self.outcomes.extend(totals);
        self.outcomes
    }

    fn apply(&mut self, now: MonoTime, event: ControlEvent) {
        self.renewing = match &event {
            ControlEvent::CallReceived {
                request: chicory_control::ControlCall::Renew(request),
                ..
            } => Some(request.entry.vm.clone()),
            _ => None,
        };
        for effect in self.core.reduce(now, event) {
            if let Some(outcome) = self.outcome(&effect) {
                self.outcomes
                    .push(format!("{:>6} ms  {outcome}", now.as_millis()));
            }
        }
    }

    fn outcome(&mut self, effect: &ControlEffect) -> Option<String> {
        match effect {
            ControlEffect::Note(note) => Some(format!("{note:?}")),
            ControlEffect::Reply { reply, .. } => self.outcome_of_reply(reply),
            ControlEffect::Abort => Some("Abort".to_owned()),
            ControlEffect::Stopped => Some("Stopped".to_owned()),
            _ => None,
        }
    }

    fn outcome_of_reply(&mut self, reply: &ControlReply) -> Option<String> {
        match reply {
            ControlReply::Renew(answer) => self.outcome_of_renewal(answer),
            ControlReply::Claim(answer) => {
                *self.claims.entry(answer_name(answer)).or_default() += 1;
                None
            }
            ControlReply::Operator(OperatorReply::Edited(outcome)) => {
                Some(format!("edit: {outcome:?}"))
            }
            ControlReply::Operator(OperatorReply::Evicted { moved_slots }) => {
                Some(format!("evicted: {moved_slots} slots"))
            }
            ControlReply::NotAllowed => Some("refused a call that isn't allowed".to_owned()),
            _ => None,
        }
    }

    /// Returns an outcome if an entry process gets a lease that it did not have, or loses it.
    fn outcome_of_renewal(&mut self, answer: &RenewAnswer) -> Option<String> {
        let vm = self.renewing.clone()?;
        match answer {
            RenewAnswer::Granted { lease, .. } if !lease.is_zero() => {
                let is_first = self.leased.insert(vm.clone());
                is_first.then(|| format!("lease for {vm}"))
            }
            _ => {
                let had_lease = self.leased.remove(&vm);
                had_lease.then(|| format!("no lease for {vm}"))
            }
        }
    }
}

fn answer_name(answer: &ClaimAnswer) -> &'static str {
    match answer {
        ClaimAnswer::Granted => "granted",
        ClaimAnswer::Stored(_) => "stored answer",
        ClaimAnswer::InProgress => "in progress",
        ClaimAnswer::Unknown => "unknown",
        ClaimAnswer::KeyReused => "key reused",
        ClaimAnswer::NotCustodian => "not custodian",
        ClaimAnswer::HistoryLost => "history lost",
        ClaimAnswer::Full => "full",
        ClaimAnswer::NotLeader { .. } => "not leader",
    }
}
