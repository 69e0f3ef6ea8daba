//! The program itself, with nodes that are no more than files: what it prints, how it ends, and a full disk.
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
/// Shell script of all commands: writes the node's generation, and the moment of its start.
const COMMAND: &str = "printf %s \"$2\" > \"$1.state.new\" && mv \"$1.state.new\" \"$1.state\"; date +%s%N > \"$1.began\"";

/// The generation that a node runs.
fn generation(folder: &Path, node: usize) -> String {
    std::fs::read_to_string(folder.join(format!("n{node}.state"))).unwrap_or_default()
}

/// A node that writes reports.
struct ReportingNode {
    folder: PathBuf,
    index: usize,
    /// Content of the file that a command writes at a start.
    start: String,
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
            start: String::new(),
            started_at: Instant::now(),
            report: empty_report(),
        }
    }

    /// Begins with empty counters, if a command has started a process anew.
    fn detect_start(&mut self) {
        let path = self.folder.join(format!("n{}.began", self.index));
        let start = std::fs::read_to_string(path).unwrap_or_default();
        if self.start != start {
            self.start = start;
            self.started_at = Instant::now();
            self.report = empty_report();
        }
    }

    /// Serves ten requests, of which a changed node answers so many with an error, and writes a report.
    fn serve(&mut self, errors_of_changed: u64) {
        // The generation is read first: a start that comes between belongs to the next report.
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

/// A fleet of files, whose nodes report each tenth of a second until it is dropped.
struct FileFleet {
    folder: tempfile::TempDir,
    is_over: Arc<AtomicBool>,
    writer: Option<JoinHandle<()>>,
}

impl Drop for FileFleet {
    fn drop(&mut self) {
        self.is_over.store(true, SeqCst);
        let _ = self.writer.take().map(JoinHandle::join);
    }
}

/// The end of the program.
struct Ended {
    status: i32,
    /// What it printed to both outputs.
    printed: String,
}

impl From<Output> for Ended {
    fn from(output: Output) -> Ended {
        let stdout = String::from_utf8_lossy(&output.stdout);
        let stderr = String::from_utf8_lossy(&output.stderr);
        Ended {
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
        let is_over = Arc::new(AtomicBool::new(false));
        let writer_is_over = is_over.clone();
        let mut nodes: Vec<ReportingNode> = (0..NODES)
            .map(|index| ReportingNode::new(path, index))
            .collect();
        let writer = spawn(move || {
            while !writer_is_over.load(SeqCst) {
                nodes
                    .iter_mut()
                    .for_each(|node| node.serve(errors_of_changed));
                sleep(Duration::from_millis(100));
            }
        });
        FileFleet {
            folder,
            is_over,
            writer: Some(writer),
        }
    }

    fn plan_path(&self) -> PathBuf {
        self.folder.path().join("plan.toml")
    }

    /// Runs the program with these arguments before the plan.
    fn run(&self, arguments: &[&str]) -> Ended {
        Command::new(env!("CARGO_BIN_EXE_sparrouter-rollout"))
            .args(arguments)
            .arg(self.plan_path())
            .output()
            .unwrap()
            .into()
    }

    fn page(&self) -> String {
        let ended = self.run(&["page"]);
        assert_eq!(ended.status, 0, "{}", ended.printed);
        std::fs::read_to_string(self.folder.path().join("plan.html")).unwrap()
    }

    /// Asserts that all nodes run this generation.
    #[track_caller]
    fn assert_all(&self, expected: &str, context: &Ended) {
        let generations: Vec<String> = (0..NODES)
            .map(|node| generation(self.folder.path(), node))
            .collect();
        assert_eq!(generations, vec![expected; NODES], "{}", context.printed);
    }
}

#[test]
fn a_harmless_change_ends_with_0_and_leaves_a_page() {
    let fleet = FileFleet::new(0);
    let ended = fleet.run(&["run"]);
    assert_eq!(ended.status, 0, "{}", ended.printed);
    fleet.assert_all("new", &ended);
    assert!(
        ended.printed.contains("every node is changed"),
        "{}",
        ended.printed
    );
    let page = fleet.page();
    for text in [
        "Every node is changed.",
        "stage 2 of 2",
        "<svg",
        "nearest to a stop",
        "unchanged",
    ] {
        assert!(page.contains(text), "{text}");
    }
    // It has ended: nothing is begun again under its log, and `resume` repeats how it ended.
    let ended = fleet.run(&["run"]);
    assert!(
        ended.status == 2 && ended.printed.contains("was begun"),
        "{}",
        ended.printed
    );
    assert_eq!(fleet.run(&["resume"]).status, 0);
    let ended = fleet.run(&["back"]);
    assert_eq!(ended.status, 1);
    fleet.assert_all("old", &ended);
}

#[test]
fn a_change_with_errors_ends_with_1_and_the_page_says_why() {
    let fleet = FileFleet::new(3);
    let ended = fleet.run(&["run"]);
    assert_eq!(ended.status, 1, "{}", ended.printed);
    fleet.assert_all("old", &ended);
    let page = fleet.page();
    assert!(
        page.contains("Taken back: errored") || page.contains("Taken back: lost"),
        "{}",
        ended.printed
    );
    let status = fleet.run(&["status"]).printed;
    assert!(status.contains("ended: taken back"), "{status}");
}

/// A log that cannot grow: nothing is done that is not logged, and another controller continues once there is space.
#[test]
fn a_full_disk_stops_it_before_it_acts_and_it_continues_after() {
    let fleet = FileFleet::new(0);
    // 512 bytes a file; the baseline of four nodes is longer.
    let script = "trap '' XFSZ; ulimit -f 1; exec \"$0\" run \"$1\"";
    let ended: Ended = Command::new("sh")
        .args(["-c", script, env!("CARGO_BIN_EXE_sparrouter-rollout")])
        .arg(fleet.plan_path())
        .output()
        .unwrap()
        .into();
    assert!(
        ended.status == 2 && ended.printed.contains("plan.log"),
        "{} {}",
        ended.status,
        ended.printed
    );
    fleet.assert_all("old", &ended);
    let ended = fleet.run(&["resume"]);
    assert_eq!(ended.status, 0, "{}", ended.printed);
    fleet.assert_all("new", &ended);
}

#[test]
fn a_log_that_cannot_be_created_is_named_and_nothing_is_done() {
    let fleet = FileFleet::new(0);
    for log in ["/proc/none.log", "/nowhere/none.log"] {
        let ended = fleet.run(&["run", "--log", log]);
        assert!(
            ended.status == 2 && ended.printed.contains(log),
            "{} {}",
            ended.status,
            ended.printed
        );
        fleet.assert_all("old", &ended);
    }
}
