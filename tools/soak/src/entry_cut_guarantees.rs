//! The guarantee that entry VMs without a path to backend servers serve their callers.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::disturbances::{Cut, Disturbances};

/// Time after the begin of a cut from which callers are served again. It is part of the operators'
/// requirements, as are the following bounds.
const REACTION_TIME: Duration = Duration::from_secs(3);
/// Least share of served first tries at entry VMs that are cut off, compared with the others.
const LEAST_SHARE: f64 = 2.0 / 3.0;
/// First tries that may fail in any case: this number, and this share of all.
const ALLOWED_FAILURES: (f64, f64) = (10.0, 1.0 / 50.0);

/// Part of the description of a violation by which it is recognized.
pub(crate) const WITHOUT_PATH: &str = "have no path to servers and serve";

/// A caller's first try to have a request served.
#[derive(Clone, Copy, Debug)]
pub struct FirstTry {
    /// Entry VM that it was sent to.
    pub entry: SocketAddr,
    /// Time at which it was sent.
    pub sent_at: Instant,
    /// Time at which it was answered or given up.
    pub ended_at: Instant,
    /// Whether the answer was the wanted one.
    pub is_served: bool,
}

/// Numbers of first tries.
#[derive(Clone, Copy, Debug, Default)]
struct Tries {
    all: u32,
    served: u32,
}

impl Tries {
    fn count(&mut self, is_served: bool) {
        self.all += 1;
        self.served += u32::from(is_served);
    }

    fn served_share(self) -> f64 {
        f64::from(self.served) / f64::from(self.all)
    }
}

/// Checks that entry VMs which are cut off from all backend servers serve their callers.
#[derive(Debug, Default)]
pub struct EntryCutGuarantees {
    first_tries: Vec<FirstTry>,
}

impl EntryCutGuarantees {
    /// Records a first try that has ended.
    pub fn record_try(&mut self, first_try: FirstTry) {
        self.first_tries.push(first_try);
    }

    /// Checks the first tries during a cut that has ended. Those at entry VMs that something else
    /// disturbed are left out. Returns a violation.
    #[must_use]
    pub fn check_cut(&self, cut: &Cut, disturbances: &Disturbances) -> Option<String> {
        let mut cut_off = Tries::default();
        let mut others = Tries::default();
        for first_try in &self.first_tries {
            let FirstTry {
                entry,
                sent_at,
                ended_at,
                is_served,
            } = *first_try;
            let is_in_cut = sent_at >= cut.begin + REACTION_TIME && sent_at <= cut.end;
            if !is_in_cut || !disturbances.only_cut_between(cut, entry, sent_at, ended_at) {
                continue;
            }
            if cut.entries.contains(&entry) {
                cut_off.count(is_served);
            } else {
                others.count(is_served);
            }
        }
        let (number, share) = ALLOWED_FAILURES;
        let failed = f64::from(cut_off.all - cut_off.served);
        if others.all == 0 || failed <= number + share * f64::from(cut_off.all) {
            return None;
        }
        let is_kept = cut_off.served_share() >= LEAST_SHARE * others.served_share();
        (!is_kept).then(|| {
            format!(
                "{:?} {WITHOUT_PATH} {} of {} first tries, the others {} of {}",
                cut.entries, cut_off.served, cut_off.all, others.served, others.all
            )
        })
    }
}
