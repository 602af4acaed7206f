//! A deployment in which something fails.

use std::path::Path;
use std::time::Duration;

use chicory_standin::check::CheckReport;
use chicory_standin::history::{HistoryEvent, HistoryRecord};
use chicory_standin::load::Call;
use snafu::{OptionExt, ensure};
use uuid::Uuid;

use super::background_load::BackgroundLoad;
use crate::caller_side::{CallerSide, GoodAnswer, SETTLE_TIMEOUT, key_call, order_call};
use crate::deployment::{Cluster, Shape, StandinShape};
use crate::runner_error::UnexpectedSnafu;
use crate::services::{ARCHIVE, ORDERS, put_table_in_force, standin};
use crate::{RunnerError, wait};

/// Good answers after a failure that show that the deployment goes on.
const GOOD_CALLS_AFTERWARDS: u64 = 200;
/// Key that failures are aimed at.
pub const KEY: &str = "k1";

/// A deployment in which something fails.
#[derive(Debug)]
pub struct FailureRun {
    /// The deployment.
    pub cluster: Cluster,
    /// A caller.
    pub caller: CallerSide,
}

impl FailureRun {
    /// Starts a deployment with stand-ins in every zone, which serve a request in `service_time`.
    ///
    /// # Errors
    ///
    /// [`RunnerError`] if it doesn't start.
    pub async fn start(
        shape: Shape,
        binaries: &Path,
        service_time: &str,
    ) -> Result<Self, RunnerError> {
        let mut cluster = Cluster::start(shape, binaries).await?;
        put_table_in_force(&cluster, shape).await?;
        for vm in cluster.entries(None) {
            cluster.wait_ready(&vm.name).await?;
        }
        for zone in shape.zone_names() {
            for shape in standins(zone, service_time) {
                cluster.start_standin(shape).await?;
            }
        }
        settle(&cluster).await?;
        let history = cluster.new_history("caller");
        let caller = CallerSide::new("case", &history)?;
        Ok(Self { cluster, caller })
    }

    /// Starts load on all entry processes that run.
    ///
    /// # Errors
    ///
    /// [`RunnerError`] if the history can't be opened, or nothing is answered.
    pub async fn start_load(&mut self) -> Result<BackgroundLoad, RunnerError> {
        let history = self.cluster.new_history("load");
        let load = BackgroundLoad::start(&self.cluster.caller_addresses(None), &history)?;
        wait_for_good_calls(&load).await?;
        Ok(load)
    }

    /// Waits for a good answer for `key` through any entry process that runs.
    ///
    /// # Errors
    ///
    /// [`RunnerError::TimedOut`] with the last result.
    pub async fn until_good(&self, key: &str) -> Result<GoodAnswer, RunnerError> {
        let addresses = self.cluster.caller_addresses(None);
        self.caller
            .until_good(&addresses, &key_call(ARCHIVE, key))
            .await
    }

    /// The value of `name` in the answer of `chicoryctl owner` for `key`.
    ///
    /// # Errors
    ///
    /// [`RunnerError`] if it has none.
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
    /// [`RunnerError::TimedOut`] if none does.
    pub async fn until_event(
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

    /// Waits until the load goes on, stops everything as planned and judges the run.
    ///
    /// # Errors
    ///
    /// [`RunnerError`] if the load doesn't go on, a process doesn't stop, or the run isn't clean.
    pub async fn finish(
        mut self,
        load: Option<BackgroundLoad>,
    ) -> Result<CheckReport, RunnerError> {
        if let Some(load) = load {
            wait_for_good_calls(&load).await?;
            load.stop().await;
        }
        self.cluster.stop().await?;
        let verdict = self.cluster.verdict(&[ARCHIVE])?;
        println!("  {}", summary(&verdict));
        self.cluster.check_clean(&[ARCHIVE])
    }
}

/// Waits until the first start is over, which is no failure and isn't judged as one.
async fn settle(cluster: &Cluster) -> Result<(), RunnerError> {
    let unjudged = cluster.folder().join("settling.jsonl");
    let caller = CallerSide::new("settling", &unjudged)?;
    let addresses = cluster.caller_addresses(None);
    for address in addresses {
        let order_key = Uuid::new_v4().to_string();
        for call in [key_call(ARCHIVE, KEY), order_call(ORDERS, KEY, &order_key)] {
            caller
                .until_good(std::slice::from_ref(&address), &call)
                .await?;
        }
    }
    Ok(())
}

/// The stand-ins of one zone.
fn standins(zone: &str, service_time: &str) -> Vec<StandinShape> {
    let names = [(ARCHIVE, 1), (ARCHIVE, 2), (ORDERS, 1), (ORDERS, 2)];
    let shape = |(service, number)| StandinShape {
        service_time: service_time.to_owned(),
        ..standin(service, zone, number, service == ARCHIVE)
    };
    names.map(shape).to_vec()
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
    let is_meant = |record: &HistoryRecord| {
        record.event == event
            && record.key.as_ref() == Some(&call.key)
            && record.order_key == call.order_key
    };
    records.into_iter().find(is_meant)
}

/// Fails with `expected` and `found` unless `holds`.
///
/// # Errors
///
/// [`RunnerError::Unexpected`].
pub fn expect(
    holds: bool,
    expected: impl Into<String>,
    found: impl Into<String>,
) -> Result<(), RunnerError> {
    ensure!(holds, UnexpectedSnafu { expected, found });
    Ok(())
}

/// Prints how long callers had no good answer.
pub fn print_waited(what: &str, waited: Duration) {
    println!("  {what}: next good answer after {} ms", waited.as_millis());
}

fn summary(verdict: &CheckReport) -> String {
    let services = verdict.services.iter().map(|(service, figures)| {
        format!(
            "; {service} {:?} {:?}, a key unavailable for {} ms at most",
            figures.outcomes, figures.reasons, figures.longest_unavailable_ms
        )
    });
    let services: Vec<String> = services.collect();
    format!(
        "{} runs{}; {} refused sends of orders that had run",
        verdict.runs,
        services.concat(),
        verdict.refused_sends_of_run_orders
    )
}
