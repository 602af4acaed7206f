//! No slot is granted to two servers at once.

use std::collections::BTreeMap;

use super::Violation;
use super::grant_span::GrantSpan;

/// Finds slots that two servers held at the same time.
pub fn find_two_holders(spans: &[GrantSpan]) -> Vec<Violation> {
    let mut held: BTreeMap<&str, Vec<&GrantSpan>> = BTreeMap::new();
    let mut violations = Vec::new();
    for span in spans {
        let open = held.entry(&span.service).or_default();
        open.retain(|earlier| earlier.end_ns > span.start_ns);
        let other = open.iter().find(|earlier| is_conflict(earlier, span));
        violations.extend(other.map(|other| two_holders(other, span)));
        open.push(span);
    }
    violations
}

fn is_conflict(one: &GrantSpan, other: &GrantSpan) -> bool {
    one.server != other.server && one.first <= other.last && other.first <= one.last
}

fn two_holders(first: &GrantSpan, second: &GrantSpan) -> Violation {
    Violation::TwoOwnersGranted {
        service: second.service.clone(),
        slot: first.first.max(second.first),
        first: first.server.clone(),
        second: second.server.clone(),
        at_ns: second.start_ns,
    }
}
