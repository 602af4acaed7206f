//! The definition of the command line.

use chicory_settings::setting;
use clap::{Arg, ArgAction, Command};

/// The exit codes, as `--help` explains them.
const EXIT_CODES: &str = "\
Exit codes:
  0  success
  1  refused by the cluster, nothing was changed
  2  invalid command line, setting or file, nothing was sent
  3  no control process answered, nothing was changed
  4  it isn't known whether an edit was applied; repeat it with the printed --edit-id
  5  an edit was applied, but did not come into force in every zone in time";

/// Returns the definition of the command line.
#[must_use]
pub fn command_line() -> Command {
    Command::new("chicoryctl")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Operates a chicoryshelf cluster")
        .after_help(EXIT_CODES)
        .subcommand_required(true)
        .args(connection_args().map(|arg| arg.global(true).help_heading("Connection")))
        .arg(output_arg().global(true))
        .subcommand(ca_command())
        .subcommand(table_command())
        .subcommand(drain_command())
        .subcommand(zone_command())
        .subcommand(owner_command())
        .subcommand(audit_command())
        .subcommand(explain_command())
        .subcommand(routes_command())
        .subcommand(evacuation_command())
}

fn connection_args() -> [Arg; 8] {
    [
        setting("cluster", "NAME", "Name of the cluster").default_value("chicory"),
        setting(
            "operator",
            "NAME",
            "Name of the operator, as in the operator's certificate",
        ),
        setting(
            "control",
            "VM=ADDRESS,...",
            "Control processes, tried one after another; some must have a data folder",
        ),
        setting(
            "ca",
            "FILE",
            "Certificate of the cluster's certificate authority, in PEM format",
        ),
        setting("cert", "FILE", "Certificate of the operator, in PEM format"),
        setting("key", "FILE", "Private key of the operator, in PEM format"),
        setting(
            "timeout-ms",
            "MS",
            "How long to try to get an answer, in milliseconds",
        )
        .default_value("5000"),
        setting(
            "history",
            "FILE",
            "File to which edits and their answers are appended as JSON lines",
        ),
    ]
}

fn output_arg() -> Arg {
    setting("output", "FORM", "Format of the output: text or json").default_value("text")
}

fn ca_command() -> Command {
    let folder = || setting("dir", "FOLDER", "Folder of the certificate authority").required(true);
    let days = |default| setting("valid-days", "DAYS", "Validity in days").default_value(default);
    Command::new("ca")
        .about("Creates the cluster's certificates")
        .subcommand_required(true)
        .subcommand(
            Command::new("init")
                .about("Creates a new certificate authority")
                .arg(folder())
                .arg(days("3650")),
        )
        .subcommand(
            Command::new("issue")
                .about("Issues a certificate with a new private key")
                .arg(folder())
                .arg(setting(
                    "out",
                    "FOLDER",
                    "Folder for the new files; by default that of the authority",
                ))
                .arg(
                    setting("role", "ROLE", "Role that the certificate grants")
                        .value_parser(["entry", "control", "operator"])
                        .required(true),
                )
                .arg(setting("name", "NAME", "Name of the VM or operator").required(true))
                .arg(days("365")),
        )
}

fn table_command() -> Command {
    Command::new("table")
        .about("Reads and edits the table of weights and limits")
        .subcommand_required(true)
        .subcommand(Command::new("get").about("Prints the table and its revision"))
        .subcommand(
            edit_args(Command::new("set"))
                .about("Sets cells of one row, which is added if it does not exist")
                .arg(positional("service", "Service").required(true))
                .arg(
                    positional("server", "Backend server, or * for the whole service")
                        .required(true),
                )
                .arg(
                    positional("changes", "Cells to set, each as COLUMN=VALUE")
                        .num_args(1..)
                        .required(true),
                ),
        )
        .subcommand(
            edit_args(Command::new("remove"))
                .about("Removes one row")
                .arg(positional("service", "Service").required(true))
                .arg(
                    positional("server", "Backend server, or * for the whole service")
                        .required(true),
                ),
        )
        .subcommand(
            edit_args(Command::new("import"))
                .about("Replaces the whole table with the content of a CSV file")
                .arg(positional("file", "CSV file").required(true)),
        )
        .subcommand(
            Command::new("export")
                .about("Writes the table to a CSV file or to standard output")
                .arg(positional("file", "CSV file; standard output by default")),
        )
        .subcommand(Command::new("status").about("Shows which revision each zone has in force"))
}

