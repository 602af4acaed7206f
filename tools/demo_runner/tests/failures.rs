//! Runs the demonstration and every failure case with the programs of the workspace's own build.
//!
//! `cargo test --workspace` builds the programs. To test this package alone, run
//! `cargo build --workspace --bins` first.

use std::path::Path;
use std::process::Command;
use std::sync::{Condvar, Mutex, PoisonError};

use googletest::prelude::*;

/// Number of concurrent deployments. More would overload small machines.
const MAX_DEPLOYMENTS: usize = 2;

static RUNNING: Mutex<usize> = Mutex::new(0);
static ENDED: Condvar = Condvar::new();

/// Permission to run one of the concurrent deployments; given back when dropped.
struct DeploymentPermit;

impl DeploymentPermit {
    fn acquire() -> Self {
        let running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
        let is_full = |running: &mut usize| *running >= MAX_DEPLOYMENTS;
        let running = ENDED.wait_while(running, is_full);
        *running.unwrap_or_else(PoisonError::into_inner) += 1;
        Self
    }
}

impl Drop for DeploymentPermit {
    fn drop(&mut self) {
        *RUNNING.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        ENDED.notify_one();
    }
}

fn run(args: &[&str]) -> Result<()> {
    let _permit = DeploymentPermit::acquire();
    let runner = Path::new(env!("CARGO_BIN_EXE_demo_runner"));
    let binaries = runner.parent().expect("the path of a program has a folder");
    let mut command = Command::new(runner);
    command.args(args).arg("--binaries").arg(binaries);
    let output = command.output()?;
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    println!("{}{}", text(&output.stdout), text(&output.stderr));
    verify_that!(output.status.success(), eq(true))
}

macro_rules! failure_tests {
    ($($test:ident: $case:literal,)*) => {
        $(
            #[gtest]
            fn $test() -> Result<()> {
                run(&["failures", $case])
            }
        )*
    };
}

failure_tests! {
    a_killed_servers_keys_get_another_owner: "server-killed",
    a_paused_server_does_no_harm_when_it_resumes: "server-paused",
    silent_connections_are_replaced: "server-silent",
    a_request_that_crashes_servers_is_refused: "crashing-request",
    a_killed_dispatcher_is_replaced: "entry-killed",
    a_paused_dispatcher_does_no_harm_when_it_resumes: "entry-paused",
    a_planned_stop_waits_for_requests_in_flight: "entry-stopped",
    loss_of_two_leaders_in_a_row_violates_no_guarantee: "leaders-killed",
    an_isolated_leader_is_replaced: "control-isolated",
    a_lost_data_folder_loses_no_accepted_edit: "data-lost",
    a_zone_that_lost_its_state_keeps_its_table: "zone-memory-lost",
    a_cut_zone_serves_its_own_keys: "zone-cut",
    one_of_two_racing_edits_is_accepted: "operators-race",
    an_order_whose_server_was_killed_is_not_run_again: "order-server-killed",
}

#[gtest]
fn the_demonstration_has_its_expected_outcomes() -> Result<()> {
    run(&["demo", "--controls", "1", "--entries", "2"])
}
