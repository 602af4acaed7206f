//! Splits slots into even shares.

use chicory_types::SlotRun;

/// Splits runs into shares of nearly equal size, one for each of `parts`, in order of slots.
///
/// Each share is as contiguous as the given runs, which keeps the number of runs small.
#[must_use]
pub fn split_evenly<T: Clone>(runs: &[SlotRun], parts: &[T]) -> Vec<(T, Vec<SlotRun>)> {
    let slots: Vec<u16> = runs.iter().flat_map(|run| run.slots()).collect();
    let mut shares = Vec::new();
    let mut taken = 0;
    for (rank, part) in parts.iter().enumerate() {
        let end = slots.len() * (rank + 1) / parts.len();
        let share = SlotRun::from_slots(slots[taken..end].iter().copied());
        taken = end;
        shares.push((part.clone(), share));
    }
    shares
}
