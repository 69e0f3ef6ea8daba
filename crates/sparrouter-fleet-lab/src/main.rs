//! The lab's command line.
use bpaf::{OptionParser, Parser, construct, long, positional};
use sparrouter_fleet_lab::LabError;
use sparrouter_fleet_lab::play::{Report, play};
use sparrouter_fleet_lab::scenario::Scenario;
use std::path::PathBuf;
use std::process::ExitCode;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

/// The arguments of `play`.
#[derive(Clone, Debug)]
struct Options {
    quick: bool,
    program: PathBuf,
    file: Option<PathBuf>,
}

fn command() -> OptionParser<Options> {
    let quick = long("quick")
        .help("run the built-in scenario, which takes under 15 seconds")
        .switch();
    let program = long("program")
        .help("the program to test, default target/release/sparrouter")
        .argument::<PathBuf>("FILE")
        .fallback("target/release/sparrouter".into());
    let file = positional::<PathBuf>("FILE")
        .help("a scenario file, such as crates/sparrouter-fleet-lab/scenarios/fleet-first.toml")
        .optional();
    let about = "Run a fleet on loopback addresses and print the results of its requests; exit code 1 if a rule was violated";
    let play = construct!(Options {
        quick,
        program,
        file
    })
    .to_options()
    .descr(about)
    .command("play")
    .help(about);
    construct!([play])
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("End-to-end test lab of the fleet")
}

async fn run(options: Options) -> Result<Report, LabError> {
    let scenario = match (&options.file, options.quick) {
        (Some(file), false) => Scenario::read(file)?,
        _ => Scenario::quick()?,
    };
    println!("{}: {}", scenario.name, scenario.about);
    tokio::select! {
        report = play(scenario, &options.program, |line| println!("{line}")) => report,
        // Dropping the processes' handles kills the processes.
        _ = tokio::signal::ctrl_c() => Err(LabError::Stopped),
    }
}

fn main() -> ExitCode {
    let options = match command().run_inner(bpaf::Args::current_args()) {
        Ok(options) => options,
        Err(failure) => {
            failure.print_message(100);
            return ExitCode::from(if failure.exit_code() == 0 { 0 } else { 2 });
        }
    };
    let runtime = match Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!(
                "sparrouter-fleet-lab: cannot create the async runtime ({error}): free file descriptors and memory on this machine"
            );
            return ExitCode::from(2);
        }
    };
    match LocalSet::new().block_on(&runtime, run(options)) {
        Ok(report) => {
            println!("{}", report.table);
            if report.violations.is_empty() {
                println!("no rule was violated");
                return ExitCode::SUCCESS;
            }
            println!("VIOLATIONS:\n{}", report.violations.join("\n"));
            ExitCode::from(1)
        }
        Err(error) => {
            eprintln!("sparrouter-fleet-lab: {error}");
            ExitCode::from(2)
        }
    }
}
