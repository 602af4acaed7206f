//! Decisions per second of the request path on one core.
//!
//! `*_decision` times only the arrival of a request, up to the effect that writes or relays it; the
//! answers are simulated outside of the timed part. `*_with_answer` times all three events of a
//! request.

use std::collections::BTreeSet;
use std::hint::black_box;
use std::time::{Duration, Instant};

use chicory_dispatch::{
    Effect, Event, Outcome, RelayLoad, RequestHead, RequestIdEcho, RequestOrigin, RequestPath,
    RequestPathConfig,
};
use chicory_ownership::{
    EntryRecord, RenewAnswer, ServerRecord, SlotOwner, ViewChange, ViewUpdate,
};
use chicory_table::{CustodyLease, ServicePolicy, Table};
use chicory_types::{FencingToken, SLOTS_PER_SERVICE, SlotRun};
use criterion::{Criterion, Throughput, criterion_group, criterion_main};

const ZONE: &str = "vake-hall";
const SERVERS: u16 = 20;
/// Number of requests in a batch; they fit into the slots of all servers of a service.
const BATCH: u64 = 40;
const NOW: Duration = Duration::from_millis(1);

fn policy(keyed: bool) -> ServicePolicy {
    ServicePolicy {
        weight: 100,
        max_in_flight: 0,
        max_connections: 0,
        queue_limit: 32,
        rate_limit_per_s: 0,
        keyed,
        idempotent: true,
        deadline: Duration::from_secs(2),
        custody_lease: CustodyLease::Unlimited,
        zones: BTreeSet::from([ZONE.to_owned()]),
    }
}

fn record(service: &str, name: &str) -> ServerRecord {
    ServerRecord {
        server: name.to_owned(),
        service: service.to_owned(),
        address: format!("{name}:80"),
        zone: ZONE.to_owned(),
        slots: 4,
        connections: 100,
        incarnation: 1,
        checks_grants: true,
        draining: false,
    }
}

fn entry(vm: &str) -> EntryRecord {
    EntryRecord {
        vm: vm.to_owned(),
        incarnation: 1,
        peer_address: format!("{vm}:1"),
        announce_address: format!("{vm}:2"),
    }
}

/// Returns a view with twenty servers of a keyed service and twenty of an unkeyed one, all
/// dispatched by `vm`.
fn view(vm: &str) -> Vec<ViewChange> {
    let mut table = Table {
        revision: 1,
        ..Table::default()
    };
    table.services.insert("board".to_owned(), policy(true));
    table.services.insert("plans".to_owned(), policy(false));
    let all = vec![SlotRun::new(0, SLOTS_PER_SERVICE - 1)];
    let mut view = vec![
        ViewChange::TableInForce(table),
        ViewChange::ZoneEntries {
            zone: ZONE.to_owned(),
            entries: vec![entry("entry-1"), entry("entry-2")],
        },
        ViewChange::CustodyAssigned {
            service: "board".to_owned(),
            runs: all,
            zone: ZONE.to_owned(),
            generation: 1,
        },
    ];
    for index in 0..SERVERS {
        for service in ["board", "plans"] {
            let name = format!("{service}-{index}");
            view.push(ViewChange::ServerUpserted(record(service, &name)));
            view.push(ViewChange::DispatcherAssigned {
                server: name,
                vm: Some(vm.to_owned()),
                epoch: u64::from(index) + 1,
            });
        }
        let width = SLOTS_PER_SERVICE / SERVERS + 1;
        let first = index * width;
        let last = (first + width - 1).min(SLOTS_PER_SERVICE - 1);
        view.push(ViewChange::SlotsAssigned {
            service: "board".to_owned(),
            runs: vec![SlotRun::new(first, last)],
            owner: SlotOwner::Owned {
                server: format!("board-{index}"),
                token: FencingToken::new(1, u64::from(index)),
            },
        });
    }
    view
}

fn path(dispatcher: &str) -> RequestPath {
    let config = RequestPathConfig::builder("entry-1", ZONE)
        .connect_rate_per_s(1_000_000)
        .build();
    let mut path = RequestPath::new(config, Duration::ZERO);
    path.reduce(Duration::ZERO, Event::Tick);
    path.reduce(
        Duration::ZERO,
        Event::RenewAnswered {
            sent_at: Duration::ZERO,
            from: "entry-1".to_owned(),
            answer: RenewAnswer::Granted {
                lease: Duration::from_mins(1),
                update: ViewUpdate {
                    version: 1,
                    changes: view(dispatcher),
                },
            },
        },
    );
    path
}

