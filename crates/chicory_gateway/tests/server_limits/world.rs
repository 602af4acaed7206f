//! Entry VMs, their callers and one backend server in virtual time.

use std::time::Duration;

use chicory_gateway::RequestTicket;

use crate::callers::{Arrivals, Callers};
use crate::entry_vm::{EntryVm, Progress};
use crate::limited_server::LimitedServer;

const START: Duration = Duration::from_secs(10);
const STEP: Duration = Duration::from_millis(1);
const NETWORK_DELAY: Duration = Duration::from_millis(1);
const WORK_TIME: Duration = Duration::from_millis(80);

/// A request at the server, until its answer is received.
struct Exchange {
    entry_vm: usize,
    ticket: RequestTicket,
    sent_at: Duration,
}

pub struct World {
    pub now: Duration,
    pub server: LimitedServer,
    pub entry_vms: Vec<EntryVm>,
    arrivals: Arrivals,
    exchanges: Vec<Exchange>,
}

impl World {
    pub fn new(entry_count: usize, callers: Callers) -> Self {
        let entry_vms = (0..entry_count).map(|index| EntryVm::new(START, index, entry_count));
        Self {
            now: START,
            server: LimitedServer::default(),
            entry_vms: entry_vms.collect(),
            arrivals: Arrivals::new(callers, START),
            exchanges: Vec::new(),
        }
    }

    pub fn run_until(&mut self, end: Duration) {
        while self.now < end {
            self.now += STEP;
            self.run_exchanges();
            self.wake_waiting();
            while let Some(index) = self.arrivals.next(self.now, self.entry_vms.len()) {
                let progress = self.entry_vms[index].accept(self.now);
                self.record_progress(index, progress);
            }
        }
    }

    fn record_progress(&mut self, entry_vm: usize, progress: Progress) {
        match progress {
            Progress::Sent(ticket) => {
                self.server
                    .record_arrival(self.now + NETWORK_DELAY, entry_vm);
                self.exchanges.push(Exchange {
                    entry_vm,
                    ticket,
                    sent_at: self.now,
                });
            }
            Progress::Waiting(ticket, until) => {
                self.entry_vms[entry_vm].waiting.push((ticket, until));
            }
            Progress::Refused => {}
        }
    }

    fn run_exchanges(&mut self) {
        let now = self.now;
        let is_due =
            |exchange: &mut Exchange| exchange.sent_at + NETWORK_DELAY * 2 + WORK_TIME <= now;
        let answered: Vec<Exchange> = self.exchanges.extract_if(.., is_due).collect();
        for exchange in answered {
            let answered_at = exchange.sent_at + NETWORK_DELAY + WORK_TIME;
            let limit = self.server.limit_at(answered_at);
            self.server.record_answer(now, exchange.entry_vm, limit);
            let entry_vm = &mut self.entry_vms[exchange.entry_vm];
            entry_vm.receive_answer(now, exchange.ticket, exchange.sent_at, limit);
        }
    }

    fn wake_waiting(&mut self) {
        for index in 0..self.entry_vms.len() {
            let now = self.now;
            let due = self.entry_vms[index]
                .waiting
                .extract_if(.., |(_, until)| *until <= now);
            for (ticket, _) in due.collect::<Vec<_>>() {
                let progress = self.entry_vms[index].advance(now, ticket);
                self.record_progress(index, progress);
            }
        }
    }
}
