//! One run: starts everything, plays arrivals and faults by the clock, stops everything, judges the records.
mod environment;
mod faults;
mod lifecycle;
mod result;
mod sampling;
mod starvation;

pub(crate) use environment::Environment;
pub use result::{Band, Program, Run, RunError, Sample};

use crate::Nanos;
use crate::clients;
use crate::ledger::audit::Verdict;
use crate::ledger::figures::Tally;
use crate::ledger::{InvocationLog, Record};
use crate::rollout::{self, RolloutError, RolloutResult, Tools};
use crate::scenario::Scenario;
use crate::scenario::schedule::{self, Schedule};
use crate::stand_ins::{Lab, unix_ms};
use crate::workers::Workers;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, mpsc};
use std::thread::JoinHandle;
use std::time::Duration;

/// Time that cache servers get to finish forwards after the last client has ended.
const COMPLETION_TIME: Duration = Duration::from_millis(200);

/// Plays a scenario. `folder` takes the nodes' configurations and logs; `progress` is called with the time since
/// the first arrival.
///
/// # Errors
/// Where something can't be started, a node does not become ready, or the scenario's rollout can't be carried out.
pub fn play(
    scenario: &Scenario,
    program: &Program,
    folder: &Path,
    progress: impl Fn(Nanos),
) -> Result<Run, RunError> {
    play_with(scenario, program, &Tools::own(), folder, progress)
}

/// The same, where the defect proxy and the conductor are not subcommands of this program.
///
/// # Errors
/// As [`play`].
pub fn play_with(
    scenario: &Scenario,
    program: &Program,
    tools: &Tools,
    folder: &Path,
    progress: impl Fn(Nanos),
) -> Result<Run, RunError> {
    let scenario = scenario.clone().with_defaults();
    std::fs::create_dir_all(folder).map_err(|e| RunError::Io(folder.display().to_string(), e))?;
    let collector = Collector::start(&scenario);
    let workers = WorkerPools::start();
    let records = collector.records.clone();
    let lab = Lab::new(scenario.clone(), records, workers.stand_ins.clone());
    let schedule = schedule::draw(&scenario);
    let environment = match Environment::start(&lab, &schedule, program, folder) {
        Ok(environment) => Arc::new(environment),
        Err(error) => {
            workers.stand_ins.stop();
            workers.clients.stop();
            return Err(error);
        }
    };
    let cpu_before_s = environment.cpu_s();
    lab.begin();
    let began_unix_ms = unix_ms();
    let background = Background::start(&environment, schedule, tools, folder);
    clients::play(&lab, environment.front(), &workers.clients, progress);
    std::thread::sleep(COMPLETION_TIME);
    let observed = background.finish()?;
    workers.clients.stop();
    let cpu_after_s = environment.kill_nodes();
    lab.over.store(true, Relaxed);
    workers.stand_ins.stop();
    let (verdict, tally) = collector.finish();
    let (memory_mb, descriptors) = result::peaks(&observed.samples);
    Ok(Run {
        program: program.name(),
        verdict,
        tally,
        bands: result::bands(&scenario),
        scenario,
        began_unix_ms,
        rollout: observed.rollout,
        cpu_s: cpu_after_s - cpu_before_s,
        memory_mb,
        descriptors,
        samples: observed.samples,
    })
}

/// The thread that feeds records to the invocation log as they come.
struct Collector {
    records: mpsc::Sender<Record>,
    thread: JoinHandle<(Verdict, Tally)>,
}

impl Collector {
    fn start(scenario: &Scenario) -> Collector {
        let (records, received) = mpsc::channel();
        let mut log = InvocationLog::new(scenario);
        let thread = std::thread::spawn(move || {
            for record in received {
                if matches!(record, Record::EndOfRun) {
                    break;
                }
                log.record(record);
            }
            log.finish()
        });
        Collector { records, thread }
    }

    fn finish(self) -> (Verdict, Tally) {
        let _ = self.records.send(Record::EndOfRun);
        self.thread.join().expect("the ledger does not panic")
    }
}

/// Threads for the stand-ins and for the clients, by the number of cores.
struct WorkerPools {
    stand_ins: Workers,
    clients: Workers,
}

impl WorkerPools {
    fn start() -> WorkerPools {
        let cores = std::thread::available_parallelism().map_or(4, |n| n.get());
        WorkerPools {
            stand_ins: Workers::start("stand", (cores / 2).max(2)),
            clients: Workers::start("client", (cores * 3 / 8).max(2)),
        }
    }
}

/// What goes on beside the clients: faults, samples and the rollout, each on a thread.
struct Background {
    over: Arc<AtomicBool>,
    faults: JoinHandle<()>,
    samples: JoinHandle<Vec<Sample>>,
    rollout: Option<JoinHandle<Result<RolloutResult, RolloutError>>>,
}

/// What the background threads leave behind.
struct Observed {
    samples: Vec<Sample>,
    rollout: Option<RolloutResult>,
}

impl Background {
    fn start(
        environment: &Arc<Environment>,
        schedule: Schedule,
        tools: &Tools,
        folder: &Path,
    ) -> Background {
        let over = Arc::new(AtomicBool::new(false));
        let (own, until) = (environment.clone(), over.clone());
        let faults = std::thread::spawn(move || own.inject_faults(&schedule.steps, &until));
        let (own, until) = (environment.clone(), over.clone());
        let samples = std::thread::spawn(move || own.sample_until(&until));
        let plan = environment.lab.scenario.rollout.clone();
        let rollout = plan.map(|plan| {
            let (own, until) = (environment.clone(), over.clone());
            let (tools, folder) = (tools.clone(), folder.to_path_buf());
            std::thread::spawn(move || rollout::run(&own, &plan, &tools, &folder, &until))
        });
        Background {
            over,
            faults,
            samples,
            rollout,
        }
    }

    fn finish(self) -> Result<Observed, RunError> {
        self.over.store(true, Relaxed);
        let _ = self.faults.join();
        let samples = self.samples.join().unwrap_or_default();
        let rollout = self
            .rollout
            .map(|thread| thread.join().unwrap_or(Err(RolloutError::Panicked)))
            .transpose()
            .map_err(RunError::Rollout)?;
        Ok(Observed { samples, rollout })
    }
}
