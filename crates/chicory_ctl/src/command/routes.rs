//! The `routes` commands, which check, read and replace the route table of a site.

use std::path::Path;

use chicory_directory::{SiteAnswer, SiteCall};
use chicory_routes::{RouteTable, RouteTableVersion, parse_route_csv, route_csv};
use serde_json::json;
use snafu::ResultExt;

use crate::client::SiteClient;
use crate::ctl_error::{FileSnafu, RouteFileSnafu, RoutesRejectedSnafu};
use crate::{CtlError, Report};

/// Checks a route table in a CSV file without sending it.
///
/// # Errors
///
/// Returns a [`CtlError`] with the first fault in the file, or if the file can't be read.
pub fn check_routes(file: &Path) -> Result<Report, CtlError> {
    let table = read_route_file(0, file)?;
    let (routes, services) = (table.routes.len(), table.services.len());
    Ok(Report {
        text: format!("{routes} routes, {services} services, no faults"),
        json: json!({"routes": routes, "services": services}),
    })
}

/// Puts the route table of a CSV file in force under a version that the operator chooses.
///
/// The table with the highest version stays in force. A table whose version is lower than or equal
/// to the one in force is acknowledged without any effect.
///
/// # Errors
///
/// Returns a [`CtlError`] if the file is invalid or can't be read, the site rejects the table, or
/// no control VM answers.
pub async fn put_routes(
    client: &SiteClient,
    version: RouteTableVersion,
    file: &Path,
) -> Result<Report, CtlError> {
    let table = read_route_file(version, file)?;
    match client.call(&SiteCall::PutRoutes(table)).await? {
        SiteAnswer::Done => Ok(Report {
            text: format!(
                "version {version} was acknowledged; it is in force unless a higher version is"
            ),
            json: json!({"version": version}),
        }),
        SiteAnswer::Invalid(fault) => RoutesRejectedSnafu { fault }.fail(),
        other => unexpected_answer(&other),
    }
}

/// Returns the route table in force as CSV, or writes it to `file` if one is given.
///
/// # Errors
///
/// Returns a [`CtlError`] if no control VM answers or the file can't be written.
pub async fn get_routes(client: &SiteClient, file: Option<&Path>) -> Result<Report, CtlError> {
    let table = match client.call(&SiteCall::ReadRoutes).await? {
        SiteAnswer::Routes(table) => table,
        other => return unexpected_answer(&other),
    };
    let origin = "the route table in force";
    let csv = route_csv(&table).context(RouteFileSnafu { origin })?;
    let version = table.version;
    let json = json!({"version": version, "csv": csv});
    let text = match file {
        None => csv,
        Some(path) => {
            std::fs::write(path, csv).context(FileSnafu { path })?;
            format!("version {version} was written to {}", path.display())
        }
    };
    Ok(Report { text, json })
}

fn read_route_file(version: RouteTableVersion, path: &Path) -> Result<RouteTable, CtlError> {
    let text = std::fs::read_to_string(path).context(FileSnafu { path })?;
    let origin = path.display().to_string();
    parse_route_csv(version, &text).context(RouteFileSnafu { origin })
}

fn unexpected_answer(answer: &SiteAnswer) -> Result<Report, CtlError> {
    let fault = format!("unexpected answer {answer:?}");
    RoutesRejectedSnafu { fault }.fail()
}
