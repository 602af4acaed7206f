//! Decides which fraction of the requests for an overloaded server's keys may be sent.

use std::collections::BTreeMap;
use std::time::Duration;

use chicory_types::MonoTime;

use crate::owner_load::{OwnerLoad, decay_factor};
use crate::{ObservedAnswers, OwnerOverload, OwnerSlots};

/// Time after its latest report for which the requests of a sender count as before.
const SENDER_RETENTION: Duration = Duration::from_secs(1);
/// Weight of the latest sample in the estimate of what a server can answer. The work of requests
/// varies, and servers are slow for less than a second at a time.
const CAPACITY_SAMPLE_WEIGHT: f64 = 0.1;
/// Demand, as a multiple of what the server can answer, at which admission begins. At 1.1 it began
/// in bursts of a demand of 0.8, and cost callers more than the queue.
const BEGIN_DEMAND: f64 = 1.3;
/// The same below which admission ends.
const END_DEMAND: f64 = 1.0;
/// Part of the latency target in which a server answers the requests that are to be at it at once.
/// The rest is for work that takes longer than the mean.
const FILL_FRACTION: f64 = 0.8;
/// Number of requests beyond the slots that are always to be at an overloaded server, so that no
/// slot is idle between an answer and the next request.
const MIN_WAITING: f64 = 1.0;
/// Time within which too many requests at the server are brought down to the wanted number. It is
/// short because demand grows while refused callers come back.
const DRAIN_TIME_S: f64 = 0.5;
/// Time within which too few requests are brought up to the wanted number.
const REFILL_TIME_S: f64 = 0.6;
/// Time from the middle of the reported span until a fraction takes effect at the senders.
const EFFECT_DELAY_S: f64 = 0.3;
/// Greatest multiple of the wanted number of requests that a prediction assumes, as servers reject
/// requests beyond their own queue.
const MAX_PREDICTED_FILL: f64 = 2.0;
/// Least fraction, so that the recovery of a server can be observed.
const MIN_FRACTION: f64 = 0.05;

/// Decides which fraction of the requests for an overloaded server's keys may be sent.
///
/// Only the owner of a key can serve it. If its requests are more than it can answer, its queue is
/// full all the time and each answer is late. No sender can see that: each sends only a few
/// requests to any one owner. This type sums up what all senders report, and chooses the fraction
/// at which the number of requests at the server is what it can answer within their latency target.
///
/// What a server can answer is measured: with more requests at it than slots, that is its rate of
/// answers; with fewer, its slots divided by the time of an answer. The number of requests at the
/// server and the rates are means over the reports, multiplied by the number of senders, so that
/// late reports don't read as less load.
///
/// # Examples
///
/// ```
/// use chicory_policy::{ObservedAnswers, OwnerAdmission, OwnerSlots};
/// use std::time::Duration;
///
/// let mut admission = OwnerAdmission::new(Duration::from_millis(350));
/// let slots = OwnerSlots { slots: 1, latency_target: Duration::from_millis(500) };
/// let answers = ObservedAnswers {
///     in_flight: 10,
///     answered: 3,
///     answer_time: Duration::from_secs(3),
/// };
/// for report in 1..10 {
///     let now = Duration::from_millis(350) * report;
///     admission.record_report(now, &"sender");
///     admission.record_requests(now, &"owner", 12);
///     admission.record_answers(now, &"owner", answers);
///     let overloads = admission.update(now, |_| Some(slots));
///     assert!(overloads[&"owner"].fraction < 0.3);
/// }
/// ```
#[derive(Clone, Debug)]
pub struct OwnerAdmission<Owner, Sender> {
    report_interval: Duration,
    loads: BTreeMap<Owner, OwnerLoad>,
    /// Fraction in force of each overloaded owner.
    fractions: BTreeMap<Owner, f64>,
    reported_at: BTreeMap<Sender, MonoTime>,
    /// Number of reports, which decays as the sums of the loads do.
    report_count: f64,
    decayed_at: MonoTime,
}

impl<Owner: Ord + Clone, Sender: Ord + Clone> OwnerAdmission<Owner, Sender> {
    /// Creates a policy for senders that report at this interval.
    #[must_use]
    pub fn new(report_interval: Duration) -> Self {
        Self {
            report_interval,
            loads: BTreeMap::new(),
            fractions: BTreeMap::new(),
            reported_at: BTreeMap::new(),
            report_count: 0.0,
            decayed_at: MonoTime::ZERO,
        }
    }

    /// Records that a sender sent its periodic report.
    pub fn record_report(&mut self, now: MonoTime, sender: &Sender) {
        self.decay(now);
        self.report_count += 1.0;
        self.reported_at.insert(sender.clone(), now);
    }

