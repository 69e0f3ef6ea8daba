//! The program `sparrouter`: a process of the fleet or the operators' client, by subcommand.
use simplelog::LevelFilter;
use sparrouter_fleet::client::{self, ClientError, Command, FleetCommand, commands};
use sparrouter_fleet::platform::log_buffer::LogBuffer;
use sparrouter_fleet::platform::net::Sockets;
use sparrouter_fleet::process::run::{Role, RunError, run};
use sparrouter_fleet::settings::{ProcessSettings, SettingsError, VARIABLE};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::runtime::{Builder, Runtime};
use tokio::task::LocalSet;

/// Why a process of the fleet ends other than by a graceful shutdown.
#[derive(Debug, thiserror::Error)]
enum ServeError {
    #[error(
        "the async runtime cannot be started ({0}): free file descriptors and memory on this machine"
    )]
    Runtime(std::io::Error),
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error(transparent)]
    Run(#[from] RunError),
}

fn runtime() -> std::io::Result<Runtime> {
    Builder::new_current_thread().enable_all().build()
}

/// Runs a process of the fleet until SIGTERM.
fn serve(role: Role, metrics_port: Option<u16>) -> Result<(), ServeError> {
    let log_buffer = LogBuffer::install(LevelFilter::Info);
    log_buffer.dump_on_panic();
    let mut settings = ProcessSettings::load()?;
    settings.listen.metrics = metrics_port.map(|port| SocketAddr::new(settings.ip, port));
    let local = LocalSet::new();
    let runtime = runtime().map_err(ServeError::Runtime)?;
    local.block_on(
        &runtime,
        run(
            role,
            settings,
            log_buffer,
            Rc::new(Sockets),
            fastrand::Rng::new(),
        ),
    )?;
    Ok(())
}

/// Executes a command that calls the fleet.
fn call_fleet(
    command: &FleetCommand,
    addresses: Vec<SocketAddr>,
    retry_timeout: Duration,
    out: &mut commands::Output,
) -> Result<(), ClientError> {
    let runtime = runtime().map_err(ClientError::Runtime)?;
    runtime.block_on(client::run(
        command,
        addresses,
        retry_timeout,
        Rc::new(Sockets),
        out,
    ))
}

/// Prints the settings of a process.
fn show(file: Option<PathBuf>, out: &mut commands::Output) -> Result<(), ClientError> {
    let path = match file {
        Some(path) => path,
        None => std::env::var_os(VARIABLE)
            .ok_or(SettingsError::NoVariable)?
            .into(),
    };
    let shown = ProcessSettings::show(&path)?;
    out.result
        .write_all(shown.as_bytes())
        .map_err(ClientError::Output)
}

fn main() -> ExitCode {
    let (mut result, mut diagnostics) = (std::io::stdout(), std::io::stderr());
    let mut out = commands::Output {
        result: &mut result,
        diagnostics: &mut diagnostics,
    };
    let command = match client::command().run_inner(bpaf::Args::current_args()) {
        Ok(command) => command,
        Err(failure) => {
            failure.print_message(100);
            // `--help` and `--version` succeed; any other parse failure is invalid input.
            return ExitCode::from(if failure.exit_code() == 0 { 0 } else { 2 });
        }
    };
    let outcome = match command {
        Command::Run { role, metrics_port } => {
            return match serve(role, metrics_port) {
                Ok(()) => ExitCode::SUCCESS,
                Err(error) => {
                    eprintln!("sparrouter: {error}");
                    ExitCode::from(2)
                }
            };
        }
        Command::Fleet {
            command,
            addresses,
            retry_timeout_s,
        } => call_fleet(
            &command,
            addresses,
            Duration::from_secs(retry_timeout_s),
            &mut out,
        ),
        Command::Check { file, against } => commands::check(&file, against.as_deref(), &mut out),
        Command::Show { file } => show(file, &mut out),
    };
    let outcome = outcome.and_then(|()| out.result.flush().map_err(ClientError::Output));
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        // A broken pipe is not an error: its reader, such as `head`, needs no more output.
        Err(ClientError::Output(error)) if error.kind() == std::io::ErrorKind::BrokenPipe => {
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("sparrouter: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}
