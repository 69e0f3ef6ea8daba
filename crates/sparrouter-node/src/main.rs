//! A real node: takes invocations on sockets, asks the decision module, carries out what it says.
//!
//! By layer: `protocol` (bytes to messages, no I/O), `transport` (sockets), `routing` (actors, one of
//! them the owner of the decisions), `program` (start, stop, configuration).
mod invariant;
mod program;
mod protocol;
mod routing;
mod transport;

use clap::{Parser, Subcommand};
use program::operator::Operator;
use program::reload::InForce;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

/// One node. What the platform tells it stands in the file that PROXY_CONFIG names.
#[derive(Parser)]
#[command(version)]
struct Cli {
    /// The operator's file; without one the node says nothing of itself but its log
    #[arg(long, env = "SPARROUTER_CONFIG", global = true)]
    config: Option<PathBuf>,
    #[command(subcommand)]
    what: Option<What>,
}

#[derive(Subcommand)]
enum What {
    /// Take invocations until told to stop (also without a word)
    Serve,
    /// Say whether an operator's file can be used
    Check { file: PathBuf },
    /// Say what an operator's file comes to, with all that it leaves out
    Show { file: PathBuf },
}

fn serve(operator: InForce) -> Result<(), String> {
    let config = program::config::load()?;
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| e.to_string())?;
    LocalSet::new().block_on(&runtime, program::start::run(config, operator))
}

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let cli = Cli::parse();
    let read = |file: &Path| Operator::load(file);
    let done = match cli.what {
        Some(What::Check { file }) => {
            read(&file).map(|_| println!("{}: can be used", file.display()))
        }
        Some(What::Show { file }) => read(&file).map(|o| print!("{}", o.shown())),
        Some(What::Serve) | None => InForce::load(cli.config).and_then(serve),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => {
            eprintln!("sparrouter-node: {text}");
            ExitCode::from(2)
        }
    }
}
