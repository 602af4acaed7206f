//! Rules of one replica, message by message.

use std::time::Duration;

use chicory_consensus::{
    AppendOutcome, Entry, EntryPayload, HardState, Hello, HelloStatus, MemberId, Membership,
    PeerMessage, PeerMessageBody, Replica, ReplicaConfig, ReplicaEffect, ReplicaEvent,
    RestoredState, Role, Snapshot, SnapshotHeader,
};
use chicory_types::CLOCK_RATE_MARGIN_PERCENT;
use googletest::prelude::*;
use proptest::prelude::{any, prop_oneof, proptest};
use proptest::strategy::{Just, Strategy};
use proptest::test_runner::RngSeed;

const START: Duration = Duration::from_secs(1);
/// Time at which the lease of any former leader has expired.
const LATER: Duration = Duration::from_secs(2);

fn member(name: &str) -> MemberId {
    MemberId::new(name, 1)
}

fn entry(index: u64, term: u64) -> Entry {
    Entry {
        index,
        term,
        payload: EntryPayload::Command(vec![7]),
    }
}

/// Returns the stored state of a voter in a group of three, whose entries have these terms.
fn stored(terms: &[u64], may_vote: bool) -> RestoredState {
    let entries = (1..).zip(terms).map(|(index, term)| entry(index, *term));
    RestoredState {
        hard_state: HardState {
            term: 4,
            voted_for: None,
        },
        snapshot: Some(Snapshot {
            membership: Membership::of_voters(["a", "b", "c"].map(member)),
            ..Snapshot::default()
        }),
        entries: entries.collect(),
        may_vote,
    }
}

fn replica(restored: RestoredState, incarnation: u64) -> Replica {
    let vms = vec!["a".into(), "b".into(), "c".into()];
    let config = ReplicaConfig::builder(MemberId::new("a", incarnation), vms)
        .trailing_entries(0)
        .build();
    Replica::new(config.expect("valid settings"), restored, START)
}

fn received(to: MemberId, body: PeerMessageBody) -> ReplicaEvent {
    ReplicaEvent::Received {
        from: member("b"),
        message: PeerMessage {
            group_epoch: 1,
            from: member("b"),
            to,
            body,
        },
    }
}

fn vote_request(last_index: u64, is_transfer: bool) -> PeerMessageBody {
    PeerMessageBody::RequestVote {
        term: 5,
        last_index,
        last_term: 2,
        is_transfer,
    }
}

fn append(prev_index: u64, prev_term: u64, entries: Vec<Entry>, commit: u64) -> PeerMessageBody {
    PeerMessageBody::Append {
        term: 5,
        prev_index,
        prev_term,
        entries,
        commit_index: commit,
        sent_at: START,
    }
}

fn grants_vote(effects: &[ReplicaEffect]) -> bool {
    effects.iter().any(|effect| {
        matches!(effect, ReplicaEffect::Send { message, .. }
            if matches!(message.body, PeerMessageBody::VoteResponse { granted: true, .. }))
    })
}

fn acknowledges(effects: &[ReplicaEffect]) -> bool {
    effects.iter().any(|effect| {
        matches!(effect, ReplicaEffect::Send { message, .. }
            if matches!(message.body, PeerMessageBody::AppendResponse { .. }))
    })
}

fn persisted(ticket: u64) -> ReplicaEvent {
    ReplicaEvent::Persisted { ticket }
}

/// Returns whether the vote is granted once everything is durable.
fn votes(mut replica: Replica, now: Duration, to: MemberId, body: PeerMessageBody) -> bool {
    let mut effects = replica.reduce(now, received(to, body));
    effects.extend(replica.reduce(now, persisted(1)));
    grants_vote(&effects)
}

#[gtest]
fn only_the_addressed_incarnation_votes() {
    let candidate_request = || vote_request(0, false);
    expect_true!(votes(
        replica(stored(&[], true), 1),
        LATER,
        member("a"),
        candidate_request()
    ));
    expect_false!(votes(
        replica(stored(&[], true), 2),
        LATER,
        member("a"),
        candidate_request()
    ));
    let fresh = replica(RestoredState::fresh(), 2);
    expect_false!(votes(
        fresh,
        LATER,
        MemberId::new("a", 2),
        candidate_request()
    ));
}

#[gtest]
fn damaged_state_does_not_vote() {
    let damaged = replica(stored(&[], false), 1);
    expect_false!(votes(damaged, LATER, member("a"), vote_request(9, true)));
}

#[gtest]
fn vote_needs_a_log_as_advanced_as_the_voters() {
    let with_log = || replica(stored(&[1, 2, 2], true), 1);
    expect_false!(votes(
        with_log(),
        LATER,
        member("a"),
        vote_request(2, false)
    ));
    expect_true!(votes(
        with_log(),
        LATER,
        member("a"),
        vote_request(3, false)
    ));
}

