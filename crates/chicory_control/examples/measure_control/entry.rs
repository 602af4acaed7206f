//! A simulated entry process, which renews its lease and reports on its backend servers.

use std::collections::BTreeMap;
use std::time::Duration;

use chicory_ownership::{
    EntryRecord, RenewRequest, ServerCondition, ServerRecord, ServerReport, SlotHeat, ViewChange,
    ViewUpdate,
};
use chicory_types::{MonoTime, ServerId};

use super::{REPORT_INTERVAL, SERVICES, Size, ZONE};

pub struct Entry {
    pub record: EntryRecord,
    pub view: u64,
    pub next_renewal: MonoTime,
    pub next_report: MonoTime,
    pub servers: BTreeMap<ServerId, u64>,
    pub unannounced: Vec<ServerRecord>,
    pub bytes: usize,
}

impl Entry {
    pub fn new(n: usize, size: Size) -> Self {
        let own_servers = (0..size.servers).filter(|server| server % size.entries == n);
        let unannounced = own_servers.map(server_record).collect();
        let offset = u64::try_from(n).unwrap_or(0) * 7 % 400;
        Self {
            record: EntryRecord {
                vm: format!("entry-{n}"),
                incarnation: 1,
                peer_address: format!("10.0.0.{n}:7100"),
                announce_address: format!("10.0.0.{n}:7101"),
            },
            view: 0,
            next_renewal: Duration::from_millis(offset),
            next_report: Duration::ZERO,
            servers: BTreeMap::new(),
            unannounced,
            bytes: 0,
        }
    }

    pub fn request(&mut self, now: MonoTime) -> RenewRequest {
        let is_report_due = now >= self.next_report;
        if is_report_due {
            self.next_report = now + REPORT_INTERVAL;
        }
        let reports = self.servers.keys().map(|server| ServerReport {
            server: server.clone(),
            incarnation: 1,
            condition: ServerCondition::Up,
            requests: 1_000,
            hottest_slots: (0..RenewRequest::MAX_REPORTED_SLOTS)
                .map(|n| SlotHeat {
                    slot: u16::try_from(n * 500).unwrap_or(0),
                    requests: 30,
                })
                .collect(),
        });
        let reports = reports.filter(|_| is_report_due).collect();
        let is_first = self.view == 0;
        RenewRequest {
            entry: if is_first {
                self.record.clone()
            } else {
                self.record.without_addresses()
            },
            known_view: self.view,
            stopping: false,
            announcements: if is_first {
                Vec::new()
            } else {
                std::mem::take(&mut self.unannounced)
            },
            released: Vec::new(),
            resigned: Vec::new(),
            reports,
        }
    }

    pub fn apply(&mut self, update: ViewUpdate) {
        self.view = update.version;
        for change in update.changes {
            if let ViewChange::DispatcherAssigned { server, vm, epoch } = change {
                if vm.as_ref() == Some(&self.record.vm) {
                    self.servers.insert(server, epoch);
                } else {
                    self.servers.remove(&server);
                }
            }
        }
    }
}

fn server_record(n: usize) -> ServerRecord {
    ServerRecord {
        server: format!("server-{n}"),
        service: format!("service-{}", n % SERVICES),
        address: format!("10.1.0.{n}:80"),
        zone: ZONE.to_owned(),
        slots: 3,
        connections: 100,
        incarnation: 1,
        checks_grants: true,
        draining: false,
    }
}
