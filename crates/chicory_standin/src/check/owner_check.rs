//! Checks that no two servers run one key at the same time, and that fencing tokens never decrease.

use std::collections::{BTreeMap, BTreeSet};

use chicory_types::{FencingToken, slot_of_key};

use super::{Run, Violation};

/// Finds keys of keyed services that two servers ran at the same time.
pub fn find_overlapping_runs(runs: &[Run], keyed: &BTreeSet<String>) -> Vec<Violation> {
    let mut open_by_key: BTreeMap<(&str, &str), Vec<&Run>> = BTreeMap::new();
    let mut violations = Vec::new();
    for run in runs.iter().filter(|run| keyed.contains(&run.service)) {
        let Some(key) = &run.key else { continue };
        let open = open_by_key.entry((&run.service, key)).or_default();
        open.retain(|earlier| earlier.end_ns > run.start_ns);
        let other = open.iter().find(|earlier| earlier.server != run.server);
        violations.extend(other.map(|other| overlapping_runs(other, run, key)));
        open.push(run);
    }
    violations
}

fn overlapping_runs(first: &Run, second: &Run, key: &str) -> Violation {
    Violation::TwoOwnersRan {
        service: second.service.clone(),
        key: key.to_owned(),
        first: first.server.clone(),
        second: second.server.clone(),
        at_ns: second.start_ns,
    }
}

/// Finds runs with a lower fencing token than an earlier run on the same slot.
pub fn find_token_regressions(runs: &[Run]) -> Vec<Violation> {
    let mut greatest: BTreeMap<(&str, u16), FencingToken> = BTreeMap::new();
    let mut violations = Vec::new();
    for run in runs {
        let token = run.token.as_deref().and_then(FencingToken::parse);
        let (Some(key), Some(token)) = (&run.key, token) else {
            continue;
        };
        let known = greatest
            .entry((&run.service, slot_of_key(key)))
            .or_insert(token);
        if token < *known {
            violations.push(Violation::TokenWentBack {
                service: run.service.clone(),
                key: key.clone(),
                token: token.to_string(),
                greatest: known.to_string(),
            });
        }
        *known = token.max(*known);
    }
    violations
}
