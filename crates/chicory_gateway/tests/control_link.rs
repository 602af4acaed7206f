//! Tests which control VM an entry process follows, with control VMs on loopback.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chicory_directory::{ControlMessage, DirectoryUpdate, LinkStatus};
use chicory_gateway::{
    AnswerClass, CallerInterface, GatewayConfig, GatewayProcess, GatewayProcessConfig, Refusal,
    RequestMetadata, ServerInterface, ServerNotices,
};
use chicory_link::{FrameReader, LinkStream, split};
use chicory_net::admin::Readiness;
use chicory_ranges::ServerIncarnation;
use chicory_routes::{RequestKind, Route, RouteTable, RouteTableDelta, RouteTarget};
use chicory_telemetry::Metrics;
use chicory_types::BootClock;
use chicory_wire::proto::site;
use googletest::prelude::*;
use hyper::Response;
use hyper::http::{HeaderMap, request, response};
use prost::Message;
use slog::{Logger, o};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Time after which a test fails. It does not influence results otherwise.
const DEADLINE: Duration = Duration::from_secs(20);
const ANY_PORT: ([u8; 4], u16) = ([127, 0, 0, 1], 0);

/// Interfaces of an entry process that gets no requests.
struct NoInterface;

impl CallerInterface for NoInterface {
    fn read(&self, _head: &request::Parts) -> RequestMetadata {
        RequestMetadata::default()
    }

    fn refuse(&self, _metadata: &RequestMetadata, _refusal: &Refusal) -> Response<Bytes> {
        Response::default()
    }
}

impl ServerInterface for NoInterface {
    fn prepare(&self, _: &mut HeaderMap, _: &RequestMetadata, _: &ServerIncarnation, _: Duration) {}

    fn prepare_probe(&self, _: &mut HeaderMap) {}

    fn classify(
        &self,
        _: &RequestMetadata,
        _: &ServerIncarnation,
        _: &response::Parts,
    ) -> AnswerClass {
        AnswerClass::Answer
    }

    fn notices(&self, _: &ServerIncarnation, _: &response::Parts) -> Option<ServerNotices> {
        None
    }

    fn keep_alive(&self, _head: &response::Parts) -> Option<Duration> {
        None
    }
}

/// An entry process that runs until it is dropped.
struct Entry {
    readiness: Readiness,
    _open: watch::Sender<bool>,
}

async fn start_entry(seeds: Vec<SocketAddr>) -> Entry {
    let readiness = Readiness::default();
    let config = GatewayProcessConfig {
        vm: "entry-1".into(),
        zone: "north".into(),
        caller_address: ANY_PORT.into(),
        relay_address: None,
        relay_listen_address: None,
        seeds: seeds.iter().map(SocketAddr::to_string).collect(),
        stop_grace: Duration::from_secs(6),
        gateway_config: GatewayConfig::default(),
    };
    let interfaces = (Arc::new(NoInterface) as _, Arc::new(NoInterface) as _);
    let started = GatewayProcess::start(
        config,
        Arc::new(BootClock),
        interfaces,
        readiness.clone(),
        Logger::root(slog::Discard, o!()),
        Arc::new(Metrics::new().expect("metrics")),
    );
    let process = started.await.expect("an entry process");
    let (open, stop) = watch::channel(false);
    tokio::spawn(process.run(stop));
    Entry {
        readiness,
        _open: open,
    }
}

/// Opens a control VM's listener on a port of its own.
async fn listen() -> TcpListener {
    let bound = TcpListener::bind(SocketAddr::from(ANY_PORT)).await;
    bound.expect("a port")
}

/// Accepts an entry VM, reads its hello and sends it a status at once.
async fn accept_and_report(listener: &TcpListener, status: &LinkStatus) -> LinkStream {
    let mut link = accept(listener).await;
    let message = ControlMessage::Status(status.clone());
    link.1.put(&site::ControlMessage::from(message));
    link.1.flush().await.expect("an open link");
    link
}

/// Accepts an entry VM and reads its hello.
async fn accept(listener: &TcpListener) -> LinkStream {
    let (stream, _) = listener.accept().await.expect("a connection");
    let mut link = split(stream).expect("a link");
    let hello = link.0.next().await.expect("a frame");
    hello
        .expect("a hello")
        .decode::<site::LinkHello>()
        .expect("a hello");
    link
}

/// Answers each report with a status. Returns when the link ends, or after the first
/// report if `once`.
async fn answer_reports(link: &mut LinkStream, status: &LinkStatus, once: bool) {
    while let Ok(Some(_)) = link.0.next().await {
        let message = ControlMessage::Status(status.clone());
        link.1.put(&site::ControlMessage::from(message));
        if link.1.flush().await.is_err() || once {
            return;
        }
    }
}

