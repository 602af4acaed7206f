//! The services of the deployments, their route table and their stand-in servers.

use std::path::{Path, PathBuf};

use snafu::ResultExt;

use crate::RunnerError;
use crate::deployment::{Cluster, DeploymentSize, StandinConfig};
use crate::runner_error::FileSnafu;

/// The keyed service, whose servers check fencing tokens.
pub const ARCHIVE: &str = "archive";
/// The service that runs orders, which aren't idempotent.
pub const ORDERS: &str = "orders";
/// The service whose requests any of its servers may answer.
pub const BUNDLES: &str = "bundles";
/// Number of servers of the keyed service in each zone.
pub const ARCHIVE_SERVERS: usize = 2;

/// Writes the table of the services for the zones of `size`, imports it and waits until it is in
/// force.
///
/// # Errors
///
/// [`RunnerError`] if the table isn't in force everywhere in time.
pub async fn put_table_in_force(
    cluster: &Cluster,
    size: DeploymentSize,
) -> Result<(), RunnerError> {
    let path = write_table(cluster.folder(), size)?;
    let file = path.display().to_string();
    let import = ["table", "import", &file, "--wait"];
    cluster.operator.run(&import).await.map(|_| ())
}

fn write_table(folder: &Path, size: DeploymentSize) -> Result<PathBuf, RunnerError> {
    let zones: Vec<&str> = size.zone_names().collect();
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

/// Header line of the table.
const TABLE_HEAD: &str = "service,server,weight,max_in_flight,max_connections,queue_limit,\
    rate_limit_per_s,keyed,idempotent,deadline_ms,custody_lease_ms,zones";

/// Starts the stand-in servers of one zone, each in a process of its own.
///
/// # Errors
///
/// [`RunnerError`] if a process doesn't start.
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

/// Creates the settings of a stand-in process with one server.
pub fn standin(service: &str, zone: &str, number: usize, checks_grants: bool) -> StandinConfig {
    StandinConfig {
        name: format!("{service}-{zone}-{number}"),
        service: service.to_owned(),
        zone: zone.to_owned(),
        count: 1,
        checks_grants,
        service_time: "2ms".to_owned(),
    }
}
