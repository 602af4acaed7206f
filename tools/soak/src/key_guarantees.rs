//! The guarantee that each key has one owner at a time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use platform_stand_ins::HeldGrant;

/// Time after a paused process resumes, or a cut ends, in which grants may overlap. It is part of
/// the operators' requirements.
const RESUME_SLACK: Duration = Duration::from_millis(300);
/// Longest time for which two servers may hold a key, whatever happens. It is part of the
/// operators' requirements.
const SHARED_LIMIT: Duration = Duration::from_millis(500);
/// Number of keys.
const KEYS: usize = 65_536;

#[derive(Clone, Copy, Debug)]
struct HeldKey {
    /// Index of the server's incarnation.
    incarnation: u32,
    until: Instant,
    fence: u64,
}

/// The greatest fence under which a key was granted, and the greatest of the other incarnations.
#[derive(Clone, Copy, Debug, Default)]
struct GreatestFences {
    fence: u64,
    holder: Option<u32>,
    others: (u64, Option<u32>),
}

impl GreatestFences {
    /// Returns the greatest fence under which incarnations other than this one had the key, and
    /// the one that had it.
    fn of_others(&self, incarnation: u32) -> Option<(u64, u32)> {
        let (fence, holder) = if self.holder == Some(incarnation) {
            self.others
        } else {
            (self.fence, self.holder)
        };
        holder.map(|holder| (fence, holder))
    }

    fn record(&mut self, incarnation: u32, fence: u64) {
        if self.holder == Some(incarnation) {
            self.fence = self.fence.max(fence);
        } else if fence > self.fence {
            self.others = (self.fence, self.holder);
            (self.fence, self.holder) = (fence, Some(incarnation));
        } else if fence > self.others.0 {
            self.others = (fence, Some(incarnation));
        }
    }
}

/// A key that several servers hold.
#[derive(Debug)]
struct SharedKey {
    since: Instant,
    /// Incarnations that began requests on the key meanwhile.
    begun_by: BTreeSet<u32>,
    is_reported: bool,
}

/// Checks that each key has one owner at a time, by the grants that backend servers receive.
#[derive(Debug)]
pub struct KeyGuarantees {
    incarnations: Vec<String>,
    ended: BTreeSet<u32>,
    /// Grants of each key, one for each incarnation at most, which may have ended.
    held_keys: Vec<Vec<HeldKey>>,
    greatest_fences: Vec<GreatestFences>,
    shared_keys: BTreeMap<u16, SharedKey>,
    resumed_at: Option<Instant>,
}

impl Default for KeyGuarantees {
    fn default() -> Self {
        Self {
            incarnations: Vec::new(),
            ended: BTreeSet::new(),
            held_keys: vec![Vec::new(); KEYS],
            greatest_fences: vec![GreatestFences::default(); KEYS],
            shared_keys: BTreeMap::new(),
            resumed_at: None,
        }
    }
}

impl KeyGuarantees {
    /// Records that a paused process resumes, or that a cut ends.
    pub fn record_resume(&mut self) {
        self.resumed_at = Some(Instant::now());
    }

    /// Records a grant to a server. Returns a violation if the grant overlaps another one, or its
    /// fence is not greater than those of all other owners, former ones included.
    pub fn record_grant(&mut self, server: &str, grant: HeldGrant) -> Option<String> {
        let now = Instant::now();
        let incarnation = self.incarnation(server);
        let mut low_fence = None;
        let mut overlap = None;
        for key in grant.first..=grant.last {
            low_fence = low_fence.or_else(|| self.low_fence(key, incarnation, grant.fence));
            self.remove_ended(key, now);
            let holders = &mut self.held_keys[usize::from(key)];
            holders.retain(|held| held.incarnation != incarnation);
            if let Some(held) = holders.first() {
                overlap.get_or_insert((key, *held));
                self.shared_keys.entry(key).or_insert(SharedKey {
                    since: now,
                    begun_by: BTreeSet::new(),
                    is_reported: false,
                });
            }
            holders.push(HeldKey {
                incarnation,
                until: grant.expires_at,
                fence: grant.fence,
            });
            self.greatest_fences[usize::from(key)].record(incarnation, grant.fence);
        }
        let fence = grant.fence;
        if let Some((key, other_fence, other)) = low_fence {
            let former = self.name(other);
            return Some(format!(
                "{server} gets key {key} with fence {fence}, but {former} had it with {other_fence}"
            ));
        }
        let has_just_resumed = self.resumed_at.is_some_and(|at| now < at + RESUME_SLACK);
        let (key, held) = overlap.filter(|_| !has_just_resumed)?;
        let other = self.name(held.incarnation);
        let left = held.until.saturating_duration_since(now);
        Some(format!(
            "{server} gets key {key} with fence {fence}, but {other} holds it with {} for another \
             {left:?}",
            held.fence
        ))
    }

