//! Messages between members are decoded unchanged; truncated or damaged ones don't panic, and
//! incomplete ones are typed errors.

use std::time::Duration;

use chicory_consensus::{
    AppendOutcome, Entry, EntryPayload, HardState, Hello, HelloStatus, MemberId, Membership,
    PeerMessage, PeerMessageBody, SnapshotHeader,
};
use chicory_wire::proto::common;
use chicory_wire::proto::consensus::{self, GroupName};
use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use prost::Message;

fn member() -> impl Strategy<Value = MemberId> {
    ("[a-z-]{1,8}", any::<u64>()).prop_map(|(vm, incarnation)| MemberId::new(vm, incarnation))
}

fn membership() -> impl Strategy<Value = Membership> {
    let voters = proptest::collection::btree_set(member(), 0..4);
    let learners = proptest::collection::btree_set(member(), 0..3);
    (voters, learners).prop_map(|(voters, learners)| Membership { voters, learners })
}

fn entry() -> impl Strategy<Value = Entry> {
    let payload = prop_oneof![
        Just(EntryPayload::Noop),
        any::<Vec<u8>>().prop_map(EntryPayload::Command),
        membership().prop_map(EntryPayload::Membership),
    ];
    (any::<u64>(), any::<u64>(), payload).prop_map(|(index, term, payload)| Entry {
        index,
        term,
        payload,
    })
}

fn hello() -> impl Strategy<Value = HelloStatus> {
    prop_oneof![
        Just(HelloStatus::Joining),
        Just(HelloStatus::Forming),
        Just(HelloStatus::Formed),
        membership().prop_map(HelloStatus::Bound),
    ]
}

fn outcome() -> impl Strategy<Value = AppendOutcome> {
    prop_oneof![
        any::<u64>().prop_map(|index| AppendOutcome::Matched { index }),
        any::<(u64, u64)>().prop_map(|(prev_index, hint_index)| AppendOutcome::Conflict {
            prev_index,
            hint_index,
        }),
    ]
}

fn election_body() -> impl Strategy<Value = PeerMessageBody> {
    let numbers = any::<(u64, u64, u64, bool)>();
    (0..5_u8, numbers).prop_map(|(kind, (term, last_index, last_term, flag))| match kind {
        0 => PeerMessageBody::PreVote {
            term,
            last_index,
            last_term,
        },
        1 => PeerMessageBody::PreVoteResponse {
            term,
            asked_term: last_term,
            granted: flag,
        },
        2 => PeerMessageBody::RequestVote {
            term,
            last_index,
            last_term,
            is_transfer: flag,
        },
        3 => PeerMessageBody::VoteResponse {
            term,
            granted: flag,
        },
        _ => PeerMessageBody::TimeoutNow { term },
    })
}

fn replication_body() -> impl Strategy<Value = PeerMessageBody> {
    let entries = proptest::collection::vec(entry(), 0..4);
    let numbers = any::<(u64, u64, u64, u64, u64)>();
    let parts = (entries, outcome(), membership(), any::<Vec<u8>>());
    (0..4_u8, numbers, parts).prop_map(
        |(kind, (term, index, other, third, nanos), (entries, outcome, membership, data))| {
            let sent_at = Duration::from_nanos(nanos);
            match kind {
                0 => PeerMessageBody::Append {
                    term,
                    prev_index: index,
                    prev_term: other,
                    entries,
                    commit_index: third,
                    sent_at,
                },
                1 => PeerMessageBody::AppendResponse {
                    term,
                    sent_at,
                    outcome,
                },
                2 => PeerMessageBody::SnapshotChunk {
                    term,
                    header: SnapshotHeader {
                        last_index: index,
                        last_term: other,
                        membership,
                        size_bytes: third,
                    },
                    offset_bytes: third,
                    data,
                    sent_at,
                },
                _ => PeerMessageBody::SnapshotResponse {
                    term,
                    sent_at,
                    last_index: index,
                    next_offset_bytes: other,
                    is_installed: third % 2 == 0,
                },
            }
        },
    )
}

fn message() -> impl Strategy<Value = PeerMessage> {
    let body = prop_oneof![
        1 => (hello(), any::<Option<String>>())
            .prop_map(|(status, leader)| PeerMessageBody::Hello(Hello { status, leader })),
        2 => election_body(),
        3 => replication_body(),
    ];
    (any::<u64>(), member(), member(), body).prop_map(|(group_epoch, from, to, body)| PeerMessage {
        group_epoch,
        from,
        to,
        body,
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(47),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn message_round_trip_is_lossless(message in message()) {
        let encoded = chicory_wire::peer_message(GroupName::Zone, message.clone()).encode_to_vec();
        let decoded = consensus::PeerMessage::decode(&encoded[..]).expect("decodable");
        prop_assert_eq!(PeerMessage::try_from(decoded), Ok(message));
    }

    #[test]
    fn damaged_message_does_not_panic(message in message(), at: usize, bits: u8, cut: bool) {
        let mut encoded = chicory_wire::peer_message(GroupName::Zone, message).encode_to_vec();
        let at = at % encoded.len().max(1);
        if cut {
            encoded.truncate(at);
        } else if let Some(byte) = encoded.get_mut(at) {
            *byte ^= bits;
        }
        if let Ok(decoded) = consensus::PeerMessage::decode(&encoded[..]) {
            let _ = PeerMessage::try_from(decoded);
        }
    }

    #[test]
    fn hard_state_round_trip_is_lossless(term: u64, voted_for in proptest::option::of(member())) {
        let state = HardState { term, voted_for };
        let message = consensus::HardState::from(state.clone());
        prop_assert_eq!(HardState::try_from(message), Ok(state));
    }
}

#[gtest]
fn message_without_its_parts_is_a_typed_error() {
    let empty = consensus::PeerMessage::default();
    expect_that!(PeerMessage::try_from(empty), err(anything()));
}

/// A hello of an earlier release, which names no leader.
#[derive(Clone, PartialEq, prost::Message)]
struct EarlierHello {
    #[prost(message, optional, tag = "4")]
    formed: Option<common::Empty>,
}

#[gtest]
fn hellos_of_earlier_releases_name_no_leader_and_they_read_those_of_today() {
    let earlier = EarlierHello {
        formed: Some(common::Empty {}),
    };
    let decoded = consensus::Hello::decode(&earlier.encode_to_vec()[..]).expect("a message");
    expect_that!(decoded.leader, none());
    expect_that!(decoded.status, some(anything()));
    let today = consensus::Hello {
        leader: Some("vm-a".into()),
        ..decoded
    };
    let read = EarlierHello::decode(&today.encode_to_vec()[..]).expect("a message");
    expect_that!(read, eq(&earlier));
}
