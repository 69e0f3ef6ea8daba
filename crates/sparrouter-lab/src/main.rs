//! The lab's command line.
use clap::{Parser, Subcommand};
use indicatif::{ProgressBar, ProgressStyle};
use sparrouter_lab::experiment::changes::{self, Case, Played};
use sparrouter_lab::experiment::sweep::By;
use sparrouter_lab::experiment::{compare, kills, shares, soak, sweep};
use sparrouter_lab::play::{self, Program, Run};
use sparrouter_lab::rollout::Tools;
use sparrouter_lab::scenario::rollout::{How, Plant};
use sparrouter_lab::scenario::{Scenario, arrivals::Arrivals, schedule};
use sparrouter_lab::stand::bad::Kind;
use sparrouter_lab::stand::{plant, relay};
use sparrouter_lab::{SECOND, report};
use std::io::IsTerminal;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
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
    /// Play a scenario once, judge the rules, write run.json and report.html
    Play {
        scenario: PathBuf,
        #[arg(long, default_value = "node")]
        program: String,
        /// Where the run is left; otherwise runs/NAME
        #[arg(long)]
        out: Option<PathBuf>,
        /// Play another seed than the scenario's
        #[arg(long)]
        seed: Option<u64>,
        /// Play at another rate, invocations a second
        #[arg(long)]
        rate: Option<f64>,
    },
    /// Play two programs in turn and give the ratio of each pair
    Compare {
        scenario: PathBuf,
        #[arg(long, default_value = "node")]
        a: String,
        #[arg(long, default_value = "relay")]
        b: String,
        #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u16).range(1..=50))]
        pairs: u16,
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Step the rate up to the highest at which 99.9 % are within the latency objective
    Sweep {
        scenario: PathBuf,
        #[arg(long, default_value = "node")]
        program: String,
        /// Find a knee for each value of this
        #[arg(long, requires = "values")]
        by: Option<By>,
        #[arg(long, value_delimiter = ',')]
        values: Vec<usize>,
        /// Close in until two rates differ by no more than this ratio
        #[arg(long, default_value_t = 1.1)]
        within: f64,
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Play a scenario for long and tell what grows
    Soak {
        scenario: PathBuf,
        #[arg(long, default_value = "node")]
        program: String,
        #[arg(long, default_value_t = 10.0)]
        minutes: f64,
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Play a scenario's change in stages with each bad version: by the conductor, plainly, and all at once
    Changes {
        scenario: PathBuf,
        #[arg(long, default_value = "node")]
        program: String,
        /// Only these: sound, errs, slow, ..., hasty, greedy, refused
        #[arg(long, value_delimiter = ',')]
        cases: Vec<String>,
        /// Only these: staged, plain, at-once
        #[arg(long, value_delimiter = ',', value_enum)]
        hows: Vec<How>,
        /// So many at once
        #[arg(long, default_value_t = 1)]
        jobs: usize,
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Play a scenario's change with the conductor ended before or after each of its writes and commands, one run a point
    Kills {
        scenario: PathBuf,
        #[arg(long, default_value = "node")]
        program: String,
        /// The first point
        #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u16).range(1..=10_000))]
        from: u16,
        /// Only each so-manieth
        #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u16).range(1..=1000))]
        step: u16,
        /// At most so many points
        #[arg(long, default_value_t = 200)]
        most: u16,
        /// The successor ends itself after as many again
        #[arg(long)]
        twice: bool,
        /// How the change ends where nobody is killed
        #[arg(long, default_value = "through", value_parser = ["through", "back"])]
        ends: String,
        /// So many at once
        #[arg(long, default_value_t = 1)]
        jobs: usize,
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Play a scenario with common limits and tell how well all nodes together kept them, phase by phase
    Shares {
        scenario: PathBuf,
        #[arg(long, default_value = "node")]
        program: String,
        /// Play other seeds than the scenario's, one run each
        #[arg(long, value_delimiter = ',')]
        seeds: Vec<u64>,
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Write a run's page anew from its run.json
    Report { run: PathBuf },
    /// Read a scenario and say what would be played; starts nothing
    Check { scenario: PathBuf },
    /// Stand in front of a node and do one thing wrong, for changes in stages
    #[command(hide = true)]
    Plant,
    /// Conduct a change in stages
    #[command(hide = true)]
    Conduct,
    /// Forward bytes, for the lab's own baseline
    #[command(hide = true)]
    Relay {
        #[arg(long)]
        listen: SocketAddr,
        #[arg(long, value_delimiter = ',')]
        to: Vec<SocketAddr>,
    },
}

fn program(name: &str) -> Result<Program, String> {
    let own = std::env::current_exe().map_err(|e| format!("own program: {e}"))?;
    Ok(match name {
        "direct" => Program::Direct,
        "relay" => Program::Relay(own),
        "node" => Program::Node(beside(&own)?),
        _ => match name.strip_prefix("bad:") {
            Some(kind) => {
                let kinds = <Kind as clap::ValueEnum>::value_variants();
                let words: Vec<String> = kinds.iter().map(|k| word(*k)).collect();
                let found = kinds.iter().find(|k| word(**k) == kind);
                Program::Bad(*found.ok_or(format!(
                    "no bad node {kind}; there are {}",
                    words.join(", ")
                ))?)
            }
            None if Path::new(name).is_file() => Program::Node(name.into()),
            None => {
                return Err(format!(
                    "no program {name}; give a path, or node, relay, direct, bad:NAME"
                ));
            }
        },
    })
}

fn word(kind: Kind) -> String {
    clap::ValueEnum::to_possible_value(&kind).map_or(String::new(), |v| v.get_name().to_string())
}

fn beside(own: &Path) -> Result<PathBuf, String> {
    let path = own.with_file_name("sparrouter-node");
    let found = path.is_file();
    found.then_some(path.clone()).ok_or(format!(
        "{}: not there; build it with cargo build --release",
        path.display()
    ))
}

fn read(path: &Path) -> Result<Scenario, String> {
    Ok(Scenario::read(path)
        .map_err(|e| e.to_string())?
        .with_defaults())
}

/// With a bar where somebody looks.
fn play_one(scenario: &Scenario, program: &Program, folder: &Path) -> Result<Run, String> {
    let bar = if std::io::stderr().is_terminal() {
        let style =
            ProgressStyle::with_template("{msg} {bar:40} {pos}/{len} s").expect("a fixed template");
        ProgressBar::new(scenario.length_s.ceil() as u64)
            .with_style(style)
            .with_message(scenario.name.clone())
    } else {
        ProgressBar::hidden()
    };
    let run = play::play(scenario, program, folder, |at| {
        bar.set_position(at / SECOND)
    });
    bar.finish_and_clear();
    run.map_err(|e| e.to_string())
}

fn folder(out: Option<PathBuf>, name: &str) -> PathBuf {
    out.unwrap_or_else(|| Path::new("runs").join(name))
}

/// Whether all was well.
fn run(Arguments { verbose, command }: Arguments) -> Result<bool, String> {
    let verbose = verbose || std::io::stderr().is_terminal();
    let say = |line: String| {
        if verbose {
            eprintln!("{line}");
        }
    };
    match command {
        Command::Play {
            scenario,
            program: name,
            out,
            seed,
            rate,
        } => {
            let (mut scenario, program) = (read(&scenario)?, program(&name)?);
            scenario.seed = seed.unwrap_or(scenario.seed);
            if let Some(rate) = rate {
                scenario.load.rate_per_s = rate;
            }
            let folder = folder(out, &scenario.name);
            let run = play_one(&scenario, &program, &folder)?;
            let page = report::write(&run, &folder).map_err(|e| e.to_string())?;
            println!("{}report: {}", report::table(&run), page.display());
            Ok(run.verdict.kept() && run.tally.valid())
        }
        Command::Compare {
            scenario,
            a,
            b,
            pairs,
            out,
        } => {
            let scenario = read(&scenario)?;
            let folder = folder(out, &format!("{}-compare", scenario.name));
            let (a, b) = (program(&a)?, program(&b)?);
            let mut kept = true;
            let done = |run: &Run| {
                kept &= run.verdict.kept() && run.tally.valid();
                say(format!(
                    "{}: {:.4} in time, p99 {:.2} ms",
                    run.program,
                    run.tally.good(),
                    run.tally.latency_ms.p99
                ));
            };
            let pairs = compare::compare(&scenario, &a, &b, usize::from(pairs), &folder, done);
            println!("A {}, B {}; {}", a.name(), b.name(), scenario.name);
            println!(
                "{:<20}{:>11}{:>11}{:>9}{:>9}{:>9}",
                "", "A", "B", "A/B min", "median", "max"
            );
            for row in compare::rows(&pairs.map_err(|e| e.to_string())?) {
                let (r, middle) = (row.ratios(), row.a.len() / 2);
                let at = |n: usize| r.get(n).copied().unwrap_or(f64::NAN);
                let (low, mid, high) = (at(0), at(r.len() / 2), at(r.len().saturating_sub(1)));
                let sorted = |v: &[f64]| {
                    let mut v = v.to_vec();
                    v.sort_by(f64::total_cmp);
                    v[middle]
                };
                let (a, b) = (sorted(&row.a), sorted(&row.b));
                println!(
                    "{:<20}{a:>11.3}{b:>11.3}{low:>9.3}{mid:>9.3}{high:>9.3}  {}",
                    row.name,
                    row.word()
                );
            }
            Ok(kept)
        }
        Command::Sweep {
            scenario,
            program: name,
            by,
            values,
            within,
            out,
        } => {
            let (scenario, program) = (read(&scenario)?, program(&name)?);
            if within <= 1.0 {
                return Err(format!("--within {within}: a ratio above 1 is needed"));
            }
            let folder = folder(out, &format!("{}-sweep", scenario.name));
            let points = match by {
                Some(by) => values
                    .iter()
                    .map(|v| (v.to_string(), sweep::with(&scenario, by, *v)))
                    .collect(),
                None => vec![(String::from("-"), scenario.clone())],
            };
            println!(
                "{:<8}{:>11}{:>9}{:>9}{:>9}{:>11}{:>9}",
                by.map_or("".into(), |b| format!("{b:?}").to_lowercase()),
                "knee /s",
                "p50 ms",
                "p99",
                "p99.9",
                "us a piece",
                "MB"
            );
            for (value, s) in points {
                let done = |step: &sweep::Step| {
                    let (run, held) = (&step.run, if step.held { "held" } else { "not held" });
                    let good = run.tally.good();
                    say(format!(
                        "{value}: {:.0}/s {held}: {good:.5} in time, p99 {:.2} ms, {} breaches, late p99 {:.2} ms",
                        step.rate_per_s,
                        run.tally.latency_ms.p99,
                        run.verdict.breaches.len(),
                        run.tally.late_ms.p99
                    ));
                };
                let steps = sweep::sweep(&s, &program, within, &folder.join(&value), done)
                    .map_err(|e| e.to_string())?;
                match sweep::knee(&steps) {
                    Some(k) => {
                        let q = &k.run.tally.latency_ms;
                        println!(
                            "{value:<8}{:>11.0}{:>9.2}{:>9.2}{:>9.2}{:>11.1}{:>9.1}",
                            k.rate_per_s,
                            q.p50,
                            q.p99,
                            q.p999,
                            k.run.cpu_us(),
                            k.run.memory_mb
                        );
                    }
                    None => println!("{value:<8}no rate held"),
                }
            }
            Ok(true)
        }
        Command::Soak {
            scenario,
            program: name,
            minutes,
            out,
        } => {
            let (mut scenario, program) = (read(&scenario)?, program(&name)?);
            scenario.length_s = minutes * 60.0;
            let folder = folder(out, &format!("{}-soak", scenario.name));
            let run = play_one(&scenario, &program, &folder)?;
            let page = report::write(&run, &folder).map_err(|e| e.to_string())?;
            print!("{}", report::table(&run));
            let all = soak::growth(&run);
            for g in &all {
                let word = if g.grows() { "GROWS" } else { "steady" };
                println!(
                    "n{}: memory {:.1} to {:.1} MB, descriptors {:.0} to {:.0}: {word}",
                    g.node, g.memory_mb.0, g.memory_mb.1, g.descriptors.0, g.descriptors.1
                );
            }
            println!("report: {}", page.display());
            Ok(run.verdict.kept() && !all.iter().any(|g| g.grows()))
        }
        Command::Changes {
            scenario,
            program: name,
            cases,
            hows,
            jobs,
            out,
        } => {
            let (scenario, program) = (read(&scenario)?, program(&name)?);
            if scenario.rollout.is_none() {
                return Err(format!("{}: no [rollout] in it", scenario.name));
            }
            let known = Case::all();
            let named = |n: &String| {
                let names: Vec<String> = known.iter().map(Case::name).collect();
                known
                    .iter()
                    .copied()
                    .find(|c| c.name() == *n)
                    .ok_or(format!("no case {n}; there are {}", names.join(", ")))
            };
            let cases: Vec<Case> = match cases.is_empty() {
                true => known.clone(),
                false => cases.iter().map(named).collect::<Result<_, _>>()?,
            };
            let hows = if hows.is_empty() {
                vec![How::Staged, How::Plain, How::AtOnce]
            } else {
                hows
            };
            let folder = folder(out, &format!("{}-changes", scenario.name));
            println!(
                "{:<13}{:<9}{:<10}{:>6}{:>8}{:>9}{:>9}  {:<7}why",
                "case", "way", "ended", "stage", "took s", "changed", "lost %", "rules"
            );
            let line = |p: &Played| match &p.run {
                Ok(run) => {
                    let c = run.rollout.as_ref();
                    let (how, why) = c.map_or(("", ""), |c| (&c.how, &c.why));
                    let why: String = why.chars().take(70).collect();
                    println!(
                        "{:<13}{:<9}{how:<10}{:>6}{:>8.1}{:>9}{:>9.2}  {:<7}{why}",
                        p.case.name(),
                        format!("{:?}", p.how).to_lowercase(),
                        c.map_or(0, |c| c.stages),
                        c.map_or(0.0, |c| c.took_s),
                        c.map_or(0, |c| c.changed.len()),
                        100.0 * (1.0 - run.tally.value),
                        if run.verdict.kept() { "kept" } else { "BROKEN" },
                    );
                }
                Err(e) => println!(
                    "{:<13}{:<9}{e}",
                    p.case.name(),
                    format!("{:?}", p.how).to_lowercase()
                ),
            };
            let all = changes::changes(&scenario, &program, &cases, &hows, jobs, &folder, line);
            // Bad versions may break rules; what must hold is that a sound one does not, and that the run counts.
            Ok(all.iter().all(|p| match &p.run {
                Ok(run) => {
                    run.tally.valid()
                        && (p.case != Case::Planted(Plant::None) || run.verdict.kept())
                }
                Err(_) => false,
            }))
        }
        Command::Kills {
            scenario,
            program: name,
            from,
            step,
            most,
            twice,
            ends,
            jobs,
            out,
        } => {
            let (scenario, program) = (read(&scenario)?, program(&name)?);
            if scenario.rollout.is_none() {
                return Err(format!("{}: no [rollout] in it", scenario.name));
            }
            let folder = folder(out, &format!("{}-kills", scenario.name));
            let points = kills::Points {
                from: from.into(),
                step: step.into(),
                most: most.into(),
                twice,
            };
            println!(
                "{:<10}{:<10}{:>6}{:>8}{:>9}{:>9}{:>9}  {:<7}why",
                "point", "ended", "kills", "took s", "changed", "lost %", "no reply", "rules"
            );
            let line = |k: &kills::Killed| match &k.run {
                Ok(run) => {
                    let Some(c) = &run.rollout else { return };
                    println!(
                        "{:<10}{:<10}{:>6}{:>8.1}{:>9}{:>9.2}{:>9}  {:<7}{}",
                        format!("{:?}", k.points),
                        c.how,
                        c.kills,
                        c.took_s,
                        c.changed.len(),
                        100.0 * (1.0 - run.tally.value),
                        run.tally.total.unanswered,
                        if run.verdict.kept() { "kept" } else { "BROKEN" },
                        c.why.chars().take(70).collect::<String>(),
                    );
                }
                Err(e) => println!("{:<10}{e}", format!("{:?}", k.points)),
            };
            let all = kills::kills(
                &scenario,
                &program,
                &Tools::own(),
                points,
                jobs,
                &folder,
                line,
            );
            let (reached, right) = (
                all.iter().filter(|k| k.reached()).count(),
                all.iter().filter(|k| k.reached() && k.right(&ends)).count(),
            );
            println!("{right} of {reached} points ended right");
            Ok(reached > 0 && right == reached)
        }
        Command::Shares {
            scenario,
            program: name,
            seeds,
            out,
        } => {
            let (scenario, program) = (read(&scenario)?, program(&name)?);
            let Some(wanted) = scenario.shares else {
                return Err(format!("{}: no [shares] in it", scenario.name));
            };
            let seeds = if seeds.is_empty() {
                vec![scenario.seed]
            } else {
                seeds
            };
            let folder = folder(out, &format!("{}-shares", scenario.name));
            println!(
                "{:<6}{:<7}{:<10}{:>7}{:>7}{:>7}{:>7}{:>7}{:>9}  phase",
                "seed", "way", "limit", "from s", "over", "parts", "used", "Jain", "settled"
            );
            let mut kept = true;
            for seed in seeds {
                let mut drawn: Vec<Vec<report::plots::Curve>> =
                    vec![Vec::new(); scenario.tenant.len()];
                for notes in [true, false] {
                    let mut s = scenario.clone();
                    s.seed = seed;
                    s.shares = Some(sparrouter_lab::scenario::Shares { notes, ..wanted });
                    let way = if notes { "leases" } else { "count" };
                    let own = folder.join(format!("{seed}-{way}"));
                    let run = play_one(&s, &program, &own)?;
                    report::write(&run, &own).map_err(|e| e.to_string())?;
                    kept &= run.verdict.kept() && run.tally.valid();
                    let reports = shares::read(&own, s.most_nodes());
                    for (t, tenant) in s.tenant.iter().enumerate() {
                        let all =
                            shares::seconds(&reports, &tenant.name, run.began_unix_ms, s.length_s);
                        let lines: Vec<String> = all
                            .iter()
                            .filter_map(|x| serde_json::to_string(x).ok())
                            .collect();
                        let file = own.join(format!("{}.jsonl", tenant.name));
                        std::fs::write(&file, lines.join("\n")).map_err(|e| e.to_string())?;
                        let curve = |name: &str, f: &dyn Fn(&shares::Second) -> f64| {
                            (
                                name.to_string(),
                                all.iter().map(|x| (x.at_s + 0.5, f(x))).collect(),
                            )
                        };
                        if notes {
                            drawn[t].push(curve("arrived", &|x| x.arrived.min(2.0)));
                        }
                        drawn[t].push(curve(&format!("within, {way}"), &|x| x.within));
                        let picture = report::plots::limit(&run, &drawn[t]);
                        let file = folder.join(format!("{seed}-{}.svg", tenant.name));
                        std::fs::write(&file, picture).map_err(|e| e.to_string())?;
                        for p in shares::phases(&s, &all) {
                            println!(
                                "{seed:<6}{way:<7}{:<10}{:>7.1}{:>7.3}{:>7.3}{:>7.3}{:>7.3}{:>9}  {}",
                                tenant.name,
                                p.from_s,
                                p.over,
                                p.parts,
                                p.used,
                                p.jain,
                                p.settled_s.map_or("-".into(), |s| format!("{s:.1} s")),
                                p.what
                            );
                        }
                    }
                    let word = if run.verdict.kept() { "kept" } else { "BROKEN" };
                    let value = run.tally.value;
                    println!("{seed:<6}{way:<7}rules {word}, value in time {value:.4}");
                }
            }
            Ok(kept)
        }
        Command::Report { run } => {
            let folder = if run.is_dir() {
                run.clone()
            } else {
                run.parent().unwrap_or(Path::new(".")).into()
            };
            let run = report::read(&run).map_err(|e| e.to_string())?;
            let page = report::write(&run, &folder).map_err(|e| e.to_string())?;
            println!("{}report: {}", report::table(&run), page.display());
            Ok(run.verdict.kept())
        }
        Command::Check { scenario } => {
            let s = read(&scenario)?;
            let (schedule, arrivals) = (schedule::draw(&s), Arrivals::new(&s).count());
            println!(
                "{}: {} nodes, {} cache servers ({} in all), {arrivals} arrivals in {} s, {} steps of faults",
                s.name,
                s.nodes.count,
                s.caches.count,
                schedule.caches,
                s.length_s,
                schedule.steps.len()
            );
            for step in &schedule.steps {
                println!("{:>10.3} s  {:?}", step.at as f64 / SECOND as f64, step.act);
            }
            Ok(true)
        }
        Command::Plant => plant::run().map(|()| true),
        Command::Conduct => sparrouter_lab::rollout::conduct().map(|()| true),
        Command::Relay { listen, to } => relay::run(listen, to)
            .map(|()| true)
            .map_err(|e| format!("relay on {listen}: {e}")),
    }
}

fn main() -> ExitCode {
    match run(Arguments::parse()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(text) => {
            eprintln!("{text}");
            ExitCode::from(2)
        }
    }
}
