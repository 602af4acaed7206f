//! The steps of the demonstration.

use std::path::PathBuf;

use snafu::{OptionExt, ensure};
use tokio::time::Instant;
use uuid::Uuid;

use crate::RunnerError;
use crate::deployment::{Cluster, DeploymentSize, Vm};
use crate::run_caller::{GoodAnswer, RunCaller, key_call, order_call};
use crate::runner_error::UnexpectedSnafu;
use crate::services::{ARCHIVE, BUNDLES, ORDERS, put_table_in_force, start_standins};

/// Keys that are requested.
const KEYS: [&str; 4] = ["horn-1", "horn-2", "horn-3", "horn-4"];

/// Settings of the demonstration.
#[derive(Clone, Debug)]
pub struct DemoSettings {
    /// Size of the deployment.
    pub size: DeploymentSize,
    /// Folder that holds the programs.
    pub binaries: PathBuf,
}

/// Runs the demonstration and prints its outcomes.
///
/// # Errors
///
/// [`RunnerError`] if an outcome differs from the expected one.
pub async fn run_demo(settings: DemoSettings) -> Result<(), RunnerError> {
    let start = Instant::now();
    let mut demo = Demo::start(settings).await?;
    println!("started in {} ms", start.elapsed().as_millis());
    demo.send_keyed_requests().await?;
    demo.send_bundle_request().await?;
    demo.order_and_resend().await?;
    demo.kill_server().await?;
    demo.kill_entry().await?;
    demo.finish().await
}

struct Demo {
    cluster: Cluster,
    caller: RunCaller,
}

impl Demo {
    async fn start(settings: DemoSettings) -> Result<Self, RunnerError> {
        let size = settings.size;
        let mut cluster = Cluster::start(size, &settings.binaries).await?;
        put_table_in_force(&cluster, size).await?;
        for vm in cluster.entries(None) {
            cluster.wait_ready(&vm.name).await?;
        }
        for zone in size.zone_names() {
            start_standins(&mut cluster, zone).await?;
        }
        let history = cluster.new_history("caller");
        let caller = RunCaller::new("demo", &history)?;
        Ok(Self { cluster, caller })
    }

    async fn send_keyed_requests(&self) -> Result<(), RunnerError> {
        for (index, key) in KEYS.iter().enumerate() {
            let vm = self.entry(index)?;
            let addresses = [vm.listen.to_string()];
            let answer = self.wait_for_good_answer(ARCHIVE, key, &addresses).await?;
            println!(
                "key {key} through {}: answered by {} after {} ms, {} sends",
                vm.name,
                answer.server,
                answer.waited.as_millis(),
                answer.sends
            );
        }
        self.check_owner_through_all_entries(KEYS[0]).await
    }

    /// Checks that the same owner answers through every entry VM.
    async fn check_owner_through_all_entries(&self, key: &str) -> Result<(), RunnerError> {
        let mut owner: Option<String> = None;
        for vm in self.cluster.entries(None) {
            let address = vm.listen.to_string();
            let answer = self.wait_for_good_answer(ARCHIVE, key, &[address]).await?;
            let expected = owner.get_or_insert_with(|| answer.server.clone());
            ensure!(
                answer.server == *expected,
                UnexpectedSnafu {
                    expected: format!("{expected} as the owner of {key} through {}", vm.name),
                    found: answer.server,
                }
            );
        }
        println!(
            "key {key} has the owner {} through every entry VM",
            owner.unwrap_or_default()
        );
        Ok(())
    }

    async fn send_bundle_request(&self) -> Result<(), RunnerError> {
        let addresses = self.cluster.caller_addresses(None);
        let answer = self
            .wait_for_good_answer(BUNDLES, "firmware-7", &addresses)
            .await?;
        println!("bundle firmware-7: answered by {}", answer.server);
        Ok(())
    }

