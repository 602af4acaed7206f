//! Runs the command that was given on the command line.

use std::path::{Path, PathBuf};
use std::time::Duration;

use chicory_net::tls::{PeerRole, TlsFiles};
use chicory_settings::SettingsReader;
use chicory_types::Revision;
use clap::ArgMatches;
use serde_json::json;
use snafu::ResultExt;

use crate::client::{ControlClient, PeerClient, PeerClientSettings, SiteClient};
use crate::command::{
    AuditQuery, EditOptions, Editor, IssueRequest, audit, begin_evacuation, check_routes, drain,
    evict_zone, explain, export_table, finish_evacuation, get_routes, get_table, import_table,
    init_authority, issue_certificate, list_evacuations, owner, put_routes, remove_row, set_row,
    show_zone, status, wait_until_in_force,
};
use crate::ctl_error::FileSnafu;
use crate::{CtlError, EditHistory, ExitStatus, OutputFormat, Report};

/// The longest validity of a certificate, in days.
const MAX_VALID_DAYS: u64 = 36_500;
const HOURS_PER_DAY: u64 = 24;
/// The longest time that `--timeout-ms` and `--wait-timeout-ms` may set, in milliseconds.
const MAX_WAIT_MS: u64 = 3_600_000;

/// Runs the command in `matches`, prints its report or error, and returns the exit status of the
/// program.
pub async fn run(matches: &ArgMatches) -> ExitStatus {
    let (command_matches, _) = innermost_command(matches);
    let mut reader = SettingsReader::new(command_matches);
    let format = reader.choice("output", &["text", "json"]);
    let result = match reader.finish(format) {
        Ok(_) => run_command(matches).await,
        Err(source) => Err(source.into()),
    };
    let format = format.unwrap_or_default();
    match result {
        Ok(report) => {
            println!("{}", report.render(format));
            ExitStatus::Done
        }
        Err(error) => {
            print_failure(&error, format);
            error.exit_status()
        }
    }
}

fn print_failure(error: &CtlError, format: OutputFormat) {
    match format {
        OutputFormat::Text => eprintln!("chicoryctl: {error}"),
        OutputFormat::Json => {
            let code = error.exit_status().code();
            eprintln!("{}", json!({"error": error.to_string(), "exit_code": code}));
        }
    }
}

/// Returns the arguments of the innermost subcommand, and the names of the subcommands that lead to
/// it.
fn innermost_command(matches: &ArgMatches) -> (&ArgMatches, Vec<&str>) {
    let mut path = Vec::new();
    let mut command_matches = matches;
    while let Some((name, inner)) = command_matches.subcommand() {
        path.push(name);
        command_matches = inner;
    }
    (command_matches, path)
}

async fn run_command(matches: &ArgMatches) -> Result<Report, CtlError> {
    let (command_matches, path) = innermost_command(matches);
    match path.as_slice() {
        ["ca", "init"] => run_ca_init(command_matches),
        ["ca", "issue"] => run_ca_issue(command_matches),
        ["routes", "check"] => check_routes(Path::new(text_argument(command_matches, "file"))),
        ["routes", action] => run_routes(command_matches, action).await,
        ["evacuation", action] => run_evacuation(command_matches, action).await,
        ["explain"] => {
            let files = command_matches
                .get_many::<String>("files")
                .into_iter()
                .flatten();
            let files: Vec<PathBuf> = files.map(PathBuf::from).collect();
            explain(text_argument(command_matches, "request"), &files)
        }
        path => run_with_client(command_matches, path).await,
    }
}

async fn run_evacuation(matches: &ArgMatches, action: &str) -> Result<Report, CtlError> {
    let client = site_client(matches)?;
    match action {
        "begin" => begin_evacuation(&client, text_argument(matches, "zone")).await,
        "finish" => finish_evacuation(&client, text_argument(matches, "zone")).await,
        _ => list_evacuations(&client).await,
    }
}

/// Returns the client for the control VMs named by `--site`.
fn site_client(matches: &ArgMatches) -> Result<SiteClient, CtlError> {
    let mut reader = SettingsReader::new(matches);
    let site_addresses = matches.get_many::<String>("site").into_iter().flatten();
    let mut control_vms = Vec::new();
    for site_address in site_addresses {
        match site_address.parse() {
            Ok(address) => control_vms.push(address),
            Err(_) => reader.fault(
                "site",
                Some(site_address.clone()),
                "an IP address and a port",
            ),
        }
    }
    let client = SiteClient {
        control_vms,
        operator: reader.optional_text("operator").unwrap_or_default(),
        timeout: reader.millis("timeout-ms", 1..=MAX_WAIT_MS),
    };
    Ok(reader.finish(client)?)
}

async fn run_routes(matches: &ArgMatches, action: &str) -> Result<Report, CtlError> {
    let client = site_client(matches)?;
    let file = matches.get_one::<String>("file").map(Path::new);
    match (action, file, matches.try_get_one::<u64>("routes-version")) {
        ("put", Some(file), Ok(Some(version))) => put_routes(&client, *version, file).await,
        _ => get_routes(&client, file).await,
    }
}

fn run_ca_init(matches: &ArgMatches) -> Result<Report, CtlError> {
    let mut reader = SettingsReader::new(matches);
    let validity = validity(&mut reader);
    let authority_folder = PathBuf::from(text_argument(matches, "dir"));
    init_authority(&authority_folder, reader.finish(validity)?)
}

