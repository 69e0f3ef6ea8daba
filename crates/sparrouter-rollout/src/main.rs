//! Changes many nodes in stages; see docs/operating/rollout.md.
use clap::{Parser, Subcommand};
use sparrouter_rollout::plan::Plan;
use sparrouter_rollout::record::{self, Entry, How};
use sparrouter_rollout::run::{self, Mode};
use sparrouter_rollout::stages;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

#[derive(Parser)]
#[command(
    version,
    about = "Changes many nodes in stages, and takes the change back where a stage does worse"
)]
struct Cli {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Say what would be done, and do nothing
    Plan { plan: PathBuf },
    /// Begin a change and see it through
    Run {
        plan: PathBuf,
        #[arg(long)]
        log: Option<PathBuf>,
    },
    /// Go on where a conductor was ended
    Resume {
        plan: PathBuf,
        #[arg(long)]
        log: Option<PathBuf>,
    },
    /// Take a change back: asks the conductor at work, or does it itself
    Back {
        plan: PathBuf,
        #[arg(long)]
        log: Option<PathBuf>,
    },
    /// Have the conductor at work stop and leave all as it is
    Stop {
        plan: PathBuf,
        #[arg(long)]
        log: Option<PathBuf>,
    },
    /// Write the page of a change, with its plots and reasons: PLAN.html beside the plan
    Page {
        plan: PathBuf,
        #[arg(long)]
        log: Option<PathBuf>,
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Say how far a change has come
    Status {
        plan: PathBuf,
        #[arg(long)]
        log: Option<PathBuf>,
    },
}

fn log_of(plan: &Path, log: Option<PathBuf>) -> PathBuf {
    log.unwrap_or_else(|| plan.with_extension("log"))
}

fn show(plan: &Plan) {
    let order = stages::order(plan);
    println!(
        "{}: {} nodes, {} -> {}",
        plan.name,
        order.len(),
        plan.from,
        plan.generation
    );
    let mut from = 0;
    for (stage, to) in stages::sizes(&plan.parts, order.len())
        .into_iter()
        .enumerate()
    {
        let name = |&n: &usize| format!("{} ({})", plan.nodes[n].name, plan.nodes[n].zone);
        let new: Vec<String> = order[from..to].iter().map(name).collect();
        let fellows = (to - from).min(order.len() - to);
        let old: Vec<String> = order[order.len() - fellows..].iter().map(name).collect();
        println!("stage {}: changes {}", stage + 1, new.join(", "));
        println!(
            "         beside {}",
            if old.is_empty() {
                "the fleet's own past".into()
            } else {
                old.join(", ")
            }
        );
        from = to;
    }
}

fn status(log: &Path) -> Result<(), String> {
    let bytes = std::fs::read(log).map_err(|e| format!("{}: {e}", log.display()))?;
    let (entries, _) =
        record::read(&bytes, &log.display().to_string()).map_err(|e| e.to_string())?;
    for entry in &entries {
        match entry {
            Entry::Past { past } => println!(
                "before: {:.2} % of the billed value lost",
                100.0 * past.lost
            ),
            Entry::Plan { name, .. } => println!("plan {name}"),
            Entry::Stage { stage } => println!("stage {}", stage + 1),
            Entry::Begin { node, doing } => println!("  {node}: {doing:?} ..."),
            Entry::End { node, doing, ok } => {
                println!(
                    "  {node}: {doing:?} {}",
                    if *ok { "over" } else { "came to nothing" }
                )
            }
            Entry::Passed { stage } => println!("stage {} passed", stage + 1),
            Entry::Back { why } => println!("going back: {why}"),
            Entry::Done { how } => println!("ended: {}", told(how)),
        }
    }
    if !matches!(entries.last(), Some(Entry::Done { .. })) {
        println!("not ended: a conductor is at work, or `resume` goes on");
    }
    Ok(())
}

fn write_page(plan: &Path, log: &Path, out: &Path) -> Result<(), String> {
    let (plan, _) = run::load(plan).map_err(|e| e.to_string())?;
    let bytes = std::fs::read(log).map_err(|e| format!("{}: {e}", log.display()))?;
    let (entries, _) =
        record::read(&bytes, &log.display().to_string()).map_err(|e| e.to_string())?;
    let page = sparrouter_rollout::page::page(&plan, log, &entries);
    std::fs::write(out, page).map_err(|e| format!("{}: {e}", out.display()))?;
    println!("{}", out.display());
    Ok(())
}

fn told(how: &How) -> String {
    match how {
        How::Through => "every node is changed".to_string(),
        How::Back(why) => format!("taken back: {why}"),
        How::Left(why) => format!("left for a person: {why}"),
    }
}

fn main() -> ExitCode {
    let begin = |plan: &Path, log: Option<PathBuf>, mode| {
        let log = log_of(plan, log);
        run::run(plan, &log, mode, |line| println!("{line}"))
    };
    let ended = match Cli::parse().what {
        What::Plan { plan } => run::load(&plan).map(|(plan, _)| show(&plan)).map(|()| None),
        What::Run { plan, log } => begin(&plan, log, Mode::Run).map(Some),
        What::Resume { plan, log } => begin(&plan, log, Mode::Resume).map(Some),
        What::Back { plan, log } => {
            let at = log_of(&plan, log);
            match run::run(&plan, &at, Mode::Back, |line| println!("{line}")) {
                // Somebody is at work: it is told.
                Err(run::RunError::Record(record::RecordError::Busy { .. })) => ask(&at, "back"),
                other => other.map(Some),
            }
        }
        What::Stop { plan, log } => ask(&log_of(&plan, log), "stop"),
        What::Page { plan, log, out } => {
            let (log, out) = (
                log_of(&plan, log),
                out.unwrap_or_else(|| plan.with_extension("html")),
            );
            return match write_page(&plan, &log, &out) {
                Ok(()) => ExitCode::SUCCESS,
                Err(text) => fail(&text),
            };
        }
        What::Status { plan, log } => {
            return match status(&log_of(&plan, log)) {
                Ok(()) => ExitCode::SUCCESS,
                Err(text) => fail(&text),
            };
        }
    };
    match ended {
        Ok(None) => ExitCode::SUCCESS,
        Ok(Some(how)) => {
            println!("{}", told(&how));
            if how == How::Through {
                ExitCode::SUCCESS
            } else {
                ExitCode::from(1)
            }
        }
        Err(error) => fail(&error.to_string()),
    }
}

fn fail(text: &str) -> ExitCode {
    eprintln!("sparrouter-rollout: {text}");
    ExitCode::from(2)
}

fn ask(log: &Path, word: &str) -> Result<Option<How>, run::RunError> {
    let path = run::ask_file(log);
    let name = path.display().to_string();
    std::fs::write(path, word).map_err(|source| run::RunError::Io { path: name, source })?;
    println!("asked; `status` tells");
    Ok(None)
}
