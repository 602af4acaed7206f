//! Calls to the control processes of this availability zone.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use chicory_net::peer::{PeerEndpoint, PeerError};
use chicory_ownership::{ClaimAnswer, ClaimRequest, RenewAnswer, RenewRequest};
use chicory_types::VmId;
use chicory_wire::proto::claim::acknowledgement::Answer as Acknowledged;
use chicory_wire::proto::claim::{Acknowledgement, CrashReport, ResolveClaimRequest};
use chicory_wire::proto::peer::call::Call as CallKind;
use chicory_wire::proto::peer::reply::Reply as ReplyKind;
use chicory_wire::proto::peer::{Call, Reply};
use snafu::OptionExt;

use crate::zone::zone_error::{NoLeaderSnafu, UnexpectedSnafu, ZoneError};

/// How long a control process may take to answer a renewal, including the time to connect.
const RENEW_TIMEOUT: Duration = Duration::from_millis(350);
/// How long one control process may take to answer any other call, including the time to connect.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);
/// Pause before a call is sent to the next process.
const RETRY_PAUSE: Duration = Duration::from_millis(40);
/// Number of attempts of a claim. It is small because a request waits for the claim.
const CLAIM_ATTEMPTS: u32 = 8;
/// Number of attempts of a crash report.
const REPORT_ATTEMPTS: u32 = 50;
/// Number of attempts to report how a claimed order ended. If all fail, the expiry of the claim
/// resolves it.
const RESOLVE_ATTEMPTS: u32 = 500;

/// A client that calls the control processes of this availability zone, the leader first.
#[derive(Debug)]
pub(crate) struct ZoneClient {
    endpoint: PeerEndpoint,
    members: BTreeMap<VmId, SocketAddr>,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    leader: Option<VmId>,
    next_member: usize,
}

impl ZoneClient {
    pub(crate) fn new(endpoint: PeerEndpoint, members: BTreeMap<VmId, SocketAddr>) -> Arc<Self> {
        Arc::new(Self {
            endpoint,
            members,
            state: Mutex::default(),
        })
    }

    /// Sends a renewal to the leader that the reducer specifies, or to any member if the leader
    /// isn't known.
    pub(crate) async fn renew(
        &self,
        leader: Option<VmId>,
        request: RenewRequest,
    ) -> Result<(VmId, RenewAnswer), ZoneError> {
        let to = match leader.filter(|leader| self.members.contains_key(leader)) {
            Some(leader) => leader,
            None => self.any_member().context(NoLeaderSnafu)?,
        };
        let call = CallKind::Renew(request.into());
        let answer = match self.call(&to, call, RENEW_TIMEOUT).await? {
            ReplyKind::Renew(answer) => RenewAnswer::try_from(answer)?,
            _ => return UnexpectedSnafu.fail(),
        };
        self.record_leader(match &answer {
            RenewAnswer::Granted { .. } => Some(to.clone()),
            RenewAnswer::NotLeader { leader } => leader.clone(),
            RenewAnswer::Refused(_) => None,
        });
        Ok((to, answer))
    }

    /// Requests the right to run an order. The claim identifies the attempt that it is for, so it
    /// is safe to send it again.
    pub(crate) async fn claim(&self, claim: ClaimRequest) -> Result<ClaimAnswer, ZoneError> {
        let call = CallKind::Claim(claim.into());
        for _ in 0..CLAIM_ATTEMPTS {
            if let Some(ReplyKind::Claim(answer)) = self.call_leader(call.clone()).await {
                match ClaimAnswer::try_from(answer)? {
                    ClaimAnswer::NotLeader { leader } => self.record_leader(leader),
                    answer => return Ok(answer),
                }
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        Err(ZoneError::NoLeader)
    }

    /// Reports how a claimed order ended, with retries until the report is acknowledged.
    pub(crate) async fn resolve_claim(&self, request: ResolveClaimRequest) {
        let call = CallKind::ResolveClaim(request);
        self.call_until_acknowledged(&call, RESOLVE_ATTEMPTS).await;
    }

    /// Reports a crash, with retries until the report is acknowledged.
    pub(crate) async fn report_crash(&self, report: CrashReport) {
        let call = CallKind::CrashReport(report);
        self.call_until_acknowledged(&call, REPORT_ATTEMPTS).await;
    }

    async fn call_until_acknowledged(&self, call: &CallKind, attempts: u32) {
        for _ in 0..attempts {
            let acknowledgement = match self.call_leader(call.clone()).await {
                Some(ReplyKind::Acknowledged(answer)) => answer,
                _ => Acknowledgement::default(),
            };
            match acknowledgement.answer {
                Some(Acknowledged::Done(_)) => return,
                Some(Acknowledged::NotLeader(other)) => self.record_leader(other.leader),
                None => {}
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Calls the last known leader, or any member if no leader is known. A failed call clears the
    /// known leader, so that the next call goes to any member.
    async fn call_leader(&self, call: CallKind) -> Option<ReplyKind> {
        let leader = self.state().leader.clone();
        let to = leader.or_else(|| self.any_member())?;
        let reply = self.call(&to, call, CALL_TIMEOUT).await.ok();
        if reply.is_none() {
            self.record_leader(None);
        }
        reply
    }

    async fn call(
        &self,
        to: &VmId,
        call: CallKind,
        timeout: Duration,
    ) -> Result<ReplyKind, ZoneError> {
        let address = *self.members.get(to).context(UnexpectedSnafu)?;
        let request = Call { call: Some(call) };
        let calling = async {
            let connection = self.endpoint.connect(address).await?;
            connection.call::<_, Reply>(&request, timeout).await
        };
        let reply = tokio::time::timeout(timeout, calling)
            .await
            .unwrap_or(Err(PeerError::TimedOut { timeout }))?;
        reply.reply.context(UnexpectedSnafu)
    }

    fn any_member(&self) -> Option<VmId> {
        let mut state = self.state();
        let index = state.next_member;
        state.next_member = (index + 1) % self.members.len().max(1);
        self.members.keys().nth(index).cloned()
    }

    fn record_leader(&self, leader: Option<VmId>) {
        self.state().leader = leader.filter(|leader| self.members.contains_key(leader));
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
