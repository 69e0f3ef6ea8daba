//! The program itself, before nodes that are no more than files: what it says, how it ends, and a disk that is full.
use sparrouter_rollout::report::{BUCKETS, Operation, Report};
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::thread::{JoinHandle, sleep, spawn};
use std::time::{Duration, Instant};

const NODES: usize = 4;
const CONTROL: &str = "printf %s \"$2\" > \"$1.state.new\" && mv \"$1.state.new\" \"$1.state\"; date +%s%N > \"$1.began\"";

struct Files {
    folder: tempfile::TempDir,
    over: Arc<AtomicBool>,
    writer: Option<JoinHandle<()>>,
}

impl Drop for Files {
    fn drop(&mut self) {
        self.over.store(true, SeqCst);
        let _ = self.writer.take().map(JoinHandle::join);
    }
}

fn state(folder: &Path, n: usize) -> String {
    std::fs::read_to_string(folder.join(format!("n{n}.state"))).unwrap_or_default()
}

/// Each tenth of a second a line from each node, `errs` of ten answers of changed ones being errors.
fn write(folder: PathBuf, over: Arc<AtomicBool>, errs: u64) {
    use std::io::Write;
    let mut began: [(String, Instant); NODES] =
        std::array::from_fn(|_| (String::new(), Instant::now()));
    let mut reports: Vec<Report> = vec![Report::default(); NODES];
    while !over.load(SeqCst) {
        for n in 0..NODES {
            let (generation, since) = (
                state(&folder, n),
                std::fs::read_to_string(folder.join(format!("n{n}.began"))).unwrap_or_default(),
            );
            if began[n].0 != since {
                // A process anew: its counts begin at 0.
                began[n] = (since, Instant::now());
                reports[n] = Report::default();
            }
            let r = &mut reports[n];
            if r.operations.is_empty() {
                let (name, latency) = ("get".to_string(), vec![0; BUCKETS]);
                r.operations.push(Operation {
                    name,
                    latency,
                    ..Operation::default()
                });
            }
            let bad = if generation == "new" { errs } else { 0 };
            let op = &mut r.operations[0];
            (op.taken, op.asked, op.errored) = (op.taken + 10, op.asked + 10.0, op.errored + bad);
            (op.succeeded, op.in_time) = (op.succeeded + 10 - bad, op.in_time + (10 - bad) as f64);
            op.latency[20] += 10 - bad;
            (r.name, r.generation, r.placement) = (format!("n{n}"), generation, "1".into());
            (r.forwards, r.uptime_ms) = (r.forwards + 10, began[n].1.elapsed().as_millis() as u64);
            let path = folder.join(format!("n{n}.jsonl"));
            let mut file = std::fs::OpenOptions::new()
                .create(true)
                .append(true)
                .open(path)
                .unwrap();
            let mut line = serde_json::to_vec(&r).unwrap();
            line.push(b'\n');
            file.write_all(&line).unwrap();
        }
        sleep(Duration::from_millis(100));
    }
}

impl Files {
    fn new(errs: u64) -> Files {
        let folder = tempfile::tempdir().unwrap();
        let at = folder.path().to_path_buf();
        let mut plan = "name = \"files\"\nchange = { generation = \"new\", from = \"old\" }\n[stages]\nparts = [0.5, 1.0]\n\
            hold_s = 1\nlongest_s = 12\ncommand_s = 4\nspan_s = 0.2\n"
            .to_string();
        for n in 0..NODES {
            std::fs::write(at.join(format!("n{n}.state")), "old").unwrap();
            let node = at.join(format!("n{n}"));
            let command =
                |to: &str| format!("[\"sh\", \"-c\", {CONTROL:?}, \"sh\", {node:?}, \"{to}\"]");
            plan += &format!(
                "[[node]]\nname = \"n{n}\"\nchange = {}\nback = {}\nrestart = {}\nreport = {:?}\n",
                command("new"),
                command("old"),
                command("old"),
                at.join(format!("n{n}.jsonl"))
            );
        }
        std::fs::write(at.join("plan.toml"), plan).unwrap();
        let over = Arc::new(AtomicBool::new(false));
        let until = over.clone();
        let writer = Some(spawn(move || write(at, until, errs)));
        Files {
            folder,
            over,
            writer,
        }
    }

