//! The command line: roles of a process, and what an operator asks.
use crate::run::Role;
use bpaf::{OptionParser, Parser, construct, long, positional, pure};
use std::net::SocketAddr;
use std::path::PathBuf;

/// What to do, and where.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Be a process of the fleet.
    Run(Role),
    /// Ask the fleet.
    Ask {
        ask: Ask,
        at: Vec<SocketAddr>,
        patience_s: u64,
    },
    /// Check a configuration without a fleet.
    Check {
        file: PathBuf,
        against: Option<PathBuf>,
    },
    /// Settings as they are read; without a file, those that SPARROUTER_BOOT names.
    Show { file: Option<PathBuf> },
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ask {
    Get,
    Put {
        file: PathBuf,
        if_match: Option<u64>,
    },
    Patch {
        file: PathBuf,
        if_match: Option<u64>,
    },
    NameVersion {
        model: String,
        version: u64,
    },
    Status {
        all: bool,
        json: bool,
    },
}

/// Longest time, in seconds, that a call is repeated.
const MOST_PATIENCE_S: u64 = 3_600;

fn addresses(text: String) -> Result<Vec<SocketAddr>, String> {
    let one = |word: &str| {
        word.trim()
            .parse()
            .map_err(|_| format!("{word} is not an address such as 10.1.0.21:8683"))
    };
    text.split(',').map(one).collect()
}

fn at() -> impl Parser<Vec<SocketAddr>> {
    long("at")
        .help("control_plane addresses to ask, in this order; without it the seeds of the settings file")
        .argument::<String>("ADDR[,ADDR..]")
        .parse(addresses)
        .fallback(Vec::new())
}

fn patience() -> impl Parser<u64> {
    long("patience")
        .help("repeat the call unchanged for so long until the answer is clear (seconds, 10 unless told)")
        .argument::<u64>("S")
        .guard(|s| (1..=MOST_PATIENCE_S).contains(s), "give 1 to 3600 seconds")
        .fallback(10)
}

fn asking(ask: impl Parser<Ask>) -> impl Parser<Command> {
    let (at, patience_s) = (at(), patience());
    construct!(at, patience_s, ask).map(|(at, patience_s, ask)| Command::Ask {
        ask,
        at,
        patience_s,
    })
}

fn if_match() -> impl Parser<Option<u64>> {
    long("if-match")
        .help("the version that this builds on (0: none yet); without it the one in force is read first")
        .argument::<u64>("N")
        .optional()
}

fn file(about: &'static str) -> impl Parser<PathBuf> {
    positional::<PathBuf>("FILE").help(about)
}

fn named(
    name: &'static str,
    about: &'static str,
    parser: impl Parser<Command> + 'static,
) -> impl Parser<Command> {
    parser.to_options().descr(about).command(name).help(about)
}

fn config() -> impl Parser<Command> {
    let get = named(
        "get",
        "Print the configuration in force",
        asking(pure(Ask::Get)),
    );
    let put = {
        let (if_match, file) = (if_match(), file("a whole configuration, JSON"));
        let ask = construct!(if_match, file).map(|(if_match, file)| Ask::Put { file, if_match });
        named(
            "put",
            "Replace the configuration by a whole one",
            asking(ask),
        )
    };
    let patch = {
        let (if_match, file) = (
            if_match(),
            file("version, upsert_items and remove_names, JSON"),
        );
        let ask = construct!(if_match, file).map(|(if_match, file)| Ask::Patch { file, if_match });
        named(
            "patch",
            "Add, replace and remove items of the configuration",
            asking(ask),
        )
    };
    let check = {
        let against = long("against")
            .help("a configuration that FILE would change, as `config get` printed it")
            .argument::<PathBuf>("FILE")
            .optional();
        let file = file("a whole configuration, or a patch with --against");
        let check =
            construct!(against, file).map(|(against, file)| Command::Check { file, against });
        named(
            "check",
            "Check a configuration or a patch here, without asking the fleet",
            check,
        )
    };
    let about = "Read, change and check the operators' configuration";
    construct!([get, put, patch, check])
        .to_options()
        .descr(about)
        .command("config")
        .help(about)
}

/// The whole command line.
pub fn command() -> OptionParser<Command> {
    let proxy = named(
        "proxy",
        "Take clients; also servers and operators where the settings say so",
        pure(Command::Run(Role::Proxy)),
    );
    let control = named(
        "control",
        "Take servers and operators, and keep the control state",
        pure(Command::Run(Role::Control)),
    );
    let config = config();
    let version_put = {
        let model = positional::<String>("MODEL").help("its name in the configuration");
        let version = positional::<u64>("VERSION").help("1 or more, above those named before");
        let ask =
            construct!(model, version).map(|(model, version)| Ask::NameVersion { model, version });
        named(
            "version-put",
            "Name new weights: the fleet brings every server of the model to them",
            asking(ask),
        )
    };
    let status = {
        let all = long("all")
            .help("ask every node that serves control_plane, not the first alone")
            .switch();
        let json = long("json")
            .help("the nodes' own JSON, one node a line")
            .switch();
        let ask = construct!(all, json).map(|(all, json)| Ask::Status { all, json });
        named(
            "status",
            "What nodes say of themselves, of one another and of the servers",
            asking(ask),
        )
    };
    let show = {
        let file = positional::<PathBuf>("FILE")
            .help("a settings file")
            .optional();
        let show = construct!(file).map(|file| Command::Show { file });
        named(
            "show",
            "The settings of a process as they are read, with what is left out filled in",
            show,
        )
    };
    construct!([proxy, control, config, version_put, status, show])
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("A router fleet: its processes, and the operators' client")
}