/// Guards against abandoning a control VM without a majority before another one answers. After a
/// network cut the control VM of the own availability zone answers first, and has no majority for
/// a while. An entry VM that left it would serve with an outdated directory until the next
/// attempt to connect.
#[gtest]
#[tokio::test]
async fn control_vm_without_a_majority_is_followed_until_another_one_answers() {
    let cut_off = listen().await;
    // The port of the other control VM is bound, but nothing listens on it yet.
    let other = tokio::net::TcpSocket::new_v4().expect("a socket");
    other.bind(ANY_PORT.into()).expect("a port");
    let seeds = vec![
        cut_off.local_addr().expect("an address"),
        other.local_addr().expect("an address"),
    ];
    let _entry = start_entry(seeds).await;
    let no_contact = LinkStatus::default();
    let scenario = async {
        let mut link = accept(&cut_off).await;
        answer_reports(&mut link, &no_contact, true).await;
        // Long enough for any number of reports: the entry VM does not leave.
        let stays = tokio::time::timeout(
            Duration::from_secs(2),
            answer_reports(&mut link, &no_contact, false),
        );
        expect_that!(
            stays.await.is_err(),
            eq(true),
            "the entry VM left before another control VM answered"
        );
        let other = other.listen(8).expect("a listener");
        let in_contact = LinkStatus {
            is_in_contact: true,
            ..LinkStatus::default()
        };
        // The entry VM must not switch to the other one before that has a majority. Otherwise it
        // would keep switching between the two.
        let tried = async {
            for _ in 0..3 {
                let mut next = accept_and_report(&other, &no_contact).await;
                let ended = next.0.next().await;
                expect_that!(ended.is_ok_and(|frame| frame.is_none()), eq(true));
            }
            accept_and_report(&other, &in_contact).await
        };
        let mut next = tokio::select! {
            () = answer_reports(&mut link, &no_contact, false) => {
                panic!("the entry VM left before a control VM with a majority answered")
            }
            next = tried => next,
        };
        tokio::join!(
            answer_reports(&mut link, &no_contact, false),
            answer_reports(&mut next, &in_contact, true),
        );
    };
    let in_time = tokio::time::timeout(DEADLINE, scenario).await;
    expect_that!(in_time, ok(anything()));
}

/// Sends a first route table.
async fn send_table(link: &mut LinkStream) {
    let update = DirectoryUpdate {
        version: 1,
        is_full: true,
        routes: Some(RouteTableDelta::whole(&RouteTable {
            version: 1,
            ..RouteTable::default()
        })),
        ..DirectoryUpdate::default()
    };
    let message = ControlMessage::Update(update);
    link.1.put(&site::ControlMessage::from(message));
    link.1.flush().await.expect("an open link");
}

