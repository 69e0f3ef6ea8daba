//! One node of the older proxy: receives invocations on sockets, passes them to the routing policy and carries out its
//! decisions.
//!
//! Layers: `protocol` (parses and encodes messages, no I/O), `transport` (sockets), `routing` (actors; the decision
//! actor owns the policy), `program` (configuration files, start, reload, shutdown).
mod invariant;
mod program;
mod protocol;
mod routing;
mod transport;

use clap::{Parser, Subcommand};
use program::error::NodeError;
use program::operator::OperatorConfig;
use program::reload::ActiveOperatorConfig;
use std::path::PathBuf;
use std::process::ExitCode;
use tokio::runtime::Builder;
use tokio::task::LocalSet;
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};

/// Maximum number of log lines in the write queue, about 200 bytes each.
const MAX_UNWRITTEN_LINES: usize = 4096;
/// Exit code of a node that cannot start, or whose decision actor has ended.
const FAILURE: u8 = 2;

/// Runs one node. The environment variable PROXY_CONFIG names the platform's configuration file
#[derive(Parser)]
#[command(version)]
struct Cli {
    /// The operator's configuration file; without it the node writes a log but no report
    #[arg(long, env = "SPARROUTER_CONFIG", global = true)]
    config: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Serve invocations until SIGTERM or SIGINT (the default command)
    Serve,
    /// Check an operator's configuration file
    Check { file: PathBuf },
    /// Print an operator's configuration file with the defaults filled in
    Show { file: PathBuf },
}

fn serve(operator: ActiveOperatorConfig) -> Result<(), NodeError> {
    let config = program::config::load()?;
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(NodeError::Runtime)?;
    LocalSet::new().block_on(&runtime, program::start::run(config, operator))
}

fn run(cli: Cli) -> Result<(), NodeError> {
    match cli.command {
        Some(Command::Check { file }) => {
            OperatorConfig::load(&file)?;
            println!("{}: can be used", file.display());
            Ok(())
        }
        Some(Command::Show { file }) => {
            print!("{}", OperatorConfig::load(&file)?.to_toml());
            Ok(())
        }
        Some(Command::Serve) | None => serve(ActiveOperatorConfig::load(cli.config)?),
    }
}

/// Initializes the log. A separate thread writes it, so that a blocked standard error can't block the node. Lines
/// beyond [`MAX_UNWRITTEN_LINES`] are dropped. When the guard is dropped, the queued lines have one second to be
/// written.
fn start_log() -> WorkerGuard {
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_UNWRITTEN_LINES)
        .lossy(true)
        .finish(std::io::stderr());
    let environment = env_logger::Env::default().default_filter_or("info");
    env_logger::Builder::from_env(environment)
        .target(env_logger::Target::Pipe(Box::new(writer)))
        .init();
    guard
}

fn main() -> ExitCode {
    let _log = start_log();
    match run(Cli::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("sparrouter-node: {error}");
            ExitCode::from(FAILURE)
        }
    }
}
