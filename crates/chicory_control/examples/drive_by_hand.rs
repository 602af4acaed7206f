//! Drives an entry core and a control core by hand, in virtual time, without any I/O.
//!
//! It shows what a test harness has to do: pass in events with the current time, and carry out the
//! effects. Here one control process is the whole global group and the whole group of its zone, and
//! one entry process dispatches a caller's request to one backend server.
//!
//! Run it with `cargo run -p chicory_control --example drive_by_hand`.

use std::collections::VecDeque;
use std::time::Duration;

use chicory_consensus::{ConfigError, MemberId, RestoredState};
use chicory_control::{
    Caller, ControlCall, ControlConfig, ControlCore, ControlEffect, ControlEvent, ControlReply,
    OperatorCall, new_global_group,
};
use chicory_dispatch::{
    Announcement, Effect, Event, RequestHead, RequestIdEcho, RequestOrigin, RequestPath,
    RequestPathConfig,
};
use chicory_ownership::ServerRecord;
use chicory_table::{CustodyLease, ServicePolicy, TableChange};
use chicory_types::MonoTime;

const VM: &str = "vm-1";
const ZONE: &str = "north";
const SERVICE: &str = "archive";
const STEP: Duration = Duration::from_millis(10);
const RENEWAL_CALL: u64 = 1;
const OPERATOR_CALL: u64 = 2;
const REQUEST: u64 = 7;

/// Both cores and the time that they share.
struct Harness {
    now: MonoTime,
    control: ControlCore,
    entry: RequestPath,
    renewal_sent_at: MonoTime,
}

fn main() -> Result<(), ConfigError> {
    let mut harness = Harness::new()?;
    harness.run_for(Duration::from_secs(8));
    harness.edit_table();
    harness.run_for(Duration::from_secs(5));
    harness.announce_server();
    for _ in 0..10 {
        harness.run_for(Duration::from_secs(1));
        harness.announce_server();
    }
    println!("ready for the balancer: {}", harness.entry.is_ready());
    harness.send_request();
    harness.run_for(Duration::from_millis(100));
    println!("open requests: {}", harness.entry.open_requests());
    Ok(())
}

impl Harness {
    fn new() -> Result<Self, ConfigError> {
        let now = MonoTime::ZERO;
        let config = ControlConfig {
            vm: VM.to_owned(),
            incarnation: 1,
            zone: ZONE.to_owned(),
            zone_vms: [VM.to_owned()].into(),
            global_vms: [VM.to_owned()].into(),
            is_zone_durable: false,
            seed: 42,
        };
        let member = MemberId::new(VM, 1);
        let vms = &config.global_vms;
        let global = new_global_group(member, vms, RestoredState::fresh(), false, now)?;
        let entry_config = RequestPathConfig::builder("entry-1", ZONE)
            .peer_address("10.0.0.1:7100")
            .announce_address("10.0.0.1:7101")
            .build();
        Ok(Self {
            now,
            control: ControlCore::new(config, Some(global), None, now)?,
            entry: RequestPath::new(entry_config, now),
            renewal_sent_at: now,
        })
    }