    fn run(&self, words: &[&str]) -> (i32, String) {
        let mut c = Command::new(env!("CARGO_BIN_EXE_sparrouter-rollout"));
        told(
            c.args(words)
                .arg(self.folder.path().join("plan.toml"))
                .output()
                .unwrap(),
        )
    }
    fn states(&self) -> Vec<String> {
        (0..NODES).map(|n| state(self.folder.path(), n)).collect()
    }
    fn page(&self) -> String {
        let (code, said) = self.run(&["page"]);
        assert_eq!(code, 0, "{said}");
        std::fs::read_to_string(self.folder.path().join("plan.html")).unwrap()
    }
}

fn told(out: Output) -> (i32, String) {
    let text =
        String::from_utf8_lossy(&out.stdout).to_string() + &String::from_utf8_lossy(&out.stderr);
    (out.status.code().unwrap_or(-1), text)
}

#[test]
fn a_sound_change_ends_with_0_and_leaves_a_page() {
    let files = Files::new(0);
    let (code, said) = files.run(&["run"]);
    assert_eq!(
        (code, files.states()),
        (0, vec!["new".to_string(); NODES]),
        "{said}"
    );
    assert!(said.contains("every node is changed"), "{said}");
    let page = files.page();
    for part in [
        "Every node is changed.",
        "stage 2 of 2",
        "<svg",
        "nearest to a stop",
        "unchanged",
    ] {
        assert!(page.contains(part), "{part}");
    }
    // It has ended: nothing is begun again under its log, and resuming says how it ended.
    let (code, said) = files.run(&["run"]);
    assert!(code == 2 && said.contains("was begun"), "{said}");
    assert_eq!(files.run(&["resume"]).0, 0);
    assert_eq!(files.run(&["back"]).0, 1);
    assert_eq!(files.states(), vec!["old".to_string(); NODES]);
}

#[test]
fn a_change_that_errs_ends_with_1_and_the_page_says_why() {
    let files = Files::new(3);
    let (code, said) = files.run(&["run"]);
    assert_eq!(
        (code, files.states()),
        (1, vec!["old".to_string(); NODES]),
        "{said}"
    );
    let page = files.page();
    assert!(
        page.contains("Taken back: errored") || page.contains("Taken back: lost"),
        "{said}"
    );
    assert!(files.run(&["status"]).1.contains("ended: taken back"));
}

/// A log that can't grow: nothing is done that is not logged, and another conductor goes on once there is room.
#[test]
fn a_full_disk_stops_it_before_it_acts_and_it_goes_on_after() {
    let files = Files::new(0);
    let plan = files.folder.path().join("plan.toml");
    // 512 bytes a file; the past of four nodes is longer.
    let script = "trap '' XFSZ; ulimit -f 1; exec \"$0\" run \"$1\"";
    let mut c = Command::new("sh");
    c.args(["-c", script, env!("CARGO_BIN_EXE_sparrouter-rollout")])
        .arg(&plan);
    let (code, said) = told(c.output().unwrap());
    assert!(code == 2 && said.contains("plan.log"), "{code} {said}");
    assert_eq!(files.states(), vec!["old".to_string(); NODES]);
    let (code, said) = files.run(&["resume"]);
    assert_eq!(
        (code, files.states()),
        (0, vec!["new".to_string(); NODES]),
        "{said}"
    );
}

#[test]
fn a_log_that_cannot_be_there_is_named_and_nothing_is_done() {
    let files = Files::new(0);
    for log in ["/proc/none.log", "/nowhere/none.log"] {
        let (code, said) = files.run(&["run", "--log", log]);
        assert!(code == 2 && said.contains(log), "{code} {said}");
    }
    assert_eq!(files.states(), vec!["old".to_string(); NODES]);
}