#[gtest]
fn restarted_voter_respects_a_lease_it_may_have_granted() {
    let restarted = || replica(stored(&[], true), 1);
    expect_false!(votes(
        restarted(),
        START,
        member("a"),
        vote_request(0, false)
    ));
    expect_true!(votes(
        restarted(),
        START,
        member("a"),
        vote_request(0, true)
    ));
}

#[gtest]
fn vote_is_sent_only_once_durable() {
    let mut replica = replica(stored(&[], true), 1);
    let effects = replica.reduce(LATER, received(member("a"), vote_request(0, false)));
    expect_false!(grants_vote(&effects));
    expect_true!(grants_vote(&replica.reduce(LATER, persisted(1))));
}

#[gtest]
fn acknowledgement_is_sent_only_once_durable() {
    let mut replica = replica(stored(&[], true), 1);
    let body = append(0, 0, vec![entry(1, 5)], 0);
    expect_false!(acknowledges(
        &replica.reduce(START, received(member("a"), body))
    ));
    expect_true!(acknowledges(&replica.reduce(START, persisted(1))));
}

#[gtest]
fn failed_persist_halts_the_replica() {
    let mut replica = replica(stored(&[], true), 1);
    replica.reduce(LATER, received(member("a"), vote_request(0, false)));
    let failed = ReplicaEvent::PersistFailed { ticket: 1 };
    expect_that!(replica.reduce(LATER, failed), is_empty());
    expect_that!(replica.reduce(LATER, persisted(1)), is_empty());
    let body = append(0, 0, vec![], 0);
    expect_that!(
        replica.reduce(LATER, received(member("a"), body)),
        is_empty()
    );
}

#[gtest]
fn entries_after_a_snapshot_are_persisted_on_a_slow_disk() {
    let mut replica = replica(stored(&[], true), 1);
    replica.reduce(
        START,
        received(member("a"), append(0, 0, vec![entry(1, 5)], 1)),
    );
    replica.reduce(
        START,
        received(member("a"), append(1, 5, vec![entry(2, 5)], 2)),
    );
    let taken = ReplicaEvent::SnapshotTaken {
        index: 2,
        data: Vec::new(),
    };
    replica.reduce(START, taken);
    replica.reduce(
        START,
        received(member("a"), append(2, 5, vec![entry(3, 5)], 2)),
    );
    let effects = replica.reduce(START, persisted(1));
    let is_persisted = effects.iter().any(|effect| {
        matches!(effect, ReplicaEffect::Persist { entries, snapshot: Some(_), .. }
            if entries.len() == 1 && entries[0].index == 3)
    });
    expect_true!(is_persisted, "{effects:?}");
}

#[gtest]
fn follower_commits_only_up_to_where_the_logs_match() {
    let mut replica = replica(stored(&[1, 1, 1], true), 1);
    replica.reduce(START, received(member("a"), append(1, 1, vec![], 3)));
    expect_that!(replica.commit_index(), eq(1));
}

/// Returns a leader in term 5 whose last entry, the third, is the first of that term.
fn leader() -> Replica {
    let mut replica = replica(stored(&[1, 2], true), 1);
    let granted = PeerMessageBody::PreVoteResponse {
        term: 4,
        asked_term: 5,
        granted: true,
    };
    replica.reduce(LATER, ReplicaEvent::Tick);
    replica.reduce(LATER, received(member("a"), granted));
    replica.reduce(LATER, persisted(1));
    let granted = PeerMessageBody::VoteResponse {
        term: 5,
        granted: true,
    };
    replica.reduce(LATER, received(member("a"), granted));
    replica.reduce(LATER, persisted(2));
    assert_that!(replica.role(), eq(Role::Leader));
    replica
}

fn matched(index: u64) -> ReplicaEvent {
    let response = PeerMessageBody::AppendResponse {
        term: 5,
        sent_at: LATER,
        outcome: AppendOutcome::Matched { index },
    };
    received(member("a"), response)
}

#[gtest]
fn leader_commits_entries_of_former_terms_only_with_one_of_its_own() {
    let mut replica = leader();
    for (index, committed) in [(2, 0), (3, 3)] {
        replica.reduce(LATER, matched(index));
        expect_that!(replica.commit_index(), eq(committed));
    }
}

/// Returns the first tenth of a millisecond at which `holds` is true.
fn first_tenth_ms(holds: impl Fn(Duration) -> bool) -> u32 {
    let tenths = (0..10_000).find(|tenth| holds(Duration::from_micros(100) * *tenth));
    tenths.expect("within a second")
}

