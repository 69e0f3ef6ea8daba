//! The program `sparrouter-rollout`, which changes many nodes in stages; see docs/operating/rollout.md.
//!
//! The exit status is 0 if every node is changed, 1 if the change was rolled back or left to the operator, and 2 for an
//! error.
use clap::{Parser, Subcommand};
use sparrouter_rollout::plan::Plan;
use sparrouter_rollout::record::{Entry, Outcome, RecordError};
use sparrouter_rollout::run::{self, Mode, OperatorRequest, RunError};
use sparrouter_rollout::{page, stages};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

#[derive(Parser)]
#[command(
    version,
    about = "Changes many nodes in stages, and rolls the change back if a stage is harmful"
)]
struct Cli {
    #[command(subcommand)]
    operation: Operation,
}

#[derive(Subcommand)]
enum Operation {
    /// Print the stages of a plan without changing any node
    Plan { plan: PathBuf },
    /// Start a rollout and run it to its end
    Run {
        plan: PathBuf,
        #[arg(long)]
        log: Option<PathBuf>,
    },
    /// Continue a rollout whose controller was stopped
    Resume {
        plan: PathBuf,
        #[arg(long)]
        log: Option<PathBuf>,
    },
    /// Roll a change back: requests it from the running controller, or does it itself
    Back {
        plan: PathBuf,
        #[arg(long)]
        log: Option<PathBuf>,
    },
    /// Request the running controller to stop and leave all nodes as they are
    Stop {
        plan: PathBuf,
        #[arg(long)]
        log: Option<PathBuf>,
    },
    /// Write the HTML page of a rollout with plots and decisions, by default PLAN.html next to the plan
    Page {
        plan: PathBuf,
        #[arg(long)]
        log: Option<PathBuf>,
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Print the progress of a rollout
    Status {
        plan: PathBuf,
        #[arg(long)]
        log: Option<PathBuf>,
    },
}

/// Returns the path of the log: `log`, or by default a file next to the plan.
fn log_path(plan: &Path, log: Option<PathBuf>) -> PathBuf {
    log.unwrap_or_else(|| plan.with_extension("log"))
}

/// Formats the names and zones of these nodes.
fn describe_nodes(plan: &Plan, nodes: &[usize]) -> String {
    let describe = |&node: &usize| format!("{} ({})", plan.nodes[node].name, plan.nodes[node].zone);
    let descriptions: Vec<String> = nodes.iter().map(describe).collect();
    descriptions.join(", ")
}

fn print_plan(plan: &Plan) {
    let order = stages::order(plan);
    println!(
        "{}: {} nodes, {} -> {}",
        plan.name,
        order.len(),
        plan.old_generation,
        plan.new_generation
    );
    let mut previous_size = 0;
    let sizes = stages::sizes(&plan.stage_fractions, order.len());
    for (stage, size) in sizes.into_iter().enumerate() {
        let unchanged = (size - previous_size).min(order.len() - size);
        let compared_with = match unchanged {
            0 => "the baseline of the fleet".to_string(),
            _ => describe_nodes(plan, &order[order.len() - unchanged..]),
        };
        let changed = describe_nodes(plan, &order[previous_size..size]);
        println!("stage {}: changes {changed}", stage + 1);
        println!("         compared with {compared_with}");
        previous_size = size;
    }
}

fn print_entry(entry: &Entry) {
    match entry {
        Entry::Baseline { baseline } => println!(
            "baseline: {:.2} % of the billed value lost",
            100.0 * baseline.lost
        ),
        Entry::Plan { name, .. } => println!("plan {name}"),
        Entry::Stage { stage } => println!("stage {}", stage + 1),
        Entry::CommandStarted { node, command } => println!("  {node}: {command} ..."),
        Entry::CommandEnded {
            node,
            command,
            succeeded,
        } => {
            let result = if *succeeded { "succeeded" } else { "failed" };
            println!("  {node}: {command} {result}");
        }
        Entry::StagePassed { stage } => println!("stage {} passed", stage + 1),
        Entry::RollbackStarted { reason } => println!("rolling back: {reason}"),
        Entry::Finished { outcome } => println!("ended: {outcome}"),
    }
}

fn print_status(log: &Path) -> Result<(), RunError> {
    let entries = run::read_log(log)?;
    entries.iter().for_each(print_entry);
    if !matches!(entries.last(), Some(Entry::Finished { .. })) {
        println!("not ended: a controller is running, or `resume` continues");
    }
    Ok(())
}

fn write_page(plan: &Path, log: &Path, out: &Path) -> Result<(), RunError> {
    let plan = run::load(plan)?.plan;
    let entries = run::read_log(log)?;
    let page = page::page(&plan, log, &entries);
    std::fs::write(out, page).map_err(|source| RunError::io(out, source))?;
    println!("{}", out.display());
    Ok(())
}

fn run_rollout(plan: &Path, log: &Path, mode: Mode) -> Result<Outcome, RunError> {
    run::run(plan, log, mode, |line| println!("{line}"))
}

/// Rolls the change back, or requests it from the running controller if there is one.
fn roll_back(plan: &Path, log: &Path) -> Result<Option<Outcome>, RunError> {
    match run_rollout(plan, log, Mode::RollBack) {
        Err(RunError::Record(RecordError::Busy { .. })) => {
            submit(OperatorRequest::RollBack, log).map(|()| None)
        }
        result => result.map(Some),
    }
}

fn submit(request: OperatorRequest, log: &Path) -> Result<(), RunError> {
    request.submit(log)?;
    println!("request submitted; `status` prints the progress");
    Ok(())
}

/// Executes the operation of the command line. Returns the outcome of the rollout, if one ended.
fn perform(operation: Operation) -> Result<Option<Outcome>, RunError> {
    match operation {
        Operation::Plan { plan } => print_plan(&run::load(&plan)?.plan),
        Operation::Run { plan, log } => {
            let log = log_path(&plan, log);
            return run_rollout(&plan, &log, Mode::Run).map(Some);
        }
        Operation::Resume { plan, log } => {
            let log = log_path(&plan, log);
            return run_rollout(&plan, &log, Mode::Resume).map(Some);
        }
        Operation::Back { plan, log } => {
            let log = log_path(&plan, log);
            return roll_back(&plan, &log);
        }
        Operation::Stop { plan, log } => submit(OperatorRequest::Stop, &log_path(&plan, log))?,
        Operation::Page { plan, log, out } => {
            let out = out.unwrap_or_else(|| plan.with_extension("html"));
            write_page(&plan, &log_path(&plan, log), &out)?;
        }
        Operation::Status { plan, log } => print_status(&log_path(&plan, log))?,
    }
    Ok(None)
}

fn main() -> ExitCode {
    match perform(Cli::parse().operation) {
        Ok(None) => ExitCode::SUCCESS,
        Ok(Some(outcome)) => {
            println!("{outcome}");
            if outcome == Outcome::Completed {
                ExitCode::SUCCESS
            } else {
                ExitCode::from(1)
            }
        }
        Err(error) => {
            eprintln!("sparrouter-rollout: {error}");
            ExitCode::from(2)
        }
    }
}
