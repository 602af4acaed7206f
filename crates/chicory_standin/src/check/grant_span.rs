//! Time spans in which a backend server held a contiguous run of slots.

use std::collections::BTreeMap;

use crate::history::{HistoryEvent, HistoryRecord};

/// A time span in which a backend server held a contiguous run of slots.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantSpan {
    /// The server.
    pub server: String,
    /// The service.
    pub service: String,
    /// First slot.
    pub first: u16,
    /// Last slot, included.
    pub last: u16,
    /// Time of the grant.
    pub start_ns: u64,
    /// Time at which the grant ended.
    pub end_ns: u64,
}

/// Collects the grant spans from records sorted by time, and returns them sorted by start.
///
/// A span ends when the grant is revoked, when the server's lease ends, or when the server starts
/// again.
#[must_use]
pub fn collect_grant_spans(records: &[HistoryRecord]) -> Vec<GrantSpan> {
    let mut holders: BTreeMap<&str, Holder> = BTreeMap::new();
    let mut spans = Vec::new();
    for record in records {
        let holder = holders.entry(&record.who).or_default();
        match record.event {
            HistoryEvent::Renewed => holder.lease_end_ns = record.lease_end_ns.unwrap_or_default(),
            HistoryEvent::Grant => holder.open.push(open_span(record)),
            HistoryEvent::Revoke => holder.revoke(record, &mut spans),
            HistoryEvent::GrantExpired => holder.close_all(u64::MAX, &mut spans),
            HistoryEvent::ServerStarted => holder.close_all(record.mono_ns, &mut spans),
            _ => {}
        }
    }
    for holder in holders.values_mut() {
        holder.close_all(u64::MAX, &mut spans);
    }
    spans.sort_by_key(|span| span.start_ns);
    spans
}

#[derive(Debug, Default)]
struct Holder {
    lease_end_ns: u64,
    open: Vec<GrantSpan>,
}

impl Holder {
    fn revoke(&mut self, record: &HistoryRecord, spans: &mut Vec<GrantSpan>) {
        let (first, last) = slot_bounds(record);
        let is_revoked = |span: &GrantSpan| span.first == first && span.last == last;
        let lease_end_ns = self.lease_end_ns;
        let revoked = self.open.extract_if(.., |span| is_revoked(span));
        spans.extend(revoked.map(|span| close(span, record.mono_ns, lease_end_ns)));
    }

    fn close_all(&mut self, at_ns: u64, spans: &mut Vec<GrantSpan>) {
        let lease_end_ns = self.lease_end_ns;
        let open = self.open.drain(..);
        spans.extend(open.map(|span| close(span, at_ns, lease_end_ns)));
    }
}

fn close(span: GrantSpan, at_ns: u64, lease_end_ns: u64) -> GrantSpan {
    GrantSpan {
        end_ns: at_ns.min(lease_end_ns),
        ..span
    }
}

fn open_span(record: &HistoryRecord) -> GrantSpan {
    let (first, last) = slot_bounds(record);
    GrantSpan {
        server: record.who.clone(),
        service: record.service.clone().unwrap_or_default(),
        first,
        last,
        start_ns: record.mono_ns,
        end_ns: record.mono_ns,
    }
}

fn slot_bounds(record: &HistoryRecord) -> (u16, u16) {
    let first = record.first_slot.unwrap_or_default();
    (first, record.last_slot.unwrap_or(first))
}
