//! The QUIC client, connected over loopback to control processes that give fixed answers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use chicory_ctl::client::{
    AttemptFailure, ClientError, ControlClient, PeerClient, PeerClientSettings,
};
use chicory_ctl::command::{IssueRequest, init_authority, issue_certificate};
use chicory_net::peer::{IncomingConnection, NoFaults, PeerEndpoint, PeerIdentity, PeerStream};
use chicory_net::tls::{PeerRole, PeerTls, Subject, TlsFiles};
use chicory_telemetry::Metrics;
use chicory_wire::proto::operator::operator_answer::Answer;
use chicory_wire::proto::operator::operator_request::Request;
use chicory_wire::proto::operator::{OperatorAnswer, OperatorError, StatusAnswer, StatusRequest};
use chicory_wire::proto::peer::{Call, Reply, reply};
use chicory_wire::proto::view::NotLeader;
use googletest::prelude::*;
use tempfile::TempDir;

const DAY: Duration = Duration::from_hours(24);
const CLUSTER: &str = "test-cluster";
/// Time after which a test fails whose request is answered. It does not influence results otherwise.
const DEADLINE: Duration = Duration::from_secs(30);

/// A cluster of control processes that give fixed answers.
struct Fixture {
    folder: TempDir,
    control: BTreeMap<String, SocketAddr>,
    endpoints: Vec<PeerEndpoint>,
}

impl Fixture {
    fn new() -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        init_authority(folder.path(), DAY).expect("an authority");
        issue(folder.path(), PeerRole::Operator, "ana");
        Self {
            folder,
            control: BTreeMap::new(),
            endpoints: Vec::new(),
        }
    }

    /// Starts a control process that answers every call with `answer`.
    fn start(&mut self, vm: &str, answer: Answer) {
        issue(self.folder.path(), PeerRole::Control, vm);
        let tls = PeerTls::load(&self.files(PeerRole::Control, vm)).expect("certificates");
        let identity = PeerIdentity {
            subject: Subject::new(PeerRole::Control, vm),
            cluster: CLUSTER.to_owned(),
            zone: "bodega-sur".to_owned(),
        };
        let metrics = Arc::new(Metrics::new().expect("metrics"));
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let faults = Arc::new(NoFaults);
        let bound = PeerEndpoint::bind(any_port, &tls, &identity, faults, metrics);
        let (endpoint, mut incoming) = bound.expect("a port");
        let address = endpoint.local_addr().expect("an address");
        tokio::spawn(async move {
            while let Some(connection) = incoming.recv().await {
                tokio::spawn(serve(connection, answer.clone()));
            }
        });
        self.control.insert(vm.to_owned(), address);
        self.endpoints.push(endpoint);
    }

    fn files(&self, role: PeerRole, name: &str) -> TlsFiles {
        let folder = self.folder.path();
        TlsFiles {
            ca: folder.join("ca.pem"),
            certificate: folder.join(format!("{role}-{name}.pem")),
            key: folder.join(format!("{role}-{name}.key.pem")),
        }
    }

    /// Sends a request that is answered.
    async fn request_status(&self) -> std::result::Result<Answer, ClientError> {
        self.request_status_for(CLUSTER, DEADLINE).await
    }

    /// Sends a request for which the client tries to get an answer for this time.
    async fn request_status_for(
        &self,
        cluster: &str,
        timeout: Duration,
    ) -> std::result::Result<Answer, ClientError> {
        let settings = PeerClientSettings {
            cluster: cluster.to_owned(),
            operator: "ana".to_owned(),
            control: self.control.clone(),
            tls: self.files(PeerRole::Operator, "ana"),
            timeout,
        };
        let client = PeerClient::new(&settings)?;
        client.send(Request::Status(StatusRequest {})).await
    }
}

fn block_on<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(future)
}

fn issue(folder: &Path, role: PeerRole, name: &str) {
    let request = IssueRequest {
        authority_folder: folder.to_owned(),
        output_folder: folder.to_owned(),
        role,
        name: name.to_owned(),
        validity: DAY,
    };
    issue_certificate(&request).expect("a certificate");
}

async fn serve(incoming: IncomingConnection, answer: Answer) {
    while let Ok(PeerStream::Call(mut call)) = incoming.connection.accept().await {
        let _: Call = call.read().await.expect("a call");
        let reply = Reply {
            reply: Some(reply::Reply::Operator(OperatorAnswer {
                answer: Some(answer.clone()),
            })),
        };
        let _ = call.reply(&reply).await;
    }
}

fn status() -> Answer {
    Answer::Status(StatusAnswer {
        revision: 8,
        zones: Vec::new(),
    })
}

fn not_leader(leader: Option<&str>) -> Answer {
    Answer::NotLeader(NotLeader {
        leader: leader.map(ToOwned::to_owned),
    })
}

#[gtest]
fn the_request_goes_next_to_the_named_leader() {
    block_on(async {
        let mut fixture = Fixture::new();
        fixture.start("control-1", not_leader(Some("control-3")));
        fixture.start("control-2", Answer::Error(OperatorError::NotFound.into()));
        fixture.start("control-3", status());
        expect_that!(fixture.request_status().await, ok(eq(&status())));
    });
}

#[gtest]
fn a_process_that_cannot_answer_is_skipped() {
    block_on(async {
        let mut fixture = Fixture::new();
        fixture.start(
            "control-1",
            Answer::Error(OperatorError::WrongProcess.into()),
        );
        fixture.start("control-2", not_leader(None));
        fixture.start("control-3", status());
        expect_that!(fixture.request_status().await, ok(eq(&status())));
    });
}

#[gtest]
fn a_refusal_is_final() {
    block_on(async {
        let mut fixture = Fixture::new();
        fixture.start("control-1", Answer::Error(OperatorError::NotFound.into()));
        fixture.start("control-2", status());
        let answer = fixture.request_status().await;
        let expected = matches_pattern!(ClientError::Refused {
            error: eq(&OperatorError::NotFound)
        });
        expect_that!(answer, err(expected));
    });
}

#[gtest]
fn the_error_lists_the_failure_of_each_process() {
    block_on(async {
        let mut fixture = Fixture::new();
        fixture.start("control-1", not_leader(None));
        fixture.start(
            "control-2",
            Answer::Error(OperatorError::Unavailable.into()),
        );
        let sent = fixture.request_status_for(CLUSTER, Duration::from_secs(3));
        let error = sent.await.expect_err("no leader");
        let ClientError::NoAnswer {
            attempts,
            may_have_arrived,
            ..
        } = error
        else {
            return add_failure!("expected a list of attempts, got {error:?}");
        };
        expect_that!(may_have_arrived, eq(true));
        let failures = attempts.into_iter().map(|attempt| attempt.failure);
        let failures: Vec<AttemptFailure> = failures.collect();
        expect_that!(
            failures,
            elements_are![
                matches_pattern!(AttemptFailure::NotLeader { leader: none() }),
                matches_pattern!(AttemptFailure::Refused {
                    error: eq(&OperatorError::Unavailable)
                })
            ]
        );
    });
}

#[gtest]
fn no_request_is_sent_to_a_process_of_another_cluster() {
    block_on(async {
        let mut fixture = Fixture::new();
        fixture.start("control-1", status());
        let sent = fixture.request_status_for("another-cluster", Duration::from_millis(800));
        let error = sent.await;
        expect_that!(error, err(matches_pattern!(ClientError::NoAnswer { .. })));
    });
}