    /// Advances virtual time in steps; a simulator would jump to the next wake-up instead.
    fn run_for(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            self.control(ControlEvent::Tick { wall_ms: 0 });
            self.entry(Event::Tick);
        }
    }

    /// Passes an event to the control core, and then all events that follow from it.
    fn control(&mut self, event: ControlEvent) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            for effect in self.control.reduce(self.now, event) {
                events.extend(self.carry_out_control(effect));
            }
        }
    }

    fn carry_out_control(&mut self, effect: ControlEffect) -> Option<ControlEvent> {
        match effect {
            ControlEffect::Reply { call, reply } => self.handle_reply(call, reply),
            ControlEffect::SyncZone { request, .. } => {
                Some(own_call(3, ControlCall::ZoneSync(request)))
            }
            ControlEffect::AskFormation { request, .. } => {
                Some(own_call(4, ControlCall::AskFormation(request)))
            }
            ControlEffect::Note(note) => {
                println!("{:>6} ms  control: {note:?}", self.now.as_millis());
                None
            }
            // A group of one member sends no messages, and this example stores nothing.
            _ => None,
        }
    }

    fn handle_reply(&mut self, call: u64, reply: ControlReply) -> Option<ControlEvent> {
        match reply {
            ControlReply::Renew(answer) => {
                self.entry(Event::RenewAnswered {
                    sent_at: self.renewal_sent_at,
                    from: VM.to_owned(),
                    answer,
                });
                None
            }
            ControlReply::ZoneSync(answer) => Some(ControlEvent::ZoneSyncAnswered {
                sent_at: self.now,
                from: VM.to_owned(),
                answer,
            }),
            ControlReply::Formation(answer) => Some(ControlEvent::FormationAnswered {
                group: chicory_control::GroupName::Global,
                answer,
            }),
            other => {
                println!("{:>6} ms  call {call}: {other:?}", self.now.as_millis());
                None
            }
        }
    }

    /// Passes an event to the entry core, and carries out the effects that follow.
    fn entry(&mut self, event: Event) {
        for effect in self.entry.reduce(self.now, event) {
            match effect {
                Effect::Renew { request, .. } => self.renew(request),
                Effect::Connect { connection, .. } => {
                    self.entry(Event::Connected { connection });
                }
                Effect::Write { request, token, .. } => self.serve(request, token),
                Effect::Probe { .. } => {}
                shown => println!("{:>6} ms  entry: {shown:?}", self.now.as_millis()),
            }
        }
    }

    fn renew(&mut self, request: chicory_ownership::RenewRequest) {
        self.renewal_sent_at = self.now;
        self.control(ControlEvent::CallReceived {
            call: RENEWAL_CALL,
            from: Caller::Entry("entry-1".to_owned()),
            request: ControlCall::Renew(request),
        });
    }

    /// Acts as the backend server, which answers the request at once.
    fn serve(&mut self, request: u64, token: Option<chicory_types::FencingToken>) {
        let token = token.map_or_else(|| "none".to_owned(), |token| token.to_string());
        println!(
            "{:>6} ms  server: runs request {request} under token {token}",
            self.now.as_millis()
        );
        self.entry(Event::AnswerStarted {
            request,
            status: 200,
            echo: RequestIdEcho::Matched,
            refusal: None,
        });
        self.entry(Event::AnswerFinished {
            request,
            kept: None,
            is_reusable: true,
        });
    }

    fn edit_table(&mut self) {
        let policy = ServicePolicy {
            weight: 100,
            max_in_flight: 0,
            max_connections: 0,
            queue_limit: 30,
            rate_limit_per_s: 0,
            keyed: true,
            idempotent: true,
            deadline: Duration::from_secs(2),
            custody_lease: CustodyLease::Unlimited,
            zones: [ZONE.to_owned()].into(),
        };
        self.control(ControlEvent::CallReceived {
            call: OPERATOR_CALL,
            from: Caller::Operator("ana".to_owned()),
            request: ControlCall::Operator(OperatorCall::EditTable {
                edit_id: "first".to_owned(),
                base_revision: 0,
                changes: vec![TableChange::PutService {
                    service: SERVICE.to_owned(),
                    policy,
                }],
            }),
        });
    }

    fn announce_server(&mut self) {
        self.entry(Event::Announced(Announcement {
            exchange: 1,
            record: ServerRecord {
                server: "archive-1".to_owned(),
                service: SERVICE.to_owned(),
                address: "10.0.0.9:80".to_owned(),
                zone: ZONE.to_owned(),
                slots: 3,
                connections: 100,
                incarnation: 1,
                checks_grants: true,
                draining: false,
            },
            known_grants_version: 0,
        }));
    }

    fn send_request(&mut self) {
        self.entry(Event::RequestArrived(RequestHead {
            request: REQUEST,
            service: SERVICE.to_owned(),
            key: Some("plaza-mayor".to_owned()),
            order_key: None,
            is_safe_method: true,
            fingerprint: 1,
            is_replayable: true,
            deadline: None,
            origin: RequestOrigin::Caller,
        }));
    }
}

fn own_call(call: u64, request: ControlCall) -> ControlEvent {
    ControlEvent::CallReceived {
        call,
        from: Caller::Control(VM.to_owned()),
        request,
    }
}
