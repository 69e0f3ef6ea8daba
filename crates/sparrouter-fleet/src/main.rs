//! The program: a role of the fleet, or the operators' client, by subcommand.
use simplelog::LevelFilter;
use sparrouter_fleet::boot::{Boot, VARIABLE};
use sparrouter_fleet::client::{self, Ask, ClientError, Command, commands};
use sparrouter_fleet::log_buffer::LogBuffer;
use sparrouter_fleet::net::Sockets;
use sparrouter_fleet::run::{Role, run};
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

fn serve(role: Role) -> Result<(), String> {
    let log_buffer = LogBuffer::install(LevelFilter::Info);
    log_buffer.heed_panics();
    let boot = Boot::load().map_err(|e| e.to_string())?;
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

fn ask(
    ask: &Ask,
    at: Vec<SocketAddr>,
    patience: Duration,
    out: &mut commands::Out,
) -> Result<(), ClientError> {
    let runtime = runtime().map_err(|e| ClientError::Output(std::io::Error::other(e)))?;
    runtime.block_on(client::run(ask, at, patience, Rc::new(Sockets), out))
}

fn show(file: Option<PathBuf>, out: &mut commands::Out) -> Result<(), ClientError> {
    let path = match file {
        Some(path) => path,
        None => std::env::var_os(VARIABLE)
            .ok_or(sparrouter_fleet::boot::BootError::NoVariable)?
            .into(),
    };
    let shown = Boot::show(&path)?;
    out.result
        .write_all(shown.as_bytes())
        .map_err(ClientError::Output)
}

fn main() -> ExitCode {
    let (mut result, mut remark) = (std::io::stdout(), std::io::stderr());
    let mut out = commands::Out {
        result: &mut result,
        remark: &mut remark,
    };
    let command = match client::command().run_inner(bpaf::Args::current_args()) {
        Ok(command) => command,
        Err(failure) => {
            failure.print_message(100);
            // Help is no fault; anything else is bad input.
            return ExitCode::from(if failure.exit_code() == 0 { 0 } else { 2 });
        }
    };
    let done = match command {
        Command::Run(role) => {
            return match serve(role) {
                Ok(()) => ExitCode::SUCCESS,
                Err(text) => {
                    eprintln!("sparrouter: {text}");
                    ExitCode::from(2)
                }
            };
        }
        Command::Ask {
            ask: what,
            at,
            patience_s,
        } => ask(&what, at, Duration::from_secs(patience_s), &mut out),
        Command::Check { file, against } => commands::check(&file, against.as_deref(), &mut out),
        Command::Show { file } => show(file, &mut out),
    };
    let done = done.and_then(|()| out.result.flush().map_err(ClientError::Output));
    match done {
        Ok(()) => ExitCode::SUCCESS,
        // Its reader, `head` say, has what it wanted.
        Err(ClientError::Output(why)) if why.kind() == std::io::ErrorKind::BrokenPipe => {
            ExitCode::SUCCESS
        }
        Err(why) => {
            eprintln!("sparrouter: {why}");
            ExitCode::from(why.exit_code())
        }
    }
}
