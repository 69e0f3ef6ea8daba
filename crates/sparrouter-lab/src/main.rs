//! The lab's command line.
mod commands;

use clap::{Args, Parser, Subcommand};
use commands::{CommandError, Outcome, ProgressLog};
use sparrouter_lab::rollout;
use sparrouter_lab::stand_ins::{defect_proxy, relay};
use std::net::SocketAddr;
use std::process::ExitCode;

#[derive(Parser)]
#[command(
    name = "sparrouter-lab",
    about = "Plays cache servers, origin, discovery, links and clients around real nodes on loopback",
    after_help = "PROGRAM is a node's program, or one of: node (the one built beside this), relay (a bare \
                  forwarder of bytes), direct (no node at all), bad:NAME (a node that does one thing wrong).\n\
                  Exit codes: 0 all rules kept, 1 a rule broken or a run not valid, 2 bad input."
)]
struct Arguments {
    /// Say on standard error how far it is, also where nobody looks
    #[arg(long, short, global = true)]
    verbose: bool,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    Play(commands::play::Arguments),
    Compare(commands::compare::Arguments),
    Sweep(commands::sweep::Arguments),
    Soak(commands::soak::Arguments),
    Changes(commands::changes::Arguments),
    Kills(commands::kills::Arguments),
    Shares(commands::shares::Arguments),
    Report(commands::report::Arguments),
    Check(commands::check::Arguments),
    /// Stand in front of a node and do one thing wrong, for changes in stages
    #[command(hide = true)]
    Plant,
    /// Conduct a change in stages
    #[command(hide = true)]
    Conduct,
    #[command(hide = true)]
    Relay(RelayArguments),
}

/// Forward bytes, for the lab's own baseline
#[derive(Args)]
struct RelayArguments {
    #[arg(long)]
    listen: SocketAddr,
    #[arg(long, value_delimiter = ',')]
    to: Vec<SocketAddr>,
}

fn run(arguments: Arguments) -> Result<Outcome, CommandError> {
    let log = ProgressLog::new(arguments.verbose);
    match arguments.command {
        Command::Play(arguments) => commands::play::run(arguments),
        Command::Compare(arguments) => commands::compare::run(arguments, log),
        Command::Sweep(arguments) => commands::sweep::run(arguments, log),
        Command::Soak(arguments) => commands::soak::run(arguments),
        Command::Changes(arguments) => commands::changes::run(arguments),
        Command::Kills(arguments) => commands::kills::run(arguments),
        Command::Shares(arguments) => commands::shares::run(arguments),
        Command::Report(arguments) => commands::report::run(arguments),
        Command::Check(arguments) => commands::check::run(&arguments),
        Command::Plant => defect_proxy::run()
            .map(|()| Outcome::Passed)
            .map_err(CommandError::DefectProxy),
        Command::Conduct => rollout::conduct()
            .map(|()| Outcome::Passed)
            .map_err(CommandError::Conductor),
        Command::Relay(RelayArguments { listen, to }) => relay::run(listen, &to)
            .map(|()| Outcome::Passed)
            .map_err(|source| CommandError::Relay { listen, source }),
    }
}

fn main() -> ExitCode {
    match run(Arguments::parse()) {
        Ok(outcome) => outcome.into(),
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}
