//! One owner a key.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use platform_stand_ins::HeldGrant;

/// Time after a process goes on, or a cut ends, in which grants may overlap; stated by the
/// operators.
const THAW_SLACK: Duration = Duration::from_millis(300);
/// Number of keys.
const KEYS: usize = 65_536;

#[derive(Clone, Copy, Debug)]
struct Holding {
    /// Number of the server's life.
    life: u32,
    until: Instant,
    fence: u64,
}

/// Who holds which key, as backend servers see it.
#[derive(Debug)]
pub struct KeyPromises {
    lives: Vec<String>,
    ended: BTreeSet<u32>,
    holdings: Vec<Option<Holding>>,
    /// Greatest fence that each key was held under, and by which life.
    greatest: Vec<(u64, u32)>,
    thawed_at: Option<Instant>,
}

impl Default for KeyPromises {
    fn default() -> Self {
        Self {
            lives: Vec::new(),
            ended: BTreeSet::new(),
            holdings: vec![None; KEYS],
            greatest: vec![(0, u32::MAX); KEYS],
            thawed_at: None,
        }
    }
}

impl KeyPromises {
    /// A process goes on, or a cut ends.
    pub fn note_thaw(&mut self) {
        self.thawed_at = Some(Instant::now());
    }

    /// Takes in a grant; what it breaks, if anything.
    pub fn granted(&mut self, server: &str, grant: HeldGrant) -> Option<String> {
        let now = Instant::now();
        let life = self.life(server);
        let mut broken = None;
        for key in grant.first..=grant.last {
            let place = usize::from(key);
            let (fence, fenced_life) = self.greatest[place];
            if fence >= grant.fence && fenced_life != life {
                broken.get_or_insert_with(|| {
                    let former = &self.lives[fenced_life as usize];
                    format!(
                        "{server} takes key {key} with fence {}, {former} had it with {fence}",
                        grant.fence
                    )
                });
            }
            let held = self.holdings[place].filter(|held| {
                held.life != life && now < held.until && !self.ended.contains(&held.life)
            });
            if let Some(held) = held {
                broken.get_or_insert_with(|| {
                    let other = &self.lives[held.life as usize];
                    let left = held.until.saturating_duration_since(now);
                    format!(
                        "{server} takes key {key} with fence {}, {other} holds it with {} for {left:?} more",
                        grant.fence, held.fence
                    )
                });
            }
            self.holdings[place] = Some(Holding {
                life,
                until: grant.expires_at,
                fence: grant.fence,
            });
            if grant.fence > fence {
                self.greatest[place] = (grant.fence, life);
            }
        }
        let has_just_thawed = self.thawed_at.is_some_and(|at| now < at + THAW_SLACK);
        broken.filter(|_| !has_just_thawed)
    }

    /// Takes in that a server gave keys up.
    pub fn released(&mut self, server: &str, first: u16, last: u16) {
        let life = self.life(server);
        for key in first..=last {
            let holding = &mut self.holdings[usize::from(key)];
            if holding.is_some_and(|held| held.life == life) {
                *holding = None;
            }
        }
    }

    /// Takes in that the process of a server has ended.
    pub fn ended(&mut self, server: &str) {
        let life = self.life(server);
        self.ended.insert(life);
    }

    fn life(&mut self, server: &str) -> u32 {
        let known = self.lives.iter().position(|life| life == server);
        let index = known.unwrap_or_else(|| {
            self.lives.push(server.to_owned());
            self.lives.len() - 1
        });
        u32::try_from(index).unwrap_or(u32::MAX)
    }
}
