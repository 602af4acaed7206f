//! Route tables of a site.

use std::path::Path;

use chicory_directory::{SiteAnswer, SiteCall};
use chicory_routes::{RouteTable, RouteTableVersion, parse_route_csv, route_csv};
use serde_json::json;
use snafu::ResultExt;

use crate::client::SiteClient;
use crate::ctl_error::{FileSnafu, RouteFileSnafu, RoutesRefusedSnafu};
use crate::{CtlError, Report};

/// Checks a CSV file; nothing is sent.
///
/// # Errors
///
/// [`CtlError`] with the first fault.
pub fn check_routes(file: &Path) -> Result<Report, CtlError> {
    let table = read_route_file(0, file)?;
    let (routes, services) = (table.routes.len(), table.services.len());
    Ok(Report {
        text: format!("{routes} routes, {services} services, no fault"),
        json: json!({"routes": routes, "services": services}),
    })
}

/// Puts a CSV file in force under a version of the operator's; the highest version wins.
///
/// # Errors
///
/// [`CtlError`] if the file is faulty, or no control VM answers.
pub async fn put_routes(
    client: &SiteClient,
    version: RouteTableVersion,
    file: &Path,
) -> Result<Report, CtlError> {
    let table = read_route_file(version, file)?;
    match client.call(&SiteCall::PutRoutes(table)).await? {
        SiteAnswer::Done => Ok(Report {
            text: format!("version {version} is acknowledged, unless a higher one is in force"),
            json: json!({"version": version}),
        }),
        SiteAnswer::Invalid(fault) => RoutesRefusedSnafu { fault }.fail(),
        other => unexpected_answer(&other),
    }
}

/// Prints the table in force as CSV, or writes it to a file.
///
/// # Errors
///
/// [`CtlError`] if no control VM answers, or the file can't be written.
pub async fn get_routes(client: &SiteClient, file: Option<&Path>) -> Result<Report, CtlError> {
    let table = match client.call(&SiteCall::ReadRoutes).await? {
        SiteAnswer::Routes(table) => table,
        other => return unexpected_answer(&other),
    };
    let origin = "the table in force";
    let csv = route_csv(&table).context(RouteFileSnafu { origin })?;
    let version = table.version;
    let json = json!({"version": version, "csv": csv});
    let text = match file {
        None => csv,
        Some(path) => {
            std::fs::write(path, csv).context(FileSnafu { path })?;
            format!("version {version} is written to {}", path.display())
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
    RoutesRefusedSnafu { fault }.fail()
}
