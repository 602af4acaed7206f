//! The reducer of the request path.

use chicory_ownership::RenewAnswer;
use chicory_types::MonoTime;

use crate::{
    Counters, Directory, Effect, Event, Outcome, Refusal, RefusalReason, RequestPathConfig,
};

/// The reducer of the request path: every event goes in, effects come out.
pub struct RequestPath {
    config: RequestPathConfig,
    directory: Directory,
    counters: Counters,
    next_renewal_at: MonoTime,
}

impl RequestPath {
    /// Creates a request path without a lease and without a view.
    #[must_use]
    pub fn new(config: RequestPathConfig, now: MonoTime) -> Self {
        Self {
            config,
            directory: Directory::default(),
            counters: Counters::default(),
            next_renewal_at: now,
        }
    }

    /// Takes an event and returns what is to be done, in order.
    pub fn reduce(&mut self, now: MonoTime, event: Event) -> Vec<Effect> {
        match event {
            Event::RequestArrived(head) => {
                self.counters
                    .count_refusal(RefusalReason::NoLease, Outcome::NotRun);
                vec![Effect::Refuse {
                    request: head.request,
                    refusal: Refusal {
                        outcome: Outcome::NotRun,
                        reason: RefusalReason::NoLease,
                        retry_after: Some(self.config.renew_interval),
                    },
                }]
            }
            Event::RenewAnswered {
                answer: RenewAnswer::Granted { update, .. },
                ..
            } => {
                self.directory.apply(update);
                Vec::new()
            }
            Event::StopRequested => vec![Effect::Stopped],
            _ => {
                self.next_renewal_at = now + self.config.renew_interval;
                Vec::new()
            }
        }
    }

    /// When [`Event::Tick`] has to come at the latest.
    #[must_use]
    pub fn next_wakeup(&self) -> MonoTime {
        self.next_renewal_at
    }

    /// Whether the balancer may send new requests here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        false
    }

    /// The counters.
    #[must_use]
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// The view of the zone.
    #[must_use]
    pub fn directory(&self) -> &Directory {
        &self.directory
    }
}
