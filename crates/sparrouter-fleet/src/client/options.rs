//! The command line: the subcommands that run a process, and the operators' commands.
use crate::settings::Role;
use bpaf::{OptionParser, Parser, construct, long, positional, pure};
use std::net::SocketAddr;
use std::path::PathBuf;

/// A parsed command line.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Run a process of the fleet.
    Run {
        /// Role of the process.
        role: Role,
        /// Port on the machine's address at which the process serves metrics; `None` if it serves none.
        metrics_port: Option<u16>,
    },
    /// Call the fleet.
    Fleet {
        /// The command to execute.
        command: FleetCommand,
        /// Addresses of the nodes to call; if empty, the addresses in the settings file.
        addresses: Vec<SocketAddr>,
        /// Time for which the call is retried, in seconds.
        retry_timeout_s: u64,
    },
    /// Check a configuration without calling the fleet.
    Check {
        /// A complete configuration, or a patch.
        file: PathBuf,
        /// The configuration that a patch changes.
        against: Option<PathBuf>,
    },
    /// Print the settings of a process.
    Show {
        /// The settings file; if `None`, the environment variable SPARROUTER_BOOT names it.
        file: Option<PathBuf>,
    },
}

/// A command that calls the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetCommand {
    /// Print the configuration in force.
    Get,
    /// Replace the configuration.
    Put {
        /// The new configuration.
        file: PathBuf,
        /// The version that the change builds on; `None` if it builds on the version in force.
        if_match: Option<u64>,
    },
    /// Change items of the configuration.
    Patch {
        /// The patch.
        file: PathBuf,
        /// The version that the change builds on; `None` if it builds on the version in force.
        if_match: Option<u64>,
    },
    /// Name new weights of a model.
    NameVersion {
        /// The model.
        model: String,
        /// The version of the weights, 1 or more.
        version: u64,
    },
    /// Print the status of nodes.
    Status {
        /// Show the status of all nodes, not only of the first node that answers.
        all: bool,
        /// Print JSON in place of tables.
        json: bool,
    },
    /// Print one tenant's quota over all nodes.
    Quota {
        /// Name of the tenant.
        tenant: String,
        /// Print JSON in place of tables.
        json: bool,
    },
}

/// Longest time for which a call may be retried, in seconds.
const MAX_RETRY_TIMEOUT_S: u64 = 3_600;

/// A command-line argument that is not a valid address.
#[derive(Debug, thiserror::Error)]
#[error("{0} is not an address such as 10.1.0.21:8683")]
struct InvalidAddress(String);

fn parse_addresses(text: &str) -> Result<Vec<SocketAddr>, InvalidAddress> {
    let parse = |address: &str| {
        let parsed = address.trim().parse();
        parsed.map_err(|_| InvalidAddress(address.to_owned()))
    };
    text.split(',').map(parse).collect()
}

fn addresses_option() -> impl Parser<Vec<SocketAddr>> {
    long("at")
        .help("control_plane addresses to ask, in this order; without it the seeds of the settings file")
        .argument::<String>("ADDR[,ADDR..]")
        .parse(|text| parse_addresses(&text))
        .fallback(Vec::new())
}

fn retry_timeout() -> impl Parser<u64> {
    long("patience")
        .help(
            "retry the unchanged call until the answer is definite, for this many seconds (default 10)",
        )
        .argument::<u64>("S")
        .guard(
            |s| (1..=MAX_RETRY_TIMEOUT_S).contains(s),
            "give 1 to 3600 seconds",
        )
        .fallback(10)
}

/// Adds the options that are common to all commands that call the fleet.
fn fleet_command(command: impl Parser<FleetCommand>) -> impl Parser<Command> {
    let (addresses, retry_timeout_s) = (addresses_option(), retry_timeout());
    construct!(Command::Fleet {
        addresses,
        retry_timeout_s,
        command
    })
}

fn if_match() -> impl Parser<Option<u64>> {
    long("if-match")
        .help("the version that the change builds on (0: none yet); by default the version in force, which is read first")
        .argument::<u64>("N")
        .optional()
}

fn file(help: &'static str) -> impl Parser<PathBuf> {
    positional::<PathBuf>("FILE").help(help)
}