    /// Records requests for an owner's keys that arrived at a sender, whether sent or refused.
    pub fn record_requests(&mut self, now: MonoTime, owner: &Owner, count: u32) {
        self.load(now, owner).requested += f64::from(count);
    }

    /// Records what a sender observed of an owner's answers.
    pub fn record_answers(&mut self, now: MonoTime, owner: &Owner, answers: ObservedAnswers) {
        self.load(now, owner).add_answers(answers);
    }

    /// Returns the owners that are overloaded. `slots` returns what is known of an owner, or `None`
    /// if it gets everything.
    pub fn update(
        &mut self,
        now: MonoTime,
        slots: impl Fn(&Owner) -> Option<OwnerSlots>,
    ) -> BTreeMap<Owner, OwnerOverload> {
        self.decay(now);
        self.reported_at
            .retain(|_, at| now < *at + SENDER_RETENTION);
        let sender_count = u32::try_from(self.reported_at.len()).unwrap_or(u32::MAX);
        let mut overloads = BTreeMap::new();
        if sender_count == 0 || self.report_count <= 0.0 {
            self.fractions.clear();
            return overloads;
        }
        let per_report = f64::from(sender_count) / self.report_count;
        let per_second = per_report / self.report_interval.as_secs_f64();
        for (owner, load) in &mut self.loads {
            load.decay(now);
            let former = self.fractions.get(owner).copied();
            let overload = slots(owner)
                .and_then(|slots| overload(load, slots, per_report, per_second, former));
            if let Some(overload) = overload {
                self.fractions.insert(owner.clone(), overload.fraction);
                overloads.insert(owner.clone(), overload);
            } else {
                self.fractions.remove(owner);
            }
        }
        overloads
    }

    /// Keeps only what is known of these owners.
    pub fn retain(&mut self, is_known: impl Fn(&Owner) -> bool) {
        self.loads.retain(|owner, _| is_known(owner));
        self.fractions.retain(|owner, _| is_known(owner));
    }

    fn load(&mut self, now: MonoTime, owner: &Owner) -> &mut OwnerLoad {
        let load = self.loads.entry(owner.clone()).or_default();
        load.decay(now);
        load
    }

    fn decay(&mut self, now: MonoTime) {
        self.report_count *= decay_factor(now.saturating_sub(self.decayed_at));
        self.decayed_at = now;
    }
}

/// Returns the overload of an owner, if it is overloaded. `former` is the fraction that was in force
/// so far, if it was.
fn overload(
    load: &mut OwnerLoad,
    slots: OwnerSlots,
    per_report: f64,
    per_second: f64,
    former: Option<f64>,
) -> Option<OwnerOverload> {
    let slot_count = f64::from(slots.slots.max(1));
    let demand_per_s = load.requested * per_second;
    let capacity_per_s = estimate_capacity(load, slot_count, per_second)?;
    let begin_or_end = if former.is_some() {
        END_DEMAND
    } else {
        BEGIN_DEMAND
    };
    if demand_per_s < begin_or_end * capacity_per_s {
        return None;
    }
    // By Little's law, a server answers this many requests within that part of the target.
    let wanted = capacity_per_s * slots.latency_target.as_secs_f64() * FILL_FRACTION;
    let wanted = wanted.max(slot_count + MIN_WAITING);
    let reported = load.in_flight * per_report;
    let sent_per_s = former.unwrap_or(1.0) * demand_per_s;
    let predicted = reported + (sent_per_s - capacity_per_s) * EFFECT_DELAY_S;
    let most = reported.max(MAX_PREDICTED_FILL * wanted);
    let missing = wanted - predicted.clamp(0.0, most);
    let time_s = if missing < 0.0 {
        DRAIN_TIME_S
    } else {
        REFILL_TIME_S
    };
    let fraction = (capacity_per_s + missing / time_s) / demand_per_s;
    (fraction < 1.0).then(|| OwnerOverload {
        fraction: fraction.max(MIN_FRACTION),
        demand_per_s,
        capacity_per_s,
    })
}

/// Returns the estimate of what a server can answer in a second, after the latest reports; `None`
/// if it has never answered.
fn estimate_capacity(load: &mut OwnerLoad, slot_count: f64, per_second: f64) -> Option<f64> {
    // By Little's law, the number of answered requests that were at the server at once.
    let present = load.answer_seconds * per_second;
    if load.answered > 0.0 && present > 0.0 {
        let answered_per_s = load.answered * per_second;
        let sample = answered_per_s * slot_count / present.min(slot_count);
        let estimate = load.capacity_per_s.get_or_insert(sample);
        let weight = CAPACITY_SAMPLE_WEIGHT * load.answered.min(1.0);
        *estimate += weight * (sample - *estimate);
    }
    load.capacity_per_s
}
