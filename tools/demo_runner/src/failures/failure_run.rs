//! The run of a failure case.

use std::path::Path;
use std::time::Duration;

use chicory_standin::check::CheckReport;
use chicory_standin::history::{HistoryEvent, HistoryRecord};
use chicory_standin::load::Call;
use snafu::{OptionExt, ensure};
use uuid::Uuid;

use super::background_load::BackgroundLoad;
use crate::deployment::{Cluster, DeploymentSize, StandinConfig};
use crate::run_caller::{GoodAnswer, RunCaller, SETTLE_TIMEOUT, key_call, order_call};
use crate::runner_error::UnexpectedSnafu;
use crate::services::{ARCHIVE, ORDERS, put_table_in_force, standin};
use crate::{RunnerError, wait};

/// Number of good answers to the load that show that the deployment serves requests.
const GOOD_CALLS_AFTERWARDS: u64 = 200;
/// The key whose owner or dispatcher fails.
pub const KEY: &str = "k1";

/// The deployment of a failure case, with a caller.
#[derive(Debug)]
pub struct FailureRun {
    /// The deployment.
    pub cluster: Cluster,
    /// A caller.
    pub caller: RunCaller,
}

impl FailureRun {
    /// Starts a deployment with stand-ins in every zone, which serve a request in `service_time`.
    ///
    /// # Errors
    ///
    /// [`RunnerError`] if it doesn't start.
    pub async fn start(
        size: DeploymentSize,
        binaries: &Path,
        service_time: &str,
    ) -> Result<Self, RunnerError> {
        let mut cluster = Cluster::start(size, binaries).await?;
        put_table_in_force(&cluster, size).await?;
        for vm in cluster.entries(None) {
            cluster.wait_ready(&vm.name).await?;
        }
        for zone in size.zone_names() {
            for config in standins(zone, service_time) {
                cluster.start_standin(config).await?;
            }
        }
        wait_until_settled(&cluster).await?;
        let history = cluster.new_history("caller");
        let caller = RunCaller::new("case", &history)?;
        Ok(Self { cluster, caller })
    }

    /// Starts load on all running entry processes and waits for good answers.
    ///
    /// # Errors
    ///
    /// [`RunnerError`] if the history can't be opened, or there are too few good answers in time.
    pub async fn start_load(&mut self) -> Result<BackgroundLoad, RunnerError> {
        let history = self.cluster.new_history("load");
        let load = BackgroundLoad::start(&self.cluster.caller_addresses(None), &history)?;
        wait_for_good_calls(&load).await?;
        Ok(load)
    }

    /// Waits for a good answer for `key` through any running entry process.
    ///
    /// # Errors
    ///
    /// [`RunnerError::TimedOut`] with the last result.
    pub async fn wait_for_good_answer(&self, key: &str) -> Result<GoodAnswer, RunnerError> {
        let addresses = self.cluster.caller_addresses(None);
        self.caller
            .wait_for_good_answer(&addresses, &key_call(ARCHIVE, key))
            .await
    }

    /// Returns the field `name` of the answer of `chicoryctl owner` for `key`.
    ///
    /// # Errors
    ///
    /// [`RunnerError`] if the answer has no such field.
    pub async fn owner_field(&self, key: &str, name: &str) -> Result<String, RunnerError> {
        let owner = self.cluster.owner(ARCHIVE, key).await?;
        let field = owner.get(name).and_then(|field| field.as_str());
        let field = field.with_context(|| UnexpectedSnafu {
            expected: format!("a {name} of {key}"),
            found: owner.to_string(),
        })?;
        Ok(field.to_owned())
    }

    /// Waits until a stand-in has written an event of `call` to its history.
    ///
    /// # Errors
    ///
    /// [`RunnerError::TimedOut`] if there is no such event in time.
    pub async fn wait_for_event(
        &self,
        event: HistoryEvent,
        call: &Call,
    ) -> Result<HistoryRecord, RunnerError> {
        let what = format!("{event:?} of {}/{}", call.service, call.key);
        wait::until(&what, SETTLE_TIMEOUT, async || {
            let histories = self.cluster.standins.values().map(|group| &group.history);
            let text = histories.filter_map(|path| std::fs::read_to_string(path).ok());
            find_event(&text.collect::<String>(), event, call).ok_or("no such event".to_owned())
        })
        .await
    }

