//! Checks that no slot is granted to two servers at once.

use std::collections::BTreeMap;

use super::Violation;
use super::grant_span::GrantSpan;

/// Finds slots that two servers held at the same time.
pub fn find_overlapping_grants(spans: &[GrantSpan]) -> Vec<Violation> {
    let mut open_by_service: BTreeMap<&str, Vec<&GrantSpan>> = BTreeMap::new();
    let mut violations = Vec::new();
    for span in spans {
        let open = open_by_service.entry(&span.service).or_default();
        open.retain(|earlier| earlier.end_ns > span.start_ns);
        let other = open.iter().find(|earlier| conflicts(earlier, span));
        violations.extend(other.map(|other| overlapping_grants(other, span)));
        open.push(span);
    }
    violations
}

fn conflicts(one: &GrantSpan, other: &GrantSpan) -> bool {
    one.server != other.server && one.first <= other.last && other.first <= one.last
}

fn overlapping_grants(first: &GrantSpan, second: &GrantSpan) -> Violation {
    Violation::TwoOwnersGranted {
        service: second.service.clone(),
        slot: first.first.max(second.first),
        first: first.server.clone(),
        second: second.server.clone(),
        at_ns: second.start_ns,
    }
}
