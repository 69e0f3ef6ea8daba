//! A change of the lab's nodes while all else goes on: by the conductor in a process of its own, which the lab kills
//! where a scenario says so, or without one, to hold it against. Its commands leave their wishes in a folder; the lab,
//! whose children the nodes are, carries them out.
use crate::play::Environment;
use crate::scenario::rollout::{Defect, Rollout, RolloutMode};
use crate::stand_ins::node::Version;
use serde::{Deserialize, Serialize};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

pub const OLD: &str = "old";
pub const NEW: &str = "new";

/// How a change went.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RolloutResult {
    /// `through`, `back`, `left`, or what it was doing when the run was over.
    pub how: String,
    pub why: String,
    /// Stages begun.
    pub stages: usize,
    /// From its beginning to its end, in seconds.
    pub took_s: f64,
    /// Nodes that run the new version at the end, by number.
    pub changed: Vec<usize>,
    /// Times that the conductor was killed.
    pub kills: usize,
    /// What it said.
    pub said: Vec<String>,
}

/// Programs for planted nodes and the conductor, with their first arguments.
#[derive(Clone, Debug)]
pub struct Tools {
    pub plant: Vec<String>,
    pub conductor: Vec<String>,
}

impl Tools {
    /// Parts of the program that runs.
    pub fn own() -> Tools {
        let own = std::env::current_exe()
            .unwrap_or_default()
            .display()
            .to_string();
        Tools {
            plant: vec![own.clone(), "plant".into()],
            conductor: vec![own, "conduct".into()],
        }
    }
}

/// The wish and its fulfilment are files, so that a killed conductor's command can be told apart from the next one's.
const COMMAND_SCRIPT: &str = r#"f="$1/$2.$$"; printf %s "$3" > "$f.tmp" && mv "$f.tmp" "$f.ask"
while :; do [ -f "$f.ok" ] && exit 0; [ -f "$f.no" ] && exit 1; [ -d "$1" ] || exit 2; sleep 0.05; done
"#;
const POLL_INTERVAL: Duration = Duration::from_millis(20);

struct NodeRollout {
    stage: Arc<Environment>,
    old_version: Version,
    new_versions: Vec<Version>,
    /// One command at a time for each node.
    command_locks: Vec<Mutex<()>>,
}

fn fields(table: &toml::Table) -> Result<serde_json::Map<String, serde_json::Value>, String> {
    match serde_json::to_value(table).map_err(|e| e.to_string())? {
        serde_json::Value::Object(map) => Ok(map),
        other => Err(format!("{other} is no table")),
    }
}

impl NodeRollout {
    fn new(
        stage: &Arc<Environment>,
        wanted: &Rollout,
        tools: &Tools,
    ) -> Result<NodeRollout, String> {
        let count = stage.nodes.len();
        let first = stage.nodes.first().ok_or("no nodes")?;
        let old = first.lock().expect("not poisoned").version.clone();
        let (all, odd) = (fields(&wanted.settings)?, fields(&wanted.odd_settings)?);
        let version = |n: usize| {
            let mut new = Version {
                generation: Some(NEW.into()),
                settings: all.clone(),
                ..old.clone()
            };
            if !wanted.program.as_os_str().is_empty() {
                new.program = wanted.program.clone();
            }
            if n % 2 == 1 && !odd.is_empty() {
                new.settings = odd.clone();
            }
            if wanted.plant != Defect::None {
                let word = clap::ValueEnum::to_possible_value(&wanted.plant);
                let word = word.map_or(String::new(), |w| w.get_name().to_string());
                let envs = [
                    ("SPARROUTER_PLANT", word),
                    ("SPARROUTER_NODE", new.program.display().to_string()),
                ];
                new.envs = envs.into_iter().map(|(k, v)| (k.to_string(), v)).collect();
                (new.program, new.args) =
                    (PathBuf::from(&tools.plant[0]), tools.plant[1..].to_vec());
            }
            new
        };
        let new = (0..count).map(version).collect();
        Ok(NodeRollout {
            stage: stage.clone(),
            old_version: old,
            new_versions: new,
            command_locks: (0..count).map(|_| Mutex::new(())).collect(),
        })
    }

