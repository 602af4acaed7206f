//! Orders in flight.

use std::path::Path;

use chicory_standin::check::CheckReport;
use chicory_standin::history::HistoryEvent;
use chicory_standin::load::CallOutcome;
use uuid::Uuid;

use super::failure_run::{FailureRun, KEY, expect};
use super::server_failures::ONE_ZONE;
use crate::RunnerError;
use crate::caller_side::order_call;
use crate::child_process::Signal;
use crate::services::ORDERS;

/// Time of an order, long enough to be killed within.
const SERVICE_TIME: &str = "600ms";
/// Resends of the order.
const RESENDS: usize = 6;

/// An order whose server was killed within it is never run again, and no caller is told that it
/// didn't run.
pub async fn server_killed(binaries: &Path) -> Result<CheckReport, RunnerError> {
    let run = FailureRun::start(ONE_ZONE, binaries, SERVICE_TIME).await?;
    let addresses = run.cluster.caller_addresses(None);
    let probe = order_call(ORDERS, KEY, &Uuid::new_v4().to_string());
    run.caller.until_good(&addresses, &probe).await?;
    let order = order_call(ORDERS, KEY, &Uuid::new_v4().to_string());
    let (first, server) = tokio::join!(run.caller.send(&addresses[0], &order), async {
        let start = run.until_event(HistoryEvent::RunStart, &order).await?;
        let server = start.who.trim_start_matches("server:").to_owned();
        let group = &run.cluster.standins[&server];
        group.process.signal(Signal::Kill).await?;
        Ok::<String, RunnerError>(server)
    });
    println!("  killed {} within the order", server?);
    let is_unknown = first.outcome == CallOutcome::Unknown;
    expect(is_unknown, "an unknown outcome", format!("{first:?}"))?;
    for turn in 1..=RESENDS {
        let address = &addresses[turn % addresses.len()];
        let result = run.caller.send(address, &order).await;
        let is_unknown = result.outcome == CallOutcome::Unknown;
        expect(
            is_unknown,
            "an unknown outcome of the resend",
            format!("{result:?}"),
        )?;
    }
    run.finish(None).await
}
