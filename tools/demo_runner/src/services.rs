//! The services of the runs and their table.

use std::path::{Path, PathBuf};

use snafu::ResultExt;

use crate::RunnerError;
use crate::deployment::{Cluster, Shape, StandinShape};
use crate::runner_error::FileSnafu;

/// The keyed service, whose servers check fencing tokens.
pub const ARCHIVE: &str = "archive";
/// The service of orders, which aren't idempotent.
pub const ORDERS: &str = "orders";
/// The service that any server may answer.
pub const BUNDLES: &str = "bundles";
/// Servers of the keyed service in each zone.
pub const ARCHIVE_SERVERS: usize = 2;

/// Writes the table of the services for the zones of `shape` and puts it in force.
///
/// # Errors
///
/// [`RunnerError`] if it isn't in force everywhere in time.
pub async fn put_table_in_force(cluster: &Cluster, shape: Shape) -> Result<(), RunnerError> {
    let path = write_table(cluster.folder(), shape)?;
    let file = path.display().to_string();
    let import = ["table", "import", &file, "--wait"];
    cluster.operator.run(&import).await.map(|_| ())
}

fn write_table(folder: &Path, shape: Shape) -> Result<PathBuf, RunnerError> {
    let zones: Vec<&str> = shape.zone_names().collect();
    let zones = zones.join(";");
    let csv = format!(
        "{TABLE_HEAD}\n{ARCHIVE},*,100,0,0,64,0,true,true,2000,unlimited,{zones}\n\
        {ORDERS},*,100,0,0,64,0,false,false,2000,unlimited,{zones}\n\
        {BUNDLES},*,100,0,0,64,0,false,true,2000,unlimited,{zones}\n"
    );
    let path = folder.join("table.csv");
    std::fs::write(&path, csv).context(FileSnafu { path: &path })?;
    Ok(path)
}

/// Columns of the table.
const TABLE_HEAD: &str = "service,server,weight,max_in_flight,max_connections,queue_limit,\
    rate_limit_per_s,keyed,idempotent,deadline_ms,custody_lease_ms,zones";

/// Starts the stand-ins of one zone: a process for each server.
///
/// # Errors
///
/// [`RunnerError`] if one doesn't start.
pub async fn start_standins(cluster: &mut Cluster, zone: &str) -> Result<(), RunnerError> {
    for number in 1..=ARCHIVE_SERVERS {
        let archive = standin(ARCHIVE, zone, number, true);
        cluster.start_standin(archive).await?;
    }
    cluster
        .start_standin(standin(ORDERS, zone, 1, false))
        .await?;
    cluster
        .start_standin(standin(BUNDLES, zone, 1, false))
        .await
}

/// A stand-in process with one server.
pub fn standin(service: &str, zone: &str, number: usize, checks_grants: bool) -> StandinShape {
    StandinShape {
        name: format!("{service}-{zone}-{number}"),
        service: service.to_owned(),
        zone: zone.to_owned(),
        count: 1,
        checks_grants,
        service_time: "2ms".to_owned(),
    }
}