    async fn order_and_resend(&self) -> Result<(), RunnerError> {
        let order_key = Uuid::new_v4().to_string();
        let order = order_call(ORDERS, "horn-1", &order_key);
        let (first, other) = (self.entry(0)?, self.last_entry()?);
        let ran = self
            .caller
            .wait_for_good_answer(&[first.listen.to_string()], &order)
            .await?;
        println!("order through {}: run by {}", first.name, ran.server);
        let address = other.listen.to_string();
        let resent = self.caller.wait_for_good_answer(&[address], &order).await?;
        ensure!(
            resent.server == ran.server,
            UnexpectedSnafu {
                expected: format!("the stored answer of {}", ran.server),
                found: resent.server,
            }
        );
        println!(
            "order resent through {}: the same answer after {} sends, not run again",
            other.name, resent.sends
        );
        Ok(())
    }

    async fn kill_server(&mut self) -> Result<(), RunnerError> {
        let key = KEYS[0];
        let addresses = self.cluster.caller_addresses(None);
        let before = self.wait_for_good_answer(ARCHIVE, key, &addresses).await?;
        self.cluster.kill_standin(&before.server).await?;
        let after = self.wait_for_good_answer(ARCHIVE, key, &addresses).await?;
        ensure!(
            after.server != before.server,
            UnexpectedSnafu {
                expected: "another owner after the loss of the server",
                found: &after.server,
            }
        );
        println!(
            "killed backend server {}: next good answer for {key} after {} ms from {}",
            before.server,
            after.waited.as_millis(),
            after.server
        );
        Ok(())
    }

    /// Kills the entry VM that dispatches to a key's owner. Does nothing if the zone has a single
    /// entry VM, as no other one could replace it.
    async fn kill_entry(&mut self) -> Result<(), RunnerError> {
        let key = KEYS[1];
        let Some(dispatcher) = self.dispatcher_with_successor(key).await? else {
            println!("no entry VM is killed: its zone has only one");
            return Ok(());
        };
        self.cluster.kill_process(&dispatcher).await?;
        let addresses = self.cluster.caller_addresses(None);
        let after = self.wait_for_good_answer(ARCHIVE, key, &addresses).await?;
        println!(
            "killed entry VM {dispatcher}, the dispatcher of {key}: next good answer after {} ms \
             from {}",
            after.waited.as_millis(),
            after.server
        );
        Ok(())
    }

    async fn dispatcher_with_successor(&self, key: &str) -> Result<Option<String>, RunnerError> {
        let owner = self.cluster.owner(ARCHIVE, key).await?;
        let dispatcher = owner.get("dispatcher").and_then(|name| name.as_str());
        let dispatcher = dispatcher.with_context(|| UnexpectedSnafu {
            expected: format!("a dispatcher of {key}"),
            found: owner.to_string(),
        })?;
        let zone = &self.cluster.vm(dispatcher)?.zone;
        let has_successor = self.cluster.entries(Some(zone)).len() > 1;
        Ok(has_successor.then(|| dispatcher.to_owned()))
    }

    async fn finish(mut self) -> Result<(), RunnerError> {
        self.cluster.stop().await?;
        println!("stopped every process as planned, each with exit code 0");
        let check_result = self.cluster.check_clean(&[ARCHIVE])?;
        ensure!(
            check_result.refused_sends_of_run_orders == 0,
            UnexpectedSnafu {
                expected: "no order that had run to be refused as not run",
                found: check_result.refused_sends_of_run_orders.to_string(),
            }
        );
        println!(
            "history: {} runs; no key had two owners, no order ran twice or was refused as not \
             run after it had run",
            check_result.runs
        );
        Ok(())
    }

    async fn wait_for_good_answer(
        &self,
        service: &str,
        key: &str,
        addresses: &[String],
    ) -> Result<GoodAnswer, RunnerError> {
        self.caller
            .wait_for_good_answer(addresses, &key_call(service, key))
            .await
    }

    fn entry(&self, index: usize) -> Result<Vm, RunnerError> {
        let entries = self.cluster.entries(None);
        let vm = entries.get(index % entries.len().max(1)).cloned();
        vm.with_context(missing_entry_error)
    }

    fn last_entry(&self) -> Result<Vm, RunnerError> {
        let vm = self.cluster.entries(None).pop();
        vm.with_context(missing_entry_error)
    }
}

fn missing_entry_error() -> UnexpectedSnafu<&'static str, &'static str> {
    UnexpectedSnafu {
        expected: "an entry VM",
        found: "none",
    }
}