    fn generation(&self, n: usize) -> Option<String> {
        self.stage.nodes[n]
            .lock()
            .expect("not poisoned")
            .version
            .generation
            .clone()
    }
    fn running(&self, n: usize) -> bool {
        self.stage.nodes[n].lock().expect("not poisoned").running()
    }

    /// Safe to ask again: what is there already is left as it is.
    fn execute(&self, n: usize, word: &str) -> Result<(), String> {
        let _alone = self.command_locks[n].lock().expect("not poisoned");
        let stage = &self.stage;
        let there = self.generation(n);
        let to = match word {
            "change" => self.new_versions[n].clone(),
            "back" => self.old_version.clone(),
            "restart" if there == self.old_version.generation => self.old_version.clone(),
            "restart" => self.new_versions[n].clone(),
            other => return Err(format!("{other}: not known")),
        };
        let serves = self.running(n) && !stage.stopped_nodes[n].load(Relaxed);
        if word != "restart" && there == to.generation && serves {
            return Ok(());
        }
        stage.stop_node(n, false);
        let latest = Instant::now()
            + Duration::from_millis(stage.lab.scenario.max_client_timeout_ms() + 2000);
        while self.running(n) && Instant::now() < latest {
            sleep(POLL_INTERVAL);
        }
        stage.nodes[n].lock().expect("not poisoned").version = to;
        stage.restart_node(n);
        while !self.running(n) && Instant::now() < latest && !stage.lab.over.load(Relaxed) {
            sleep(POLL_INTERVAL);
        }
        // A program that refuses its settings is gone at once.
        sleep(Duration::from_millis(250));
        if self.running(n) {
            Ok(())
        } else {
            Err(format!("n{n} did not stay up"))
        }
    }

    fn serve_commands(self: &Arc<Self>, folder: &Path, over: &AtomicBool) {
        while !over.load(Relaxed) {
            for entry in std::fs::read_dir(folder).into_iter().flatten().flatten() {
                let path = entry.path();
                if path.extension().is_none_or(|e| e != "ask") {
                    continue;
                }
                let word = std::fs::read_to_string(&path).unwrap_or_default();
                let taken = path.with_extension("taken");
                let name = path
                    .file_name()
                    .and_then(|n| n.to_str())
                    .unwrap_or_default()
                    .to_string();
                let node = name
                    .strip_prefix('n')
                    .and_then(|n| n.split('.').next())
                    .and_then(|n| n.parse().ok());
                if std::fs::rename(&path, &taken).is_err() {
                    continue;
                }
                let change = self.clone();
                spawn(move || {
                    let done = match node {
                        Some(n) if n < change.command_locks.len() => change.execute(n, &word),
                        _ => Err(format!("{name}: no such node")),
                    };
                    let _ = std::fs::write(
                        taken.with_extension(if done.is_ok() { "ok" } else { "no" }),
                        "",
                    );
                });
            }
            sleep(POLL_INTERVAL);
        }
    }
}

fn plan(change: &NodeRollout, wanted: &Rollout, command_folder: &Path, script: &Path) -> String {
    let s = &change.stage.lab.scenario;
    let mut text = format!(
        "name = {:?}\nseed = {}\n[change]\ngeneration = {NEW:?}\nfrom = {OLD:?}\nplacement = {}\n[stages]\n\
         parts = {:?}\nhold_s = {:?}\nlongest_s = {:?}\ncommand_s = {:?}\nspan_s = 0.5\ndown_at_once = {}\n\
         [bounds]\nleast_loss = {:?}\nfleet_loss = {:?}\nfetches_per_s = {:?}\n",
        s.name,
        s.seed,
        wanted.placement,
        wanted.parts,
        wanted.hold_s,
        wanted.longest_s,
        wanted.command_s,
        wanted.down_at_once,
        wanted.least_loss,
        wanted.fleet_loss,
        s.origin.per_s
    );
    for (n, node) in change.stage.nodes.iter().enumerate() {
        let report = node.lock().expect("not poisoned").report();
        let command = |word: &str| {
            format!(
                "[\"sh\", {:?}, {:?}, \"n{n}\", {word:?}]",
                script.display(),
                command_folder.display()
            )
        };
        text += &format!(
            "[[node]]\nname = \"n{n}\"\nzone = \"z{}\"\nchange = {}\nback = {}\nrestart = {}\nreport = {report:?}\n",
            n % s.caches.zones.max(1),
            command("change"),
            command("back"),
            command("restart")
        );
    }
    text
}

