//! Announcements of backend servers that have left, which arrive late.

use std::net::SocketAddr;
use std::time::Duration;

use chicory_directory::{
    CommandOutcome, RemovalCause, ServerRecord, ServerRemoval, ServerState, SiteCommand, SiteState,
};
use chicory_ranges::ServerIncarnation;
use googletest::prelude::*;

const SERVER: &str = "i-1";

/// Applies commands about one server.
#[derive(Default)]
struct Server {
    state: SiteState,
}

impl Server {
    fn apply(&mut self, command: SiteCommand) -> CommandOutcome {
        let index = self.state.version() + 1;
        self.state.apply(index, command)
    }

    fn announce(&mut self, started_at_ms: u64, state: ServerState) -> CommandOutcome {
        self.apply(SiteCommand::PutServer(ServerRecord {
            incarnation: ServerIncarnation::new(SERVER, started_at_ms),
            service: "archive".into(),
            address: SocketAddr::from(([10, 0, 0, 1], 8000)),
            zone: "north".into(),
            software_version: "v1".into(),
            slots: 4,
            state,
            cold_for: Duration::ZERO,
        }))
    }

    fn remove(&mut self, started_at_ms: u64, cause: RemovalCause) -> CommandOutcome {
        let incarnation = ServerIncarnation::new(SERVER, started_at_ms);
        self.apply(SiteCommand::RemoveServer(ServerRemoval {
            incarnation,
            cause,
        }))
    }

    fn is_known(&self) -> bool {
        self.state.server(SERVER).is_some()
    }
}

/// Guards against a server that gets requests after its departure, because its first announcement
/// arrives after that.
#[gtest]
fn server_that_left_before_its_first_announcement_stays_out() {
    let mut server = Server::default();
    server.remove(0, RemovalCause::Left);
    expect_that!(
        server.announce(0, ServerState::Ready),
        eq(&CommandOutcome::Stale)
    );
    expect_that!(server.is_known(), eq(false));
}

/// Guards against a server that gets requests after its departure, because the directory knew only an
/// earlier start of it.
#[gtest]
fn departure_of_a_later_start_covers_that_start() {
    let mut server = Server::default();
    server.announce(1, ServerState::Ready);
    server.remove(2, RemovalCause::Left);
    expect_that!(server.is_known(), eq(false));
    for started_at_ms in [1, 2] {
        let outcome = server.announce(started_at_ms, ServerState::Ready);
        expect_that!(outcome, eq(&CommandOutcome::Stale), "{started_at_ms}");
    }
    server.announce(3, ServerState::Ready);
    expect_that!(server.is_known(), eq(true));
}

/// Guards against a server that gets requests after its departure, because it was removed as
/// unresponsive before.
#[gtest]
fn unresponsive_server_that_left_stays_out() {
    let mut server = Server::default();
    server.announce(1, ServerState::Ready);
    server.remove(1, RemovalCause::Silent);
    server.remove(1, RemovalCause::Left);
    expect_that!(
        server.announce(1, ServerState::Ready),
        eq(&CommandOutcome::Stale)
    );
}

/// Guards against a draining server that becomes ready again, because it was removed as unresponsive
/// before an older announcement arrives.
#[gtest]
fn draining_server_that_became_unresponsive_stays_out() {
    let mut server = Server::default();
    server.announce(1, ServerState::Ready);
    server.announce(1, ServerState::Draining);
    server.remove(1, RemovalCause::Silent);
    expect_that!(
        server.announce(1, ServerState::Ready),
        eq(&CommandOutcome::Stale)
    );
}

#[gtest]
fn unresponsive_server_may_announce_itself_again() {
    let mut server = Server::default();
    server.announce(1, ServerState::Ready);
    server.remove(1, RemovalCause::Silent);
    server.announce(1, ServerState::Ready);
    expect_that!(server.is_known(), eq(true));
}

#[gtest]
fn late_departure_of_an_earlier_start_changes_nothing() {
    let mut server = Server::default();
    server.announce(2, ServerState::Ready);
    let outcome = server.remove(1, RemovalCause::Left);
    expect_that!(outcome, eq(&CommandOutcome::Unchanged));
    expect_that!(server.is_known(), eq(true));
    server.remove(2, RemovalCause::Left);
    server.remove(1, RemovalCause::Left);
    expect_that!(
        server.announce(2, ServerState::Ready),
        eq(&CommandOutcome::Stale)
    );
}