fn drain_command() -> Command {
    edit_args(Command::new("drain"))
        .about("Stops sending new work to a backend server")
        .arg(positional("service", "Service").required(true))
        .arg(positional("server", "Backend server").required(true))
        .arg(plain_switch(
            "undo",
            "Resumes sending new work to the backend server",
        ))
}

fn zone_command() -> Command {
    Command::new("zone")
        .about("Shows or evicts an availability zone")
        .subcommand_required(true)
        .subcommand(
            Command::new("show")
                .about("Shows the backend servers of the zone whose control process answers"),
        )
        .subcommand(
            Command::new("evict")
                .about("Ends a zone's custody of its slots, so that other zones can take them over")
                .arg(positional("zone", "Availability zone").required(true))
                .arg(plain_switch(
                    "yes",
                    "Confirms that the zone no longer serves any callers",
                ))
                .arg(edit_id_arg()),
        )
}

fn owner_command() -> Command {
    Command::new("owner")
        .about("Shows which backend server owns a key")
        .arg(positional("service", "Service").required(true))
        .arg(
            positional("owned-key", "Key")
                .value_name("key")
                .required(true),
        )
}

fn audit_command() -> Command {
    Command::new("audit")
        .about("Shows the audit trail")
        .arg(setting(
            "by",
            "NAME",
            "Show only the records of this operator",
        ))
        .arg(setting("from", "SEQUENCE", "First sequence number to show").default_value("0"))
        .arg(setting("limit", "COUNT", "Maximum number of records to show").default_value("100"))
}

fn site() -> Arg {
    setting(
        "site",
        "ADDRESS,...",
        "Link addresses of the site's control VMs, tried one after another",
    )
    .required(true)
    .value_delimiter(',')
}

fn evacuation_command() -> Command {
    let zone = || positional("zone", "Availability zone").required(true);
    Command::new("evacuation")
        .about("Evacuates availability zones of a site, and lists them")
        .subcommand_required(true)
        .subcommand(
            Command::new("begin")
                .about("Orders that nothing more be sent to the zone's servers")
                .arg(zone())
                .arg(site()),
        )
        .subcommand(
            Command::new("finish")
                .about("Orders that the zone's servers be used again")
                .arg(zone())
                .arg(site()),
        )
        .subcommand(
            Command::new("list")
                .about("Lists the zones that are evacuated")
                .arg(site()),
        )
}

fn routes_command() -> Command {
    let file = |help| positional("file", help);
    Command::new("routes")
        .about("Checks, reads and replaces the route table of a site")
        .subcommand_required(true)
        .subcommand(
            Command::new("check")
                .about("Checks a CSV file without sending it to the site")
                .arg(file("CSV file").required(true)),
        )
        .subcommand(
            Command::new("get")
                .about("Writes the route table in force to a CSV file or to standard output")
                .arg(file("CSV file; standard output by default"))
                .arg(site()),
        )
        .subcommand(
            Command::new("put")
                .about(
                    "Replaces the route table with a CSV file, unless a higher version is in force",
                )
                .arg(file("CSV file").required(true))
                .arg(
                    setting(
                        "routes-version",
                        "NUMBER",
                        "Version number of the new route table",
                    )
                    .required(true)
                    .value_parser(clap::value_parser!(u64)),
                )
                .arg(site()),
        )
}

fn explain_command() -> Command {
    Command::new("explain")
        .about("Explains from collected log files why a request was answered or refused")
        .arg(positional("request", "ID of the request").required(true))
        .arg(
            positional("files", "Log files of entry and control VMs")
                .num_args(1..)
                .required(true),
        )
}

fn edit_args(command: Command) -> Command {
    command
        .arg(edit_id_arg())
        .arg(setting(
            "base-revision",
            "REVISION",
            "Revision that the edit is based on; by default the current one",
        ))
        .arg(plain_switch(
            "wait",
            "Waits until the edit is in force in every zone",
        ))
        .arg(
            setting(
                "wait-timeout-ms",
                "MS",
                "Longest time that --wait waits, in milliseconds",
            )
            .default_value("30000"),
        )
}

fn edit_id_arg() -> Arg {
    setting(
        "edit-id",
        "ID",
        "Identifier of an earlier attempt of the same edit, to repeat it safely",
    )
}

fn positional(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).help(help)
}

/// Creates a switch that, unlike [`chicory_settings::switch`], can't be set by an environment
/// variable.
fn plain_switch(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .action(ArgAction::SetTrue)
        .help(help)
}