/// Where the conductor of the lab leaves its end and its lines: beside its plan.
pub fn told(plan: &Path) -> (PathBuf, PathBuf) {
    (plan.with_extension("how"), plan.with_extension("said"))
}

/// The conductor's process: begins, or goes on where there is a log. Its plan is named by `SPARROUTER_PLAN`.
pub fn conduct() -> Result<(), String> {
    let plan =
        PathBuf::from(std::env::var("SPARROUTER_PLAN").map_err(|_| "SPARROUTER_PLAN is not set")?);
    let log = plan.with_extension("log");
    let begun = std::fs::metadata(&log).is_ok_and(|m| m.len() > 0);
    let mode = if begun {
        sparrouter_rollout::run::Mode::Resume
    } else {
        sparrouter_rollout::run::Mode::Run
    };
    let (how, said) = told(&plan);
    let file = std::fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(said);
    let mut file = file.map_err(|e| e.to_string())?;
    let dies: Option<usize> = std::env::var(ABORT_POINT_VARIABLE)
        .ok()
        .and_then(|n| n.parse().ok());
    let mut points = 0;
    let point = || {
        points += 1;
        // As by kill -9: nothing is flushed, nobody is told.
        if dies == Some(points) {
            std::process::abort();
        }
    };
    let say = |line: &str| {
        use std::io::Write;
        let _ = writeln!(file, "{line}");
    };
    let ended = sparrouter_rollout::run::run_by(&plan, &log, mode, say, point);
    let ended = ended.map_err(|e| e.to_string())?;
    let text = serde_json::to_string(&ended).map_err(|e| e.to_string())?;
    std::fs::write(how, text).map_err(|e| e.to_string())
}

/// Names the point of its work at which a conductor ends itself: the so-manieth before or after a write or a command.
const ABORT_POINT_VARIABLE: &str = "SPARROUTER_DIES";

fn conductor(tools: &Tools, plan: &Path, dies: Option<usize>) -> Result<Child, String> {
    let log = std::fs::File::create(plan.with_extension("err")).map_err(|e| e.to_string())?;
    let mut command = Command::new(&tools.conductor[0]);
    command
        .args(&tools.conductor[1..])
        .env("SPARROUTER_PLAN", plan)
        .stdin(Stdio::null());
    command
        .stdout(Stdio::null())
        .stderr(log)
        .env_remove(ABORT_POINT_VARIABLE);
    if let Some(point) = dies {
        command.env(ABORT_POINT_VARIABLE, point.to_string());
    }
    command
        .spawn()
        .map_err(|e| format!("{}: {e}", tools.conductor[0]))
}