fn head(request: u64, service: &str) -> RequestHead {
    RequestHead {
        request,
        service: service.to_owned(),
        key: Some(format!("station-{}", request % 1_000)),
        order_key: None,
        is_safe_method: true,
        fingerprint: request,
        is_replayable: true,
        deadline: None,
        origin: RequestOrigin::Caller,
    }
}

/// Feeds a request into the path and simulates its server or relay until the answer ends.
fn serve(path: &mut RequestPath, head: RequestHead) {
    let effects = path.reduce(NOW, Event::RequestArrived(head));
    simulate_answers(path, effects);
}

fn answer(path: &mut RequestPath, request: u64) -> Vec<Effect> {
    let started = Event::AnswerStarted {
        request,
        status: 200,
        echo: RequestIdEcho::Matched,
        refusal: None,
    };
    black_box(path.reduce(NOW, started));
    let finished = Event::AnswerFinished {
        request,
        kept: None,
        is_reusable: true,
    };
    path.reduce(NOW, finished)
}

fn answer_relay(path: &mut RequestPath, request: u64) {
    let answered = Event::RelayAnswered {
        request,
        outcome: Outcome::Ran,
        retry_after: None,
        load: RelayLoad::default(),
    };
    black_box(path.reduce(NOW, answered));
    black_box(path.reduce(NOW, Event::RelayFinished { request }));
}

fn bench_service(c: &mut Criterion, name: &str, service: &str, dispatcher: &str) {
    let mut group = c.benchmark_group("request_path");
    group.throughput(Throughput::Elements(1));
    let mut path = path(dispatcher);
    let mut next = 0;
    group.bench_function(name, |b| {
        b.iter_batched(
            || {
                next += 1;
                head(next, service)
            },
            |head| serve(&mut path, head),
            criterion::BatchSize::SmallInput,
        );
    });
    group.finish();
}

/// Times only the arrivals, in batches that fit into the servers' slots; one iteration is one
/// batch.
fn bench_decision(c: &mut Criterion, name: &str, service: &str, dispatcher: &str) {
    let mut group = c.benchmark_group("request_path");
    group.throughput(Throughput::Elements(BATCH));
    let mut path = path(dispatcher);
    let mut next = 0;
    group.bench_function(name, |b| {
        b.iter_custom(|count| {
            let mut timed = Duration::ZERO;
            for _ in 0..count {
                timed += decide_batch(&mut path, &mut next, service);
            }
            timed
        });
    });
    group.finish();
}

fn decide_batch(path: &mut RequestPath, next: &mut u64, service: &str) -> Duration {
    let heads: Vec<RequestHead> = (0..BATCH)
        .map(|_| {
            *next += 1;
            head(*next, service)
        })
        .collect();
    let mut decided = Vec::with_capacity(heads.len());
    let start = Instant::now();
    for head in heads {
        decided.push(path.reduce(NOW, Event::RequestArrived(head)));
    }
    let timed = start.elapsed();
    for effects in decided {
        simulate_answers(path, effects);
    }
    timed
}

/// Simulates servers and relays until no effect is left.
fn simulate_answers(path: &mut RequestPath, mut effects: Vec<Effect>) {
    while let Some(effect) = effects.pop() {
        match effect {
            Effect::Connect { connection, .. } => {
                effects.extend(path.reduce(NOW, Event::Connected { connection }));
            }
            Effect::Write { request, .. } => effects.extend(answer(path, request)),
            Effect::Relay { request, .. } => answer_relay(path, request),
            other => {
                black_box(other);
            }
        }
    }
}

/// Times immediate refusals, as under overload.
fn bench_refusal(c: &mut Criterion) {
    let mut group = c.benchmark_group("request_path");
    group.throughput(Throughput::Elements(1));
    let mut path = path("entry-1");
    let mut next = 0;
    for _ in 0..5_000 {
        next += 1;
        path.reduce(NOW, Event::RequestArrived(head(next, "board")));
    }
    group.bench_function("refused_by_full_queue", |b| {
        b.iter_batched(
            || {
                next += 1;
                head(next, "board")
            },
            |head| black_box(path.reduce(NOW, Event::RequestArrived(head))),
            criterion::BatchSize::SmallInput,
        );
    });
    group.finish();
}

fn benches(c: &mut Criterion) {
    bench_decision(c, "keyed_decision", "board", "entry-1");
    bench_decision(c, "unkeyed_decision", "plans", "entry-1");
    bench_decision(c, "relay_decision", "board", "entry-2");
    bench_service(c, "keyed_with_answer", "board", "entry-1");
    bench_service(c, "unkeyed_with_answer", "plans", "entry-1");
    bench_service(c, "relayed_with_answer", "board", "entry-2");
    bench_refusal(c);
}

criterion_group!(decisions, benches);
criterion_main!(decisions);