fn run_ca_issue(matches: &ArgMatches) -> Result<Report, CtlError> {
    let mut reader = SettingsReader::new(matches);
    let role = reader.choice("role", &["entry", "control", "operator"]);
    let authority_folder = PathBuf::from(text_argument(matches, "dir"));
    let request = IssueRequest {
        output_folder: reader
            .optional_path("out")
            .unwrap_or(authority_folder.clone()),
        authority_folder,
        role: role.unwrap_or(PeerRole::Operator),
        name: reader.name("name"),
        validity: validity(&mut reader),
    };
    issue_certificate(&reader.finish(request)?)
}

fn validity(reader: &mut SettingsReader<'_>) -> Duration {
    let days = reader.count("valid-days", 1..=MAX_VALID_DAYS);
    Duration::from_hours(days * HOURS_PER_DAY)
}

async fn run_with_client(matches: &ArgMatches, path: &[&str]) -> Result<Report, CtlError> {
    let mut reader = SettingsReader::new(matches);
    let history_path = reader.optional_path("history");
    let settings = client_settings(&mut reader);
    let settings = reader.finish(settings)?;
    let history = open_history(&settings, history_path.as_deref())?;
    let client = PeerClient::new(&settings)?;
    let editor = Editor::new(&client, &history);
    match path {
        ["table", "get"] => get_table(&client).await,
        ["table", "export"] => {
            let file = matches.get_one::<String>("file");
            export_table(&client, file.map(Path::new)).await
        }
        ["table", "status"] => status(&client, &history).await,
        ["table", edit_command] => run_edit(matches, edit_command, &editor).await,
        ["drain"] => run_edit(matches, "drain", &editor).await,
        ["zone", "show"] => show_zone(&client).await,
        ["zone", _] => run_evict(matches, &client).await,
        ["owner"] => {
            owner(
                &client,
                text_argument(matches, "service"),
                text_argument(matches, "owned-key"),
            )
            .await
        }
        _ => run_audit(matches, &client).await,
    }
}

fn client_settings(reader: &mut SettingsReader<'_>) -> PeerClientSettings {
    PeerClientSettings {
        cluster: reader.name("cluster"),
        operator: reader.name("operator"),
        control: reader.addresses_by_vm("control"),
        tls: TlsFiles {
            ca: reader.readable_file("ca"),
            certificate: reader.readable_file("cert"),
            key: reader.readable_file("key"),
        },
        timeout: reader.millis("timeout-ms", 1..=MAX_WAIT_MS),
    }
}

fn open_history(
    settings: &PeerClientSettings,
    path: Option<&Path>,
) -> Result<EditHistory, CtlError> {
    let history = EditHistory::open(&settings.operator, path);
    history.context(FileSnafu {
        path: path.unwrap_or(Path::new("")),
    })
}

async fn run_edit(
    matches: &ArgMatches,
    edit_command: &str,
    editor: &Editor<'_>,
) -> Result<Report, CtlError> {
    let mut reader = SettingsReader::new(matches);
    let options = EditOptions {
        edit_id: reader.optional_text("edit-id"),
        base_revision: base_revision(&mut reader),
    };
    let wait_timeout = reader.millis("wait-timeout-ms", 1..=MAX_WAIT_MS);
    let options = reader.finish(options)?;
    let revision = match edit_command {
        "set" => {
            let changes = matches.get_many::<String>("changes").unwrap_or_default();
            let changes: Vec<String> = changes.cloned().collect();
            let (service, server) = (
                text_argument(matches, "service"),
                text_argument(matches, "server"),
            );
            set_row(editor, service, server, &changes, options).await?
        }
        "remove" => {
            let (service, server) = (
                text_argument(matches, "service"),
                text_argument(matches, "server"),
            );
            remove_row(editor, service, server, options).await?
        }
        "drain" => {
            let (service, server) = (
                text_argument(matches, "service"),
                text_argument(matches, "server"),
            );
            drain(editor, service, server, matches.get_flag("undo"), options).await?
        }
        _ => import_table(editor, Path::new(text_argument(matches, "file")), options).await?,
    };
    if matches.get_flag("wait") {
        let (client, history) = (editor.client(), editor.history());
        let mut print_progress = |line: &str| eprintln!("{line}");
        wait_until_in_force(client, history, revision, wait_timeout, &mut print_progress).await?;
    }
    Ok(Report {
        text: format!("accepted as revision {revision}\n"),
        json: json!({"revision": revision}),
    })
}

fn base_revision(reader: &mut SettingsReader<'_>) -> Option<Revision> {
    reader.optional_text("base-revision")?;
    Some(reader.count("base-revision", 0..=Revision::MAX))
}

async fn run_evict(matches: &ArgMatches, client: &dyn ControlClient) -> Result<Report, CtlError> {
    let edit_id = matches.get_one::<String>("edit-id").cloned();
    let is_confirmed = matches.get_flag("yes");
    evict_zone(
        client,
        text_argument(matches, "zone"),
        edit_id,
        is_confirmed,
    )
    .await
}

async fn run_audit(matches: &ArgMatches, client: &dyn ControlClient) -> Result<Report, CtlError> {
    let mut reader = SettingsReader::new(matches);
    let query = AuditQuery {
        operator: reader.optional_text("by"),
        from_sequence: reader.count("from", 0..=u64::MAX),
        limit: reader.count("limit", 1..=u32::MAX),
    };
    audit(client, reader.finish(query)?).await
}

fn text_argument<'a>(matches: &'a ArgMatches, name: &str) -> &'a str {
    matches
        .get_one::<String>(name)
        .map(String::as_str)
        .unwrap_or_default()
}