    /// Waits until the load is served again, stops all processes as planned and checks the
    /// histories.
    ///
    /// # Errors
    ///
    /// [`RunnerError`] if the load isn't served, a process doesn't stop, or a history contains a
    /// violation.
    pub async fn finish(
        mut self,
        load: Option<BackgroundLoad>,
    ) -> Result<CheckReport, RunnerError> {
        if let Some(load) = load {
            wait_for_good_calls(&load).await?;
            load.stop().await;
        }
        self.cluster.stop().await?;
        let check_result = self.cluster.check_histories(&[ARCHIVE])?;
        println!("  {}", summary(&check_result));
        self.cluster.check_clean(&[ARCHIVE])
    }
}

/// Waits until every entry process serves both services. Errors during the start are not part of
/// the failure, so these requests go to a history that is not checked.
async fn wait_until_settled(cluster: &Cluster) -> Result<(), RunnerError> {
    let unchecked_history = cluster.folder().join("settling.jsonl");
    let caller = RunCaller::new("settling", &unchecked_history)?;
    let addresses = cluster.caller_addresses(None);
    for address in addresses {
        let order_key = Uuid::new_v4().to_string();
        for call in [key_call(ARCHIVE, KEY), order_call(ORDERS, KEY, &order_key)] {
            caller
                .wait_for_good_answer(std::slice::from_ref(&address), &call)
                .await?;
        }
    }
    Ok(())
}

/// Returns the settings of the stand-ins of one zone.
fn standins(zone: &str, service_time: &str) -> Vec<StandinConfig> {
    let names = [(ARCHIVE, 1), (ARCHIVE, 2), (ORDERS, 1), (ORDERS, 2)];
    let config = |(service, number)| StandinConfig {
        service_time: service_time.to_owned(),
        ..standin(service, zone, number, service == ARCHIVE)
    };
    names.map(config).to_vec()
}

async fn wait_for_good_calls(load: &BackgroundLoad) -> Result<(), RunnerError> {
    let enough = load.good_calls() + GOOD_CALLS_AFTERWARDS;
    wait::until("good answers to the load", SETTLE_TIMEOUT, async || {
        let good_calls = load.good_calls();
        if good_calls >= enough {
            Ok(())
        } else {
            Err(format!("{good_calls} of {enough}"))
        }
    })
    .await
}

fn find_event(text: &str, event: HistoryEvent, call: &Call) -> Option<HistoryRecord> {
    let records = text.lines().rev();
    let records = records.filter_map(|line| serde_json::from_str::<HistoryRecord>(line).ok());
    let is_selected = |record: &HistoryRecord| {
        record.event == event
            && record.key.as_ref() == Some(&call.key)
            && record.order_key == call.order_key
    };
    records.into_iter().find(is_selected)
}

/// Returns an error with `expected` and `found` unless `holds`.
///
/// # Errors
///
/// [`RunnerError::Unexpected`] if `holds` is false.
pub fn expect(
    holds: bool,
    expected: impl Into<String>,
    found: impl Into<String>,
) -> Result<(), RunnerError> {
    ensure!(holds, UnexpectedSnafu { expected, found });
    Ok(())
}

/// Prints the time after a failure until the next good answer.
pub fn print_waited(what: &str, waited: Duration) {
    println!("  {what}: next good answer after {} ms", waited.as_millis());
}

fn summary(check_result: &CheckReport) -> String {
    let services = check_result.services.iter().map(|(service, figures)| {
        format!(
            "; {service} {:?} {:?}, a key unavailable for {} ms at most",
            figures.outcomes, figures.reasons, figures.longest_unavailable_ms
        )
    });
    let services: Vec<String> = services.collect();
    format!(
        "{} runs{}; {} refused sends of orders that had run",
        check_result.runs,
        services.concat(),
        check_result.refused_sends_of_run_orders
    )
}
