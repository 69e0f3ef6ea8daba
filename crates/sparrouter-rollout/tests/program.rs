//! Tests of the program with nodes that consist only of files: printed lines, exit status, and a full disk.
use sparrouter_rollout::report::{BUCKETS, Operation, Report};
use std::fs::OpenOptions;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::thread::{JoinHandle, sleep, spawn};
use std::time::{Duration, Instant};

const NODES: usize = 4;
/// Shell script of all commands: writes the node's generation and the time of its start.
const COMMAND: &str = "printf %s \"$2\" > \"$1.state.new\" && mv \"$1.state.new\" \"$1.state\"; date +%s%N > \"$1.began\"";

/// Reads the generation that a node runs.
fn generation(folder: &Path, node: usize) -> String {
    std::fs::read_to_string(folder.join(format!("n{node}.state"))).unwrap_or_default()
}

/// A simulated node that writes reports.
struct ReportingNode {
    folder: PathBuf,
    index: usize,
    /// Content of the file that a command writes when it starts the node.
    start_marker: String,
    started_at: Instant,
    report: Report,
}

fn empty_report() -> Report {
    Report {
        operations: vec![Operation {
            name: "get".to_string(),
            latency: vec![0; BUCKETS],
            ..Operation::default()
        }],
        ..Report::default()
    }
}

impl ReportingNode {
    fn new(folder: &Path, index: usize) -> ReportingNode {
        ReportingNode {
            folder: folder.to_path_buf(),
            index,
            start_marker: String::new(),
            started_at: Instant::now(),
            report: empty_report(),
        }
    }

    /// Resets the counters if a command has started a new process.
    fn detect_start(&mut self) {
        let path = self.folder.join(format!("n{}.began", self.index));
        let start_marker = std::fs::read_to_string(path).unwrap_or_default();
        if self.start_marker != start_marker {
            self.start_marker = start_marker;
            self.started_at = Instant::now();
            self.report = empty_report();
        }
    }

    /// Serves ten requests and writes a report. A changed node answers `errors_of_changed` of them with an error.
    fn serve(&mut self, errors_of_changed: u64) {
        // The generation is read first, so that a start after this point belongs to the next report.
        let generation = generation(&self.folder, self.index);
        self.detect_start();
        let errors = if generation == "new" {
            errors_of_changed
        } else {
            0
        };
        let report = &mut self.report;
        let operation = &mut report.operations[0];
        operation.taken += 10;
        operation.asked += 10.0;
        operation.errored += errors;
        operation.succeeded += 10 - errors;
        operation.in_time += (10 - errors) as f64;
        operation.latency[20] += 10 - errors;
        report.name = format!("n{}", self.index);
        report.generation = generation;
        report.placement = "1".into();
        report.forwards += 10;
        report.uptime_ms = self.started_at.elapsed().as_millis() as u64;
        self.append_report();
    }

    fn append_report(&self) {
        let path = self.folder.join(format!("n{}.jsonl", self.index));
        let mut file = OpenOptions::new()
            .create(true)
            .append(true)
            .open(path)
            .unwrap();
        let mut line = serde_json::to_vec(&self.report).unwrap();
        line.push(b'\n');
        file.write_all(&line).unwrap();
    }
}

/// A fleet of nodes that consist of files and write a report every 100 ms until the fleet is dropped.
struct FileFleet {
    folder: tempfile::TempDir,
    is_stopped: Arc<AtomicBool>,
    writer: Option<JoinHandle<()>>,
}

impl Drop for FileFleet {
    fn drop(&mut self) {
        self.is_stopped.store(true, SeqCst);
        let _ = self.writer.take().map(JoinHandle::join);
    }
}

/// Result of a run of the program.
struct ProgramResult {
    status: i32,
    /// Text on standard output followed by the text on standard error.
    printed: String,
}

impl From<Output> for ProgramResult {
    fn from(output: Output) -> ProgramResult {
        let stdout = String::from_utf8_lossy(&output.stdout);
        let stderr = String::from_utf8_lossy(&output.stderr);
        ProgramResult {
            status: output.status.code().unwrap_or(-1),
            printed: format!("{stdout}{stderr}"),
        }
    }
}

fn plan(folder: &Path) -> String {
    let mut plan = "name = \"files\"\nchange = { generation = \"new\", from = \"old\" }\n[stages]\nparts = [0.5, 1.0]\n\
        hold_s = 1\nlongest_s = 12\ncommand_s = 4\nspan_s = 0.2\n"
        .to_string();
    for index in 0..NODES {
        let node = folder.join(format!("n{index}"));
        let command = |generation: &str| {
            format!("[\"sh\", \"-c\", {COMMAND:?}, \"sh\", {node:?}, \"{generation}\"]")
        };
        plan += &format!(
            "[[node]]\nname = \"n{index}\"\nchange = {}\nback = {}\nrestart = {}\nreport = {:?}\n",
            command("new"),
            command("old"),
            command("old"),
            folder.join(format!("n{index}.jsonl"))
        );
    }
    plan
}

