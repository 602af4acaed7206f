//! Map from runs of slots to values.

use std::collections::BTreeMap;

use chicory_types::{Slot, SlotRun};

/// Map from runs of slots to values, in which neighbouring slots with equal values share one entry.
///
/// Its size grows with the number of runs, not with the number of slots.
///
/// # Examples
///
/// ```
/// use chicory_ownership::RunMap;
/// use chicory_types::SlotRun;
///
/// let mut map = RunMap::default();
/// map.set(SlotRun::new(0, 9), 'a');
/// map.set(SlotRun::new(4, 5), 'b');
/// map.set(SlotRun::new(4, 5), 'a');
/// assert_eq!(map.iter().collect::<Vec<_>>(), [(SlotRun::new(0, 9), &'a')]);
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunMap<T> {
    /// Last slot and value by first slot.
    runs: BTreeMap<Slot, (Slot, T)>,
}

impl<T> Default for RunMap<T> {
    fn default() -> Self {
        Self {
            runs: BTreeMap::new(),
        }
    }
}

impl<T: Clone + PartialEq> RunMap<T> {
    /// Returns the value at `slot`.
    #[must_use]
    pub fn get(&self, slot: Slot) -> Option<&T> {
        let (_, (last, value)) = self.runs.range(..=slot).next_back()?;
        (slot <= *last).then_some(value)
    }

    /// Sets the value of all slots of `run`.
    pub fn set(&mut self, run: SlotRun, value: T) {
        self.clear(run);
        let merged = self.merge_neighbours(run, &value);
        self.runs.insert(merged.first, (merged.last, value));
    }

    /// Removes the values of all slots of `run`.
    pub fn clear(&mut self, run: SlotRun) {
        self.split_before(run.first);
        if let Some(after) = run.last.checked_add(1) {
            self.split_before(after);
        }
        let inside: Vec<Slot> = self
            .runs
            .range(run.first..=run.last)
            .map(|(f, _)| *f)
            .collect();
        for first in inside {
            self.runs.remove(&first);
        }
    }

    /// Iterates over runs and their values, in order of slots.
    pub fn iter(&self) -> impl Iterator<Item = (SlotRun, &T)> {
        let runs = self.runs.iter();
        runs.map(|(first, (last, value))| (SlotRun::new(*first, *last), value))
    }

    /// Iterates over the parts of `run` that have a value, with their values.
    pub fn within(&self, run: SlotRun) -> impl Iterator<Item = (SlotRun, &T)> {
        let before = self.runs.range(..run.first).next_back();
        let inside = self.runs.range(run.first..=run.last);
        before
            .into_iter()
            .chain(inside)
            .filter_map(move |(first, (last, value))| {
                let part = SlotRun::new(run.first.max(*first), run.last.min(*last));
                (part.first <= part.last).then_some((part, value))
            })
    }

    /// Returns the parts of `run` without a value.
    #[must_use]
    pub fn gaps(&self, run: SlotRun) -> Vec<SlotRun> {
        let mut gaps = Vec::new();
        let mut next = u32::from(run.first);
        for (part, _) in self.within(run) {
            push_gap(&mut gaps, next, u32::from(part.first));
            next = u32::from(part.last) + 1;
        }
        push_gap(&mut gaps, next, u32::from(run.last) + 1);
        gaps
    }

    /// Returns the number of runs.
    #[must_use]
    pub fn len(&self) -> usize {
        self.runs.len()
    }

    /// Returns whether no slot has a value.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    fn split_before(&mut self, slot: Slot) {
        let Some((first, (last, value))) = self.runs.range_mut(..slot).next_back() else {
            return;
        };
        if *last < slot {
            return;
        }
        debug_assert!(*first < slot);
        let tail = (*last, value.clone());
        *last = slot - 1;
        self.runs.insert(slot, tail);
    }

    fn merge_neighbours(&mut self, run: SlotRun, value: &T) -> SlotRun {
        let mut merged = run;
        if let Some((first, (last, before))) = self.runs.range(..run.first).next_back()
            && last.checked_add(1) == Some(run.first)
            && before == value
        {
            merged.first = *first;
        }
        if let Some(next) = run.last.checked_add(1)
            && let Some((last, after)) = self.runs.get(&next)
            && after == value
        {
            merged.last = *last;
            self.runs.remove(&next);
        }
        merged
    }
}

fn push_gap(gaps: &mut Vec<SlotRun>, first: u32, end: u32) {
    if first >= end {
        return;
    }
    let to_slot = |at: u32| Slot::try_from(at).unwrap_or(Slot::MAX);
    gaps.push(SlotRun::new(to_slot(first), to_slot(end - 1)));
}
