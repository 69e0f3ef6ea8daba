//! The program `sparrouter`: a process of the fleet or the operators' client, by subcommand.
use simplelog::LevelFilter;
use sparrouter_fleet::client::{self, ClientError, Command, FleetCommand, commands};
use sparrouter_fleet::platform::log_buffer::LogBuffer;
use sparrouter_fleet::platform::net::Sockets;
use sparrouter_fleet::process::run::{Role, run};
use sparrouter_fleet::settings::{ProcessSettings, VARIABLE};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::runtime::{Builder, Runtime};
use tokio::task::LocalSet;

fn runtime() -> Result<Runtime, String> {
    let built = Builder::new_current_thread().enable_all().build();
    built.map_err(|e| format!("no runtime ({e}): free descriptors and memory of this machine"))
}

/// Runs a process of the fleet until it is told to end.
fn serve(role: Role, metrics_port: Option<u16>) -> Result<(), String> {
    let log_buffer = LogBuffer::install(LevelFilter::Info);
    log_buffer.dump_on_panic();
    let mut boot = ProcessSettings::load().map_err(|e| e.to_string())?;
    boot.listen.metrics = metrics_port.map(|port| SocketAddr::new(boot.ip, port));
    let local = LocalSet::new();
    let ended = local.block_on(
        &runtime()?,
        run(
            role,
            boot,
            log_buffer,
            Rc::new(Sockets),
            fastrand::Rng::new(),
        ),
    );
    ended.map_err(|e| e.to_string())
}

/// Carries out a command that calls the fleet.
fn call_fleet(
    command: &FleetCommand,
    addresses: Vec<SocketAddr>,
    patience: Duration,
    out: &mut commands::Output,
) -> Result<(), ClientError> {
    let runtime = runtime().map_err(|e| ClientError::Output(std::io::Error::other(e)))?;
    runtime.block_on(client::run(
        command,
        addresses,
        patience,
        Rc::new(Sockets),
        out,
    ))
}

/// Prints the settings of a process.
fn show(file: Option<PathBuf>, out: &mut commands::Output) -> Result<(), ClientError> {
    let path = match file {
        Some(path) => path,
        None => std::env::var_os(VARIABLE)
            .ok_or(sparrouter_fleet::settings::SettingsError::NoVariable)?
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
            // Asking for help is no error; anything else is invalid input.
            return ExitCode::from(if failure.exit_code() == 0 { 0 } else { 2 });
        }
    };
    let done = match command {
        Command::Run { role, metrics_port } => {
            return match serve(role, metrics_port) {
                Ok(()) => ExitCode::SUCCESS,
                Err(text) => {
                    eprintln!("sparrouter: {text}");
                    ExitCode::from(2)
                }
            };
        }
        Command::Fleet {
            command,
            addresses,
            patience_s,
        } => call_fleet(
            &command,
            addresses,
            Duration::from_secs(patience_s),
            &mut out,
        ),
        Command::Check { file, against } => commands::check(&file, against.as_deref(), &mut out),
        Command::Show { file } => show(file, &mut out),
    };
    let done = done.and_then(|()| out.result.flush().map_err(ClientError::Output));
    match done {
        Ok(()) => ExitCode::SUCCESS,
        // The reader of a pipe, such as `head`, has read enough.
        Err(ClientError::Output(why)) if why.kind() == std::io::ErrorKind::BrokenPipe => {
            ExitCode::SUCCESS
        }
        Err(why) => {
            eprintln!("sparrouter: {why}");
            ExitCode::from(why.exit_code())
        }
    }
}
