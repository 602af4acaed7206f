//! Times for which servers asked not to be sent anything.

use std::collections::BTreeMap;
use std::time::Duration;

use chicory_types::MonoTime;

/// Time after a rest within which a server that asks again still has the cause of the former one.
const CONTINUATION_TIME: Duration = Duration::from_secs(1);
/// Time for which a rest is remembered after its end.
const RETENTION: Duration = Duration::from_secs(5);

/// A time for which a server asked not to be sent anything.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rest {
    /// When the server first asked for it, or for the one directly before.
    pub since: MonoTime,
    /// When it ends.
    pub until: MonoTime,
}

/// Times for which servers asked not to be sent anything.
///
/// Each sender has its own: a server asks the senders one by one. A rest is extended by a later
/// answer that asks for more, and not shortened by one that asks for less, as the earlier answer
/// still binds.
///
/// # Examples
///
/// ```
/// use chicory_policy::Rests;
/// use std::time::Duration;
///
/// let mut rests = Rests::default();
/// let now = Duration::from_secs(5);
/// assert!(rests.record(now, &"server", Duration::from_secs(3)));
/// assert!(rests.rest(Duration::from_secs(7), &"server").is_some());
/// assert!(rests.rest(Duration::from_secs(8), &"server").is_none());
/// ```
#[derive(Clone, Debug)]
pub struct Rests<Server> {
    rests: BTreeMap<Server, Rest>,
}

impl<Server> Default for Rests<Server> {
    fn default() -> Self {
        Self {
            rests: BTreeMap::new(),
        }
    }
}

impl<Server: Ord + Clone> Rests<Server> {
    /// Records that a server asked for rest. Returns whether it was not resting before.
    pub fn record(&mut self, now: MonoTime, server: &Server, duration: Duration) -> bool {
        let until = now + duration;
        let Some(rest) = self.rests.get_mut(server) else {
            self.rests
                .insert(server.clone(), Rest { since: now, until });
            return true;
        };
        let has_ended = now >= rest.until;
        if now >= rest.until + CONTINUATION_TIME {
            rest.since = now;
        }
        rest.until = rest.until.max(until);
        has_ended
    }

    /// Returns the rest of a server, if it rests now.
    #[must_use]
    pub fn rest(&self, now: MonoTime, server: &Server) -> Option<Rest> {
        let rest = self.rests.get(server)?;
        (now < rest.until).then_some(*rest)
    }

    /// Returns all servers that rest or have rested recently.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.rests.keys()
    }

    /// Whether a server rests or has rested recently.
    #[must_use]
    pub fn has_rested_recently(&self, server: &Server) -> bool {
        self.rests.contains_key(server)
    }

    /// Keeps only recent rests of servers that are still known.
    pub fn retain(&mut self, now: MonoTime, is_known: impl Fn(&Server) -> bool) {
        self.rests
            .retain(|server, rest| now < rest.until + RETENTION && is_known(server));
    }
}