/// Waits until the entry process reports this readiness to the balancer.
async fn wait_until_ready_is(entry: &Entry, is_ready: bool) {
    while entry.readiness.is_ready() != is_ready {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against staying ready without a majority. In an availability zone that is cut off, entry
/// VMs reach neither a majority nor most owners of keys, so other entry VMs serve callers better
/// until the cut ends.
#[gtest]
#[tokio::test]
async fn entry_vm_is_unready_without_a_majority() {
    let control = listen().await;
    let entry = start_entry(vec![control.local_addr().expect("an address")]).await;
    let in_contact = LinkStatus {
        is_in_contact: true,
        ..LinkStatus::default()
    };
    let scenario = async {
        let mut link = accept_and_report(&control, &in_contact).await;
        send_table(&mut link).await;
        for (status, is_ready) in [
            (&in_contact, true),
            (&LinkStatus::default(), false),
            (&in_contact, true),
        ] {
            tokio::select! {
                () = answer_reports(&mut link, status, false) => panic!("the entry VM left"),
                () = wait_until_ready_is(&entry, is_ready) => {}
            }
        }
    };
    let in_time = tokio::time::timeout(DEADLINE, scenario).await;
    expect_that!(in_time, ok(anything()));
}

fn framed(message: ControlMessage) -> Vec<u8> {
    let message = site::ControlMessage::from(message).encode_to_vec();
    let length = u32::try_from(message.len()).expect("a frame");
    [&length.to_be_bytes()[..], &message].concat()
}

/// Returns a route table as large as that of a grown site.
fn large_table() -> RouteTable {
    let route = |index: usize| Route {
        name: format!("route-{index}"),
        host: format!("host-{index}"),
        path_prefix: "/".into(),
        kind: RequestKind::Idempotent,
        timeout: None,
        latency_target: None,
        priority: None,
        max_attempts: None,
        target: RouteTarget::Service("archive".into()),
    };
    RouteTable {
        version: 1,
        routes: (0..2000).map(route).collect(),
        ..RouteTable::default()
    }
}

#[gtest]
#[tokio::test]
async fn route_table_transfer_over_a_slow_link_is_not_aborted() {
    let control = listen().await;
    let entry = start_entry(vec![control.local_addr().expect("an address")]).await;
    let scenario = async {
        let (stream, _) = control.accept().await.expect("a connection");
        let (read, mut write) = stream.into_split();
        let mut reader = FrameReader::new(read);
        reader.next().await.expect("a hello");
        let status = ControlMessage::Status(LinkStatus {
            is_in_contact: true,
            ..LinkStatus::default()
        });
        let update = ControlMessage::Update(DirectoryUpdate {
            version: 1,
            is_full: true,
            routes: Some(RouteTableDelta::whole(&large_table())),
            ..DirectoryUpdate::default()
        });
        write
            .write_all(&framed(status.clone()))
            .await
            .expect("an open link");
        let update = framed(update);
        for part in update.chunks(update.len() / 20) {
            tokio::time::sleep(Duration::from_millis(100)).await;
            if write.write_all(part).await.is_err() {
                return false;
            }
        }
        let status = framed(status);
        let answers = async {
            while let Ok(Some(_)) = reader.next().await {
                if write.write_all(&status).await.is_err() {
                    return;
                }
            }
        };
        tokio::select! {
            () = answers => false,
            () = wait_until_ready_is(&entry, true) => true,
        }
    };
    let became_ready = tokio::time::timeout(DEADLINE, scenario).await;
    expect_that!(became_ready, ok(eq(&true)));
}

/// Binds a port on which nothing listens yet.
fn bind() -> tokio::net::TcpSocket {
    let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
    socket.bind(ANY_PORT.into()).expect("a port");
    socket
}

#[gtest]
#[tokio::test]
async fn follower_is_followed_until_the_leader_that_it_reports_answers() {
    let follower = listen().await;
    let leader = bind();
    let leader_address = leader.local_addr().expect("an address");
    let entry = start_entry(vec![follower.local_addr().expect("an address")]).await;
    let follower_status = LinkStatus {
        is_in_contact: true,
        leader: Some(leader_address.to_string()),
        ..LinkStatus::default()
    };
    let scenario = async {
        let mut link = accept_and_report(&follower, &follower_status).await;
        // Long enough for a dial of the leader to fail.
        let stays = tokio::time::timeout(
            Duration::from_secs(1),
            answer_reports(&mut link, &follower_status, false),
        );
        expect_that!(
            stays.await.is_err(),
            eq(true),
            "the entry VM left before the leader answered"
        );
        send_table(&mut link).await;
        tokio::select! {
            () = answer_reports(&mut link, &follower_status, false) => panic!("the entry VM left"),
            () = wait_until_ready_is(&entry, true) => {}
        }
        let leader = leader.listen(8).expect("a listener");
        let leader_status = LinkStatus {
            is_in_contact: true,
            leader: Some(leader_address.to_string()),
            ..LinkStatus::default()
        };
        let mut next = accept_and_report(&leader, &leader_status).await;
        tokio::join!(
            answer_reports(&mut link, &follower_status, false),
            answer_reports(&mut next, &leader_status, true),
        );
    };
    let in_time = tokio::time::timeout(DEADLINE, scenario).await;
    expect_that!(in_time, ok(anything()));
}

#[gtest]
#[tokio::test]
async fn unresponsive_control_vm_is_followed_until_another_one_answers() {
    let unresponsive = listen().await;
    let other = bind();
    let seeds = vec![
        unresponsive.local_addr().expect("an address"),
        other.local_addr().expect("an address"),
    ];
    let entry = start_entry(seeds).await;
    let in_contact = LinkStatus {
        is_in_contact: true,
        ..LinkStatus::default()
    };
    let scenario = async {
        let mut link = accept_and_report(&unresponsive, &in_contact).await;
        tokio::time::sleep(Duration::from_millis(1500)).await;
        send_table(&mut link).await;
        tokio::select! {
            () = answer_reports(&mut link, &in_contact, false) => panic!("the entry VM left"),
            () = wait_until_ready_is(&entry, true) => {}
        }
        let other = other.listen(8).expect("a listener");
        let mut next = accept_and_report(&other, &in_contact).await;
        answer_reports(&mut next, &in_contact, true).await;
        while let Ok(Some(_)) = link.0.next().await {}
    };
    let in_time = tokio::time::timeout(DEADLINE, scenario).await;
    expect_that!(in_time, ok(anything()));
}

#[gtest]
#[tokio::test]
async fn entry_vm_switches_to_the_leader_reported_last() {
    let follower = listen().await;
    let lost_leader = bind();
    let leader = listen().await;
    let address_of = |bound: std::io::Result<SocketAddr>| bound.expect("an address").to_string();
    let status_with_leader = |address: String| LinkStatus {
        is_in_contact: true,
        leader: Some(address),
        ..LinkStatus::default()
    };
    let status_with_lost_leader = status_with_leader(address_of(lost_leader.local_addr()));
    let status_with_new_leader = status_with_leader(address_of(leader.local_addr()));
    let _entry = start_entry(vec![follower.local_addr().expect("an address")]).await;
    let scenario = async {
        let mut link = accept_and_report(&follower, &status_with_lost_leader).await;
        answer_reports(&mut link, &status_with_lost_leader, true).await;
        tokio::select! {
            () = answer_reports(&mut link, &status_with_new_leader, false) => {
                panic!("the entry VM left")
            }
            _ = accept_and_report(&leader, &status_with_new_leader) => {}
        }
    };
    let in_time = tokio::time::timeout(DEADLINE, scenario).await;
    expect_that!(in_time, ok(anything()));
}
