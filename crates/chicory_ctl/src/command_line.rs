//! The command line.

use chicory_settings::setting;
use clap::{Arg, ArgAction, Command};

/// What `--help` says of exit codes.
const EXIT_CODES: &str = "\
Exit codes:
  0  done
  1  refused by the cluster, nothing was changed
  2  faulty command line, setting or file, nothing was sent
  3  no control process answered, nothing was changed
  4  it isn't known whether an edit was made; repeat it with the printed --edit-id
  5  an edit was made, but isn't in force in every zone in time";

/// The command line of the program.
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
}

fn connection_args() -> [Arg; 8] {
    [
        setting("cluster", "NAME", "Name of the cluster").default_value("chicory"),
        setting(
            "operator",
            "NAME",
            "Name of the operator in its certificate",
        ),
        setting(
            "control",
            "VM=ADDRESS,...",
            "Control processes, tried in turn; some with a data folder must be among them",
        ),
        setting("ca", "FILE", "Certificate of the cluster's authority, PEM"),
        setting("cert", "FILE", "Certificate of the operator, PEM"),
        setting("key", "FILE", "Private key of the operator, PEM"),
        setting("timeout-ms", "MS", "How long to try, in milliseconds").default_value("5000"),
        setting(
            "history",
            "FILE",
            "File to append edits and their answers to, as JSON lines",
        ),
    ]
}

fn output_arg() -> Arg {
    setting("output", "FORM", "Form of the output: text or json").default_value("text")
}

fn ca_command() -> Command {
    let folder = || setting("dir", "FOLDER", "Folder of the authority").required(true);
    let days = |default| setting("valid-days", "DAYS", "Validity in days").default_value(default);
    Command::new("ca")
        .about("Makes the cluster's certificates")
        .subcommand_required(true)
        .subcommand(
            Command::new("init")
                .about("Makes a new authority")
                .arg(folder())
                .arg(days("3650")),
        )
        .subcommand(
            Command::new("issue")
                .about("Issues a certificate with a new key")
                .arg(folder())
                .arg(setting(
                    "out",
                    "FOLDER",
                    "Folder for the files; that of the authority by default",
                ))
                .arg(
                    setting("role", "ROLE", "What the holder may do")
                        .value_parser(["entry", "control", "operator"])
                        .required(true),
                )
                .arg(setting("name", "NAME", "Name of the VM or of the operator").required(true))
                .arg(days("365")),
        )
}

fn table_command() -> Command {
    Command::new("table")
        .about("Reads and edits the table")
        .subcommand_required(true)
        .subcommand(Command::new("get").about("Prints the table and its revision"))
        .subcommand(
            edit_args(Command::new("set"))
                .about("Sets cells of one row")
                .arg(positional("service", "Service").required(true))
                .arg(positional("server", "Backend server, or * for the service").required(true))
                .arg(
                    positional("changes", "Cells as COLUMN=VALUE")
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
                .about("Replaces the table by a CSV file")
                .arg(positional("file", "CSV file").required(true)),
        )
        .subcommand(
            Command::new("export")
                .about("Writes the table as CSV")
                .arg(positional("file", "CSV file; standard output by default")),
        )
        .subcommand(Command::new("status").about("Tells which revision each zone has in force"))
}

fn drain_command() -> Command {
    edit_args(Command::new("drain"))
        .about("Gives a backend server no new work")
        .arg(positional("service", "Service").required(true))
        .arg(positional("server", "Backend server").required(true))
        .arg(plain_switch("undo", "Gives it work again"))
}

fn zone_command() -> Command {
    Command::new("zone")
        .about("Availability zones")
        .subcommand_required(true)
        .subcommand(Command::new("show").about("Prints the backend servers of the asked zone"))
        .subcommand(
            Command::new("evict")
                .about("Ends a zone's custody of its slots, so that other zones take them over")
                .arg(positional("zone", "Availability zone").required(true))
                .arg(plain_switch(
                    "yes",
                    "Confirms that the zone serves nobody any more",
                ))
                .arg(edit_id_arg()),
        )
}

fn owner_command() -> Command {
    Command::new("owner")
        .about("Tells which backend server owns a key")
        .arg(positional("service", "Service").required(true))
        .arg(
            positional("owned-key", "Key")
                .value_name("key")
                .required(true),
        )
}

fn audit_command() -> Command {
    Command::new("audit")
        .about("Prints the audit trail")
        .arg(setting("by", "NAME", "Only records of this operator"))
        .arg(setting("from", "SEQUENCE", "First sequence number").default_value("0"))
        .arg(setting("limit", "COUNT", "Most records").default_value("100"))
}

fn routes_command() -> Command {
    let site = || {
        setting(
            "site",
            "ADDRESS,...",
            "Addresses of links of the site's control VMs, tried in turn",
        )
        .required(true)
        .value_delimiter(',')
    };
    let file = |help| positional("file", help);
    Command::new("routes")
        .about("Checks, reads and replaces the route table of a site")
        .subcommand_required(true)
        .subcommand(
            Command::new("check")
                .about("Checks a CSV file without sending it")
                .arg(file("CSV file").required(true)),
        )
        .subcommand(
            Command::new("get")
                .about("Writes the table in force as CSV")
                .arg(file("CSV file; standard output by default"))
                .arg(site()),
        )
        .subcommand(
            Command::new("put")
                .about("Replaces the table by a CSV file, unless a higher version is in force")
                .arg(file("CSV file").required(true))
                .arg(
                    setting("routes-version", "NUMBER", "Version of the table")
                        .required(true)
                        .value_parser(clap::value_parser!(u64)),
                )
                .arg(site()),
        )
}

fn explain_command() -> Command {
    Command::new("explain")
        .about("Tells from collected log files why a request ended as it did")
        .arg(positional("request", "Id of the request").required(true))
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
            "Revision that the edit is based on; the current one by default",
        ))
        .arg(plain_switch(
            "wait",
            "Waits until every zone has the edit in force",
        ))
        .arg(
            setting("wait-timeout-ms", "MS", "How long to wait, in milliseconds")
                .default_value("30000"),
        )
}

fn edit_id_arg() -> Arg {
    setting(
        "edit-id",
        "ID",
        "Identifier of an earlier attempt, to repeat it",
    )
}

fn positional(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).help(help)
}

fn plain_switch(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .action(ArgAction::SetTrue)
        .help(help)
}
