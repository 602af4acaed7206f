//! The client that sends requests to control processes over QUIC.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chicory_net::peer::{NoFaults, PeerConnection, PeerEndpoint, PeerError, PeerIdentity};
use chicory_net::tls::{PeerRole, PeerTls, Subject, TlsFiles};
use chicory_telemetry::Metrics;
use chicory_types::{ClusterName, OperatorName, VmId};
use chicory_wire::proto::operator::operator_answer::Answer;
use chicory_wire::proto::operator::operator_request::Request;
use chicory_wire::proto::operator::{OperatorError, OperatorRequest};
use chicory_wire::proto::peer::{Call, CallError, Reply, call, reply};
use snafu::ResultExt;
use tokio::time::Instant;

use super::client_error::{BindSnafu, MetricsSnafu, NoAnswerSnafu, RefusedSnafu, TlsSnafu};
use super::{AnswerFuture, Attempt, AttemptFailure, ClientError, ControlClient};

/// The pause after every process has failed, before the first is tried again.
const ROUND_PAUSE: Duration = Duration::from_millis(150);
/// The longest wait for the reply of one process.
const REPLY_TIMEOUT: Duration = Duration::from_secs(2);

/// The settings of a [`PeerClient`].
#[derive(Clone, Debug)]
pub struct PeerClientSettings {
    /// The name of the cluster.
    pub cluster: ClusterName,
    /// The name of the operator, as in the operator's certificate.
    pub operator: OperatorName,
    /// The control processes, as addresses by VM.
    pub control: BTreeMap<VmId, SocketAddr>,
    /// The files of the operator's certificate and key, and of the certificate authority.
    pub tls: TlsFiles,
    /// How long the client tries to get an answer.
    pub timeout: Duration,
}

/// Sends requests to control processes over QUIC, to one after another until one answers.
///
/// The process that answered last is tried first.
#[derive(Debug)]
pub struct PeerClient {
    endpoint: PeerEndpoint,
    control: BTreeMap<VmId, SocketAddr>,
    timeout: Duration,
    last_answered: RefCell<Option<VmId>>,
}

/// What to do after the attempt with one process.
enum NextStep {
    Done(Result<Answer, ClientError>),
    TryLeader(VmId),
    TryAnother(AttemptFailure),
}

impl PeerClient {
    /// Creates a client. Must be called within a tokio runtime.
    ///
    /// # Errors
    ///
    /// Returns a [`ClientError`] if the certificates can't be used or no local port can be bound.
    pub fn new(settings: &PeerClientSettings) -> Result<Self, ClientError> {
        let tls = PeerTls::load(&settings.tls).context(TlsSnafu)?;
        let metrics = Arc::new(Metrics::new().context(MetricsSnafu)?);
        let identity = PeerIdentity {
            subject: Subject::new(PeerRole::Operator, &settings.operator),
            cluster: settings.cluster.clone(),
            zone: String::new(),
        };
        let is_loopback = settings
            .control
            .values()
            .all(|control_address| control_address.ip().is_loopback());
        let local_address = local_address(is_loopback);
        let bound = PeerEndpoint::bind(local_address, &tls, &identity, Arc::new(NoFaults), metrics);
        let (endpoint, _) = bound.context(BindSnafu)?;
        Ok(Self {
            endpoint,
            control: settings.control.clone(),
            timeout: settings.timeout,
            last_answered: RefCell::default(),
        })
    }

    async fn send_until_answered(&self, request: Request) -> Result<Answer, ClientError> {
        let call = Call {
            call: Some(call::Call::Operator(OperatorRequest {
                request: Some(request),
            })),
        };
        let deadline = Instant::now() + self.timeout;
        let mut failures = BTreeMap::new();
        let mut may_have_arrived = false;
        while Instant::now() < deadline {
            let preferred = self.last_answered.borrow().clone();
            let mut round = Round::new(&self.control, preferred);
            while let Some((vm, address)) = round.next() {
                match self.send_to(address, &call, deadline).await {
                    NextStep::Done(result) => {
                        self.last_answered.replace(Some(vm));
                        return result;
                    }
                    NextStep::TryLeader(leader) => {
                        let failure = round.prefer(leader);
                        failures.extend(failure.map(|failure| (vm, failure)));
                    }
                    NextStep::TryAnother(failure) => {
                        may_have_arrived |= may_have_been_carried_out(&failure);
                        failures.insert(vm, failure);
                    }
                }
            }
            tokio::time::sleep(ROUND_PAUSE).await;
        }
        NoAnswerSnafu {
            attempts: self.attempts(failures),
            timeout: self.timeout,
            may_have_arrived,
        }
        .fail()
    }