/// Runs until the change has ended or the run is over.
pub(crate) fn run(
    stage: &Arc<Environment>,
    wanted: &Rollout,
    tools: &Tools,
    folder: &Path,
    over: &AtomicBool,
) -> Result<RolloutResult, String> {
    let change = Arc::new(NodeRollout::new(stage, wanted, tools)?);
    let (command_folder, file, script) = (
        folder.join("asks"),
        folder.join("plan.toml"),
        folder.join("ask.sh"),
    );
    let io = |e: std::io::Error| e.to_string();
    // What an earlier run in this folder left would be gone on with.
    let _ = std::fs::remove_dir_all(&command_folder);
    for left in ["log", "log.history", "how", "said", "err"] {
        let _ = std::fs::remove_file(file.with_extension(left));
    }
    std::fs::create_dir_all(&command_folder).map_err(io)?;
    std::fs::write(&script, COMMAND_SCRIPT).map_err(io)?;
    std::fs::write(&file, plan(&change, wanted, &command_folder, &script)).map_err(io)?;
    let due = stage.lab.instant(crate::nanos(wanted.at_s));
    while Instant::now() < due && !over.load(Relaxed) {
        sleep(POLL_INTERVAL);
    }
    let began = Instant::now();
    let (mut how, mut why, mut kills) = ("not ended".to_string(), String::new(), 0);
    let mut ended = None;
    match wanted.how {
        RolloutMode::AtOnce | RolloutMode::Plain => {
            let all = (0..change.new_versions.len()).map(|n| {
                let change = change.clone();
                spawn(move || change.execute(n, "change"))
            });
            if wanted.how == RolloutMode::AtOnce {
                all.collect::<Vec<_>>()
                    .into_iter()
                    .for_each(|t| drop(t.join()));
            } else {
                for n in 0..change.new_versions.len() {
                    if over.load(Relaxed) {
                        break;
                    }
                    let _ = change.execute(n, "change");
                    // As a person would: the next once this one is up.
                    sleep(Duration::from_millis(500));
                }
            }
            how = "through".into();
            ended = Some(began.elapsed());
        }
        RolloutMode::Staged => {
            let server = change.clone();
            let (place, gone) = (command_folder.clone(), Arc::new(AtomicBool::new(false)));
            let until = gone.clone();
            let serve_commands = spawn(move || server.serve_commands(&place, &until));
            let mut points = wanted.dies.iter().copied();
            let mut dies = points.next();
            let mut child = conductor(tools, &file, dies)?;
            let mut at: Vec<Instant> = wanted
                .kills
                .iter()
                .map(|k| stage.lab.instant(crate::nanos(*k)))
                .collect();
            at.sort();
            while !over.load(Relaxed) {
                if at.first().is_some_and(|k| Instant::now() >= *k) {
                    at.remove(0);
                    let _ = child.kill();
                    let _ = child.wait();
                    kills += 1;
                    child = conductor(tools, &file, None)?;
                }
                if let Ok(Some(status)) = child.try_wait() {
                    if status.code().is_none() && dies.is_some() {
                        kills += 1;
                        dies = points.next();
                        child = conductor(tools, &file, dies)?;
                        continue;
                    }
                    ended = Some(began.elapsed());
                    if !status.success() {
                        why =
                            std::fs::read_to_string(file.with_extension("err")).unwrap_or_default();
                    }
                    break;
                }
                sleep(POLL_INTERVAL);
            }
            let _ = child.kill();
            let _ = child.wait();
            gone.store(true, Relaxed);
            let _ = serve_commands.join();
        }
    }
    let (end, said) = told(&file);
    let text = std::fs::read_to_string(end).unwrap_or_default();
    if let Ok(end) = serde_json::from_str::<sparrouter_rollout::record::How>(&text) {
        use sparrouter_rollout::record::How as End;
        (how, why) = match end {
            End::Through => ("through".into(), String::new()),
            End::Back(why) => ("back".into(), why),
            End::Left(why) => ("left".into(), why),
        };
    }
    let said: Vec<String> = std::fs::read_to_string(said)
        .unwrap_or_default()
        .lines()
        .map(str::to_string)
        .collect();
    let new = |n: &usize| change.generation(*n).as_deref() == Some(NEW);
    let log = std::fs::read(file.with_extension("log")).unwrap_or_default();
    let entries = sparrouter_rollout::record::read(&log, "log")
        .map(|r| r.0)
        .unwrap_or_default();
    let stages = entries
        .iter()
        .filter(|e| matches!(e, sparrouter_rollout::record::Entry::Stage { .. }))
        .count();
    Ok(RolloutResult {
        how,
        why,
        stages,
        took_s: ended.unwrap_or(began.elapsed()).as_secs_f64(),
        changed: (0..change.new_versions.len()).filter(new).collect(),
        kills,
        said,
    })
}