impl FileFleet {
    fn new(errors_of_changed: u64) -> FileFleet {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path();
        for index in 0..NODES {
            std::fs::write(path.join(format!("n{index}.state")), "old").unwrap();
        }
        std::fs::write(path.join("plan.toml"), plan(path)).unwrap();
        let is_stopped = Arc::new(AtomicBool::new(false));
        let writer_is_stopped = is_stopped.clone();
        let mut nodes: Vec<ReportingNode> = (0..NODES)
            .map(|index| ReportingNode::new(path, index))
            .collect();
        let writer = spawn(move || {
            while !writer_is_stopped.load(SeqCst) {
                nodes
                    .iter_mut()
                    .for_each(|node| node.serve(errors_of_changed));
                sleep(Duration::from_millis(100));
            }
        });
        FileFleet {
            folder,
            is_stopped,
            writer: Some(writer),
        }
    }

    fn plan_path(&self) -> PathBuf {
        self.folder.path().join("plan.toml")
    }

    /// Runs the program with these arguments and the path of the plan.
    fn run(&self, arguments: &[&str]) -> ProgramResult {
        Command::new(env!("CARGO_BIN_EXE_sparrouter-rollout"))
            .args(arguments)
            .arg(self.plan_path())
            .output()
            .unwrap()
            .into()
    }

    fn page(&self) -> String {
        let result = self.run(&["page"]);
        assert_eq!(result.status, 0, "{}", result.printed);
        std::fs::read_to_string(self.folder.path().join("plan.html")).unwrap()
    }

    /// Asserts that all nodes run the `expected` generation.
    #[track_caller]
    fn assert_all(&self, expected: &str, context: &ProgramResult) {
        let generations: Vec<String> = (0..NODES)
            .map(|node| generation(self.folder.path(), node))
            .collect();
        assert_eq!(generations, vec![expected; NODES], "{}", context.printed);
    }
}

#[test]
fn given_a_harmless_change_when_run_then_the_exit_status_is_0_and_the_page_shows_the_rollout() {
    let fleet = FileFleet::new(0);
    let result = fleet.run(&["run"]);
    assert_eq!(result.status, 0, "{}", result.printed);
    fleet.assert_all("new", &result);
    assert!(
        result.printed.contains("every node is changed"),
        "{}",
        result.printed
    );
    let page = fleet.page();
    for text in [
        "Every node is changed.",
        "stage 2 of 2",
        "<svg",
        "strongest evidence of harm",
        "unchanged",
    ] {
        assert!(page.contains(text), "{text}");
    }
    // The rollout has ended: `run` does not start again with the same log, and `resume` returns the same outcome.
    let result = fleet.run(&["run"]);
    assert!(
        result.status == 2 && result.printed.contains("already contains a rollout"),
        "{}",
        result.printed
    );
    assert_eq!(fleet.run(&["resume"]).status, 0);
    let result = fleet.run(&["back"]);
    assert_eq!(result.status, 1);
    fleet.assert_all("old", &result);
}

#[test]
fn given_a_change_that_causes_errors_when_run_then_the_exit_status_is_1_and_the_page_names_the_reason()
 {
    let fleet = FileFleet::new(3);
    let result = fleet.run(&["run"]);
    assert_eq!(result.status, 1, "{}", result.printed);
    fleet.assert_all("old", &result);
    let page = fleet.page();
    assert!(
        page.contains("Rolled back: errored") || page.contains("Rolled back: lost"),
        "{}",
        result.printed
    );
    let status = fleet.run(&["status"]).printed;
    assert!(status.contains("ended: rolled back"), "{status}");
}

/// If the log cannot grow, no unlogged action is executed, and another controller continues once there is space.
#[test]
fn given_a_full_disk_when_run_then_no_node_is_changed_and_resume_completes_the_rollout() {
    let fleet = FileFleet::new(0);
    // Files are limited to 512 bytes; the log entry with the baseline of four nodes is longer.
    let script = "trap '' XFSZ; ulimit -f 1; exec \"$0\" run \"$1\"";
    let result: ProgramResult = Command::new("sh")
        .args(["-c", script, env!("CARGO_BIN_EXE_sparrouter-rollout")])
        .arg(fleet.plan_path())
        .output()
        .unwrap()
        .into();
    assert!(
        result.status == 2 && result.printed.contains("plan.log"),
        "{} {}",
        result.status,
        result.printed
    );
    fleet.assert_all("old", &result);
    let result = fleet.run(&["resume"]);
    assert_eq!(result.status, 0, "{}", result.printed);
    fleet.assert_all("new", &result);
}

#[test]
fn given_a_log_that_cannot_be_created_when_run_then_the_error_names_it_and_no_node_is_changed() {
    let fleet = FileFleet::new(0);
    for log in ["/proc/none.log", "/nowhere/none.log"] {
        let result = fleet.run(&["run", "--log", log]);
        assert!(
            result.status == 2 && result.printed.contains(log),
            "{} {}",
            result.status,
            result.printed
        );
        fleet.assert_all("old", &result);
    }
}
