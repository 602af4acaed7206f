//! Exhaustive exploration of the model up to its bounds.

use std::collections::{BTreeMap, BTreeSet};

use super::{Action, Bounds, Violation, World};

/// Position of a step among all steps that led to a new state.
type StepIndex = usize;

/// A step to a new state, and the one before it.
struct ExploredStep {
    previous: Option<StepIndex>,
    action: Action,
}

/// Explores all interleavings breadth-first, and returns a shortest one that leads to each kind of
/// violation.
pub fn explore(bounds: &Bounds) -> BTreeMap<Violation, Vec<String>> {
    let start = World::settled(bounds);
    let mut visited = BTreeSet::from([start.fingerprint()]);
    let mut steps = Vec::new();
    let mut violations = BTreeMap::new();
    let mut frontier = vec![(None, start.clone())];
    for _ in 0..bounds.step_count {
        for (previous, world) in std::mem::take(&mut frontier) {
            for action in world.possible_actions() {
                let mut next = world.clone();
                next.run(action);
                if !visited.insert(next.fingerprint()) {
                    continue;
                }
                steps.push(ExploredStep { previous, action });
                let last = steps.len() - 1;
                if let Some(violation) = next.violation() {
                    let interleaving = violations.entry(violation);
                    interleaving.or_insert_with(|| in_words(start.clone(), &steps, last));
                    if violations.len() == Violation::COUNT {
                        return violations;
                    }
                }
                // A used fence is what leads to two holders.
                frontier.push((Some(last), next));
            }
        }
    }
    violations
}

/// Returns the steps up to one of them in words.
fn in_words(mut world: World, steps: &[ExploredStep], last: StepIndex) -> Vec<String> {
    let path = std::iter::successors(Some(last), |index| steps[*index].previous);
    let mut actions: Vec<_> = path.map(|index| steps[index].action).collect();
    actions.reverse();
    let lines = actions.into_iter().map(|action| {
        let line = world.describe(action);
        world.run(action);
        line
    });
    lines.collect()
}
