//! The guarantee that each key has one owner at a time.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use platform_stand_ins::HeldGrant;

/// Time after a paused process resumes, or a cut ends, in which grants may overlap. It is part of
/// the operators' requirements.
const RESUME_SLACK: Duration = Duration::from_millis(300);
/// Number of keys.
const KEYS: usize = 65_536;

#[derive(Clone, Copy, Debug)]
struct HeldKey {
    /// Index of the server's incarnation.
    incarnation: u32,
    until: Instant,
    fence: u64,
}

/// Checks that each key has one owner at a time, by the grants that backend servers receive.
#[derive(Debug)]
pub struct KeyGuarantees {
    incarnations: Vec<String>,
    ended: BTreeSet<u32>,
    held_keys: Vec<Option<HeldKey>>,
    /// The greatest fence under which each key was granted, and the index of the incarnation that
    /// got it.
    greatest_fences: Vec<(u64, u32)>,
    resumed_at: Option<Instant>,
}

impl Default for KeyGuarantees {
    fn default() -> Self {
        Self {
            incarnations: Vec::new(),
            ended: BTreeSet::new(),
            held_keys: vec![None; KEYS],
            greatest_fences: vec![(0, u32::MAX); KEYS],
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
    /// fence is not greater than that of an earlier owner.
    pub fn record_grant(&mut self, server: &str, grant: HeldGrant) -> Option<String> {
        let now = Instant::now();
        let incarnation = self.incarnation(server);
        let mut violation = None;
        for key in grant.first..=grant.last {
            let key_index = usize::from(key);
            let (fence, fence_holder) = self.greatest_fences[key_index];
            if fence >= grant.fence && fence_holder != incarnation {
                violation.get_or_insert_with(|| {
                    let former = &self.incarnations[fence_holder as usize];
                    format!(
                        "{server} gets key {key} with fence {}, but {former} had it with {fence}",
                        grant.fence
                    )
                });
            }
            let held = self.held_keys[key_index].filter(|held| {
                held.incarnation != incarnation
                    && now < held.until
                    && !self.ended.contains(&held.incarnation)
            });
            if let Some(held) = held {
                violation.get_or_insert_with(|| {
                    let other = &self.incarnations[held.incarnation as usize];
                    let left = held.until.saturating_duration_since(now);
                    format!(
                        "{server} gets key {key} with fence {}, but {other} holds it with {} for \
                         another {left:?}",
                        grant.fence, held.fence
                    )
                });
            }
            self.held_keys[key_index] = Some(HeldKey {
                incarnation,
                until: grant.expires_at,
                fence: grant.fence,
            });
            if grant.fence > fence {
                self.greatest_fences[key_index] = (grant.fence, incarnation);
            }
        }
        let has_just_resumed = self.resumed_at.is_some_and(|at| now < at + RESUME_SLACK);
        violation.filter(|_| !has_just_resumed)
    }

    /// Records that a server released keys.
    pub fn record_release(&mut self, server: &str, first: u16, last: u16) {
        let incarnation = self.incarnation(server);
        for key in first..=last {
            let held_key = &mut self.held_keys[usize::from(key)];
            if held_key.is_some_and(|held| held.incarnation == incarnation) {
                *held_key = None;
            }
        }
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
