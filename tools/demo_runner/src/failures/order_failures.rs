//! Failures while an order is in flight.

use std::path::Path;

use chicory_standin::check::CheckReport;
use chicory_standin::history::HistoryEvent;
use chicory_standin::load::CallOutcome;
use uuid::Uuid;

use super::failure_run::{FailureRun, KEY, expect};
use super::server_failures::ONE_ZONE;
use crate::RunnerError;
use crate::child_process::Signal;
use crate::run_caller::order_call;
use crate::services::ORDERS;

/// Time in which a server runs an order, long enough to kill the server meanwhile.
const SERVICE_TIME: &str = "600ms";
/// Number of resends of the order.
const RESENDS: usize = 6;

/// An order whose server was killed while it ran is never run again, and no answer says that it did
/// not run.
pub async fn server_killed(binaries: &Path) -> Result<CheckReport, RunnerError> {
    let run = FailureRun::start(ONE_ZONE, binaries, SERVICE_TIME).await?;
    let addresses = run.cluster.caller_addresses(None);
    let probe = order_call(ORDERS, KEY, &Uuid::new_v4().to_string());
    run.caller.wait_for_good_answer(&addresses, &probe).await?;
    let order = order_call(ORDERS, KEY, &Uuid::new_v4().to_string());
    let (first, server) = tokio::join!(run.caller.send(&addresses[0], &order), async {
        let start = run.wait_for_event(HistoryEvent::RunStart, &order).await?;
        let server = start.who.trim_start_matches("server:").to_owned();
        let group = &run.cluster.standins[&server];
        group.process.signal(Signal::Kill).await?;
        Ok::<String, RunnerError>(server)
    });
    println!("  killed {} while it ran the order", server?);
    let is_unknown = first.outcome == CallOutcome::Unknown;
    expect(is_unknown, "an unknown outcome", format!("{first:?}"))?;
    for resend in 1..=RESENDS {
        let address = &addresses[resend % addresses.len()];
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
