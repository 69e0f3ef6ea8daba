//! The command line: roles, and the operators' client.
use bpaf::{OptionParser, Parser, construct, pure};
use orchard::boot::Boot;
use orchard::net::Sockets;
use orchard::ring::Ring;
use orchard::run::{Role, run};
use simplelog::LevelFilter;
use std::process::ExitCode;
use std::rc::Rc;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

#[derive(Clone, Debug)]
enum Command {
    Run(Role),
}

fn command() -> OptionParser<Command> {
    let role = |role: Role, name: &'static str, about: &'static str| {
        pure(Command::Run(role)).to_options().descr(about).command(name).help(about)
    };
    let proxy =
        role(Role::Proxy, "proxy", "Take clients; also servers and operators where the settings say so");
    let control = role(Role::Control, "control", "Take servers and operators, and keep the control state");
    construct!([proxy, control]).to_options().version(env!("CARGO_PKG_VERSION")).descr("A router fleet")
}

fn serve(role: Role) -> Result<(), String> {
    let ring = Ring::install(LevelFilter::Info);
    let boot = Boot::load().map_err(|e| e.to_string())?;
    let runtime = Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())?;
    let local = LocalSet::new();
    let ended = local.block_on(&runtime, run(role, boot, ring, Rc::new(Sockets), fastrand::Rng::new()));
    ended.map_err(|e| e.to_string())
}

fn main() -> ExitCode {
    let done = match command().run() {
        Command::Run(role) => serve(role),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => {
            eprintln!("orchard: {text}");
            ExitCode::from(2)
        }
    }
}