    async fn send_to(&self, address: SocketAddr, call: &Call, deadline: Instant) -> NextStep {
        let time_left = deadline.saturating_duration_since(Instant::now());
        let connection = match self.connect(address, time_left).await {
            Ok(connection) => connection,
            Err(source) => return NextStep::TryAnother(AttemptFailure::Connect { source }),
        };
        let time_left = deadline.saturating_duration_since(Instant::now());
        let reply = connection.call(call, time_left.min(REPLY_TIMEOUT)).await;
        match reply {
            Ok(reply) => next_step(reply),
            Err(source) => NextStep::TryAnother(AttemptFailure::NoReply { source }),
        }
    }

    async fn connect(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<PeerConnection, PeerError> {
        let connected = tokio::time::timeout(timeout, self.endpoint.connect(address)).await;
        connected.unwrap_or(Err(PeerError::TimedOut { timeout }))
    }

    fn attempts(&self, failures: BTreeMap<VmId, AttemptFailure>) -> Vec<Attempt> {
        failures
            .into_iter()
            .map(|(vm, failure)| Attempt {
                address: self.control[&vm],
                vm,
                failure,
            })
            .collect()
    }
}

impl ControlClient for PeerClient {
    fn send(&self, request: Request) -> AnswerFuture<'_> {
        Box::pin(self.send_until_answered(request))
    }
}

/// One round over all control processes, in which each is tried at most once.
struct Round {
    remaining: BTreeMap<VmId, SocketAddr>,
    preferred: Option<VmId>,
}

impl Round {
    fn new(control: &BTreeMap<VmId, SocketAddr>, preferred: Option<VmId>) -> Self {
        Self {
            remaining: control.clone(),
            preferred,
        }
    }

    /// Returns the process to try next: the preferred one if it remains, or else any other.
    fn next(&mut self) -> Option<(VmId, SocketAddr)> {
        let preferred = self.preferred.take();
        let preferred = preferred.and_then(|vm| self.remaining.remove_entry(&vm));
        preferred.or_else(|| self.remaining.pop_first())
    }

    /// Makes the leader the next process of this round. Returns a failure instead if the leader
    /// isn't listed or was already tried in this round.
    fn prefer(&mut self, leader: VmId) -> Option<AttemptFailure> {
        if !self.remaining.contains_key(&leader) {
            return Some(AttemptFailure::NotLeader {
                leader: Some(leader),
            });
        }
        self.preferred = Some(leader);
        None
    }
}

/// Returns what to do after a reply.
fn next_step(reply: Reply) -> NextStep {
    let answer = match reply.reply {
        Some(reply::Reply::Operator(answer)) => answer.answer,
        Some(reply::Reply::Error(error)) => {
            let error = CallError::try_from(error).unwrap_or(CallError::Malformed);
            return NextStep::TryAnother(AttemptFailure::CallRefused { error });
        }
        _ => None,
    };
    match answer {
        None => NextStep::Done(Err(ClientError::UnexpectedAnswer)),
        Some(Answer::NotLeader(answer)) => match answer.leader {
            Some(leader) => NextStep::TryLeader(leader),
            None => NextStep::TryAnother(AttemptFailure::NotLeader { leader: None }),
        },
        Some(Answer::Error(error)) => next_step_after_refusal(error),
        Some(answer) => NextStep::Done(Ok(answer)),
    }
}

/// Returns what to do after a refusal. Only `NotFound` is final. After any other refusal, another
/// process may be able to answer.
fn next_step_after_refusal(error: i32) -> NextStep {
    match OperatorError::try_from(error) {
        Ok(error @ OperatorError::NotFound) => NextStep::Done(RefusedSnafu { error }.fail()),
        Ok(error) => NextStep::TryAnother(AttemptFailure::Refused { error }),
        Err(_) => NextStep::Done(Err(ClientError::UnexpectedAnswer)),
    }
}

/// Returns whether a process may have carried out the request despite the failure.
///
/// Without a reply, the request may still have arrived. `Unavailable` also comes from a leader that
/// lost its leadership after it had proposed a change.
fn may_have_been_carried_out(failure: &AttemptFailure) -> bool {
    match failure {
        AttemptFailure::NoReply { .. } => true,
        AttemptFailure::Refused { error } => *error == OperatorError::Unavailable,
        _ => false,
    }
}

/// Returns the local address to bind: any port, on the loopback interface if all control processes
/// are there.
fn local_address(is_loopback: bool) -> SocketAddr {
    if is_loopback {
        SocketAddr::from(([127, 0, 0, 1], 0))
    } else {
        SocketAddr::from(([0, 0, 0, 0], 0))
    }
}