    /// Returns the key, with the fence and the incarnation of another owner, unless `fence` is
    /// greater than those of all others or renews what the incarnation already holds.
    fn low_fence(&self, key: u16, incarnation: u32, fence: u64) -> Option<(u16, u64, u32)> {
        let index = usize::from(key);
        let is_renewal = self.held_keys[index]
            .iter()
            .any(|held| held.incarnation == incarnation && held.fence == fence);
        let (other_fence, other) = self.greatest_fences[index].of_others(incarnation)?;
        (other_fence >= fence && !is_renewal).then_some((key, other_fence, other))
    }

    /// Records that a server begins a request on a key. Returns a violation if another one has
    /// begun a request on it while both hold it.
    pub fn record_request(&mut self, server: &str, key: u16) -> Option<String> {
        let incarnation = self.incarnation(server);
        let now = Instant::now();
        if !self.is_shared(key, now) {
            return None;
        }
        let shared = self.shared_keys.get_mut(&key)?;
        let is_first = shared.begun_by.insert(incarnation);
        let other = shared.begun_by.iter().find(|other| **other != incarnation);
        let other = other.copied().filter(|_| is_first)?;
        let other = self.name(other);
        Some(format!(
            "{server} begins a request on key {key}, as {other} did, and both hold it"
        ))
    }

    /// Returns a violation if two servers have held the same keys for too long. It names the first
    /// of the keys that no earlier violation has covered.
    pub fn check_held_keys(&mut self) -> Option<String> {
        let now = Instant::now();
        let keys: Vec<u16> = self.shared_keys.keys().copied().collect();
        let mut long_shared = Vec::new();
        for key in keys {
            if !self.is_shared(key, now) {
                continue;
            }
            if let Some(shared) = self.shared_keys.get_mut(&key)
                && now > shared.since + SHARED_LIMIT
                && !std::mem::replace(&mut shared.is_reported, true)
            {
                long_shared.push((key, now.saturating_duration_since(shared.since)));
            }
        }
        let (key, shared_for) = long_shared.first()?;
        let holders = self.held_keys[usize::from(*key)].iter();
        let holders: Vec<&str> = holders.map(|held| self.name(held.incarnation)).collect();
        let count = long_shared.len();
        Some(format!(
            "{holders:?} have held key {key} for {shared_for:?} at the same time ({count} keys)"
        ))
    }

    /// Records that a server released keys.
    pub fn record_release(&mut self, server: &str, first: u16, last: u16) {
        let incarnation = self.incarnation(server);
        for key in first..=last {
            self.held_keys[usize::from(key)].retain(|held| held.incarnation != incarnation);
        }
    }

    /// Returns whether several running servers hold a key, and forgets that they did otherwise.
    fn is_shared(&mut self, key: u16, now: Instant) -> bool {
        if !self.shared_keys.contains_key(&key) {
            return false;
        }
        self.remove_ended(key, now);
        let is_shared = self.held_keys[usize::from(key)].len() > 1;
        if !is_shared {
            self.shared_keys.remove(&key);
        }
        is_shared
    }

    /// Removes the grants of a key that have expired, or whose servers have ended.
    fn remove_ended(&mut self, key: u16, now: Instant) {
        let ended = &self.ended;
        self.held_keys[usize::from(key)]
            .retain(|held| now < held.until && !ended.contains(&held.incarnation));
    }

    fn name(&self, incarnation: u32) -> &str {
        &self.incarnations[incarnation as usize]
    }

    /// Records that the process of a server has ended, so that its grants no longer matter.
    pub fn record_end(&mut self, server: &str) {
        let incarnation = self.incarnation(server);
        self.ended.insert(incarnation);
    }

    fn incarnation(&mut self, server: &str) -> u32 {
        let known = self
            .incarnations
            .iter()
            .position(|incarnation| incarnation == server);
        let index = known.unwrap_or_else(|| {
            self.incarnations.push(server.to_owned());
            self.incarnations.len() - 1
        });
        u32::try_from(index).unwrap_or(u32::MAX)
    }
}