#[gtest]
fn lease_ends_before_voters_may_vote_despite_differing_clock_rates() {
    let mut leader = leader();
    leader.reduce(LATER, matched(3));
    expect_true!(leader.has_leader_lease(LATER));
    let lease_end = first_tenth_ms(|after| !leader.has_leader_lease(LATER + after));
    let voter_with_leader = || {
        let mut voter = replica(stored(&[], true), 1);
        voter.reduce(LATER, received(member("a"), append(0, 0, vec![], 0)));
        voter
    };
    let request = || PeerMessageBody::RequestVote {
        term: 6,
        last_index: 9,
        last_term: 5,
        is_transfer: false,
    };
    let grants_again = |after| {
        let mut voter = voter_with_leader();
        let mut effects = voter.reduce(LATER + after, received(member("a"), request()));
        effects.extend((1..3).flat_map(|ticket| voter.reduce(LATER + after, persisted(ticket))));
        grants_vote(&effects)
    };
    let grants_again_at = first_tenth_ms(grants_again);
    let (fast, slow) = (
        100 + CLOCK_RATE_MARGIN_PERCENT,
        100 - CLOCK_RATE_MARGIN_PERCENT,
    );
    expect_that!(lease_end * fast, le(grants_again_at * slow));
}

#[gtest]
fn member_with_a_stuck_disk_stands_for_election_only_once() {
    let mut replica = replica(stored(&[1, 2], true), 1);
    for round in 0..5 {
        replica.reduce(LATER * (round + 1), ReplicaEvent::Tick);
        let granted = PeerMessageBody::PreVoteResponse {
            term: replica.term(),
            asked_term: replica.term() + 1,
            granted: true,
        };
        replica.reduce(LATER * (round + 1), received(member("a"), granted));
    }
    expect_that!(replica.term(), eq(5));
}

fn any_number() -> impl Strategy<Value = u64> {
    prop_oneof![6 => 0..6_u64, 1 => Just(u64::MAX - 1), 1 => Just(u64::MAX)]
}

fn any_body() -> impl Strategy<Value = PeerMessageBody> {
    let numbers = (
        any_number(),
        any_number(),
        any_number(),
        any_number(),
        any::<bool>(),
    );
    (0..10_u8, numbers).prop_map(|(kind, (term, index, other, third, flag))| match kind {
        0 => PeerMessageBody::Hello(Hello {
            status: HelloStatus::Bound(Membership::default()),
            leader: None,
        }),
        1 => PeerMessageBody::PreVote {
            term,
            last_index: index,
            last_term: other,
        },
        2 => PeerMessageBody::PreVoteResponse {
            term,
            asked_term: other,
            granted: flag,
        },
        3 => PeerMessageBody::RequestVote {
            term,
            last_index: index,
            last_term: other,
            is_transfer: flag,
        },
        4 => PeerMessageBody::VoteResponse {
            term,
            granted: flag,
        },
        5 => PeerMessageBody::Append {
            term,
            prev_index: index,
            prev_term: other,
            entries: vec![entry(index.wrapping_add(1), third)],
            commit_index: third,
            sent_at: Duration::MAX,
        },
        6 => PeerMessageBody::AppendResponse {
            term,
            sent_at: Duration::ZERO,
            outcome: if flag {
                AppendOutcome::Matched { index }
            } else {
                AppendOutcome::Conflict {
                    prev_index: index,
                    hint_index: other,
                }
            },
        },
        7 => PeerMessageBody::SnapshotChunk {
            term,
            header: SnapshotHeader {
                last_index: index,
                last_term: other,
                membership: Membership::of_voters([member("a"), member("b")]),
                size_bytes: third,
            },
            offset_bytes: third,
            data: vec![1],
            sent_at: Duration::MAX,
        },
        8 => PeerMessageBody::SnapshotResponse {
            term,
            sent_at: Duration::ZERO,
            last_index: index,
            next_offset_bytes: other,
            is_installed: flag,
        },
        _ => PeerMessageBody::TimeoutNow { term },
    })
}

proptest! {
    #![proptest_config(proptest::prelude::ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(43),
        failure_persistence: None,
        ..Default::default()
    })]

    #[test]
    fn no_message_causes_a_panic(
        bodies in proptest::collection::vec((any_body(), 0..400_u64), 1..40),
    ) {
        let mut replica = replica(stored(&[1, 2], true), 1);
        let mut now = START;
        for (body, step_ms) in bodies {
            now += Duration::from_millis(step_ms);
            let mut effects = replica.reduce(now, received(member("a"), body));
            while let Some(effect) = effects.pop() {
                if let ReplicaEffect::Persist { ticket, .. } = effect {
                    effects.extend(replica.reduce(now, persisted(ticket)));
                }
            }
        }
    }
}