/// Builds a subcommand with its help text.
fn subcommand(
    name: &'static str,
    about: &'static str,
    parser: impl Parser<Command> + 'static,
) -> impl Parser<Command> {
    parser.to_options().descr(about).command(name).help(about)
}

fn config_get() -> impl Parser<Command> {
    subcommand(
        "get",
        "Print the configuration in force",
        fleet_command(pure(FleetCommand::Get)),
    )
}

fn config_put() -> impl Parser<Command> {
    let (if_match, file) = (if_match(), file("a whole configuration, JSON"));
    let put = construct!(FleetCommand::Put { if_match, file });
    subcommand(
        "put",
        "Replace the configuration by a whole one",
        fleet_command(put),
    )
}

fn config_patch() -> impl Parser<Command> {
    let if_match = if_match();
    let file = file("version, upsert_items and remove_names, JSON");
    let patch = construct!(FleetCommand::Patch { if_match, file });
    subcommand(
        "patch",
        "Add, replace and remove items of the configuration",
        fleet_command(patch),
    )
}

fn config_check() -> impl Parser<Command> {
    let against = long("against")
        .help("a configuration that FILE would change, as `config get` printed it")
        .argument::<PathBuf>("FILE")
        .optional();
    let file = file("a whole configuration, or a patch with --against");
    let check = construct!(Command::Check { against, file });
    subcommand(
        "check",
        "Check a configuration or a patch here, without asking the fleet",
        check,
    )
}

fn config() -> impl Parser<Command> {
    let (get, put, patch, check) = (config_get(), config_put(), config_patch(), config_check());
    let about = "Read, change and check the operators' configuration";
    construct!([get, put, patch, check])
        .to_options()
        .descr(about)
        .command("config")
        .help(about)
}

fn version_put() -> impl Parser<Command> {
    let model = positional::<String>("MODEL").help("its name in the configuration");
    let version = positional::<u64>("VERSION").help("1 or more, above those named before");
    let name_version = construct!(FleetCommand::NameVersion { model, version });
    subcommand(
        "version-put",
        "Name new weights: the fleet brings every server of the model to them",
        fleet_command(name_version),
    )
}

fn status() -> impl Parser<Command> {
    let all = long("all")
        .help("ask every node that serves control_plane, not only the first")
        .switch();
    let json = long("json")
        .help("the nodes' own JSON, one node a line")
        .switch();
    let status = construct!(FleetCommand::Status { all, json });
    subcommand(
        "status",
        "The status of nodes, and the nodes and servers that they know",
        fleet_command(status),
    )
}

fn quota() -> impl Parser<Command> {
    let json = long("json").help("one JSON object").switch();
    let tenant = positional::<String>("TENANT").help("its name in the configuration");
    let quota = construct!(FleetCommand::Quota { json, tenant });
    subcommand(
        "quota",
        "A tenant's quota over all nodes: its limit, the lease holders, and the refusals by node",
        fleet_command(quota),
    )
}

fn show() -> impl Parser<Command> {
    let file = positional::<PathBuf>("FILE")
        .help("a settings file")
        .optional();
    let show = construct!(Command::Show { file });
    subcommand(
        "show",
        "The settings of a process as they are read, with defaults filled in",
        show,
    )
}

/// Builds a subcommand that runs a process.
fn process(name: &'static str, role: Role, help: &'static str) -> impl Parser<Command> {
    let metrics_port = long("metrics-port")
        .argument::<u16>("PORT")
        .help("serve the metrics of this process as text at http://ADDRESS:PORT/metrics")
        .optional();
    let role = pure(role);
    subcommand(name, help, construct!(Command::Run { role, metrics_port }))
}

/// The parser of the command line.
pub fn command() -> OptionParser<Command> {
    let proxy = process(
        "proxy",
        Role::Proxy,
        "Serve clients; also servers and operators if the settings have a control_plane address",
    );
    let control = process(
        "control",
        Role::Control,
        "Serve servers and operators, and keep the control state",
    );
    let (config, version_put, status) = (config(), version_put(), status());
    let (quota, show) = (quota(), show());
    construct!([proxy, control, config, version_put, status, quota, show])
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("A router fleet: its processes, and the operators' client")
}
