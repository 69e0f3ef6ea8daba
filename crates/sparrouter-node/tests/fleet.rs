//! Real nodes in the lab's fleet. The lab's audit checks every rule for every invocation.
use sparrouter_lab::ledger::figures::Tally;
use sparrouter_lab::play::{Program, Run, play};
use sparrouter_lab::scenario::Scenario;
use std::sync::Mutex;

/// One run at a time: sixteen nodes of a debug build use the whole machine.
static ALONE: Mutex<()> = Mutex::new(());

const OPERATIONS: &str = r#"
[[operation]]
name = "view"
share = 0.9
effect = "idempotent"
work_ms = 8
objective_ms = 500
client_timeout_ms = 1200
[[operation]]
name = "swap"
share = 0.05
effect = "deduplicated"
write = true
window_ms = 1000
objective_ms = 500
client_timeout_ms = 1200
[[operation]]
name = "assign"
share = 0.05
effect = "non_idempotent"
write = true
objective_ms = 500
client_timeout_ms = 1200
"#;

fn run_scenario(text: &str) -> Run {
    let alone = ALONE.lock().unwrap_or_else(|e| e.into_inner());
    let scenario = Scenario::parse("fleet", &format!("seed = 5\n{text}{OPERATIONS}")).unwrap();
    let folder = tempfile::tempdir().unwrap();
    let node = Program::Node(env!("CARGO_BIN_EXE_sparrouter-node").into());
    let run = play(&scenario, &node, folder.path(), |_| {}).unwrap();
    drop(alone);
    assert!(
        run.verdict.kept(),
        "{:?}\n{:#?}",
        run.verdict,
        run.tally.slowest
    );
    run
}

/// Number of answered invocations, with any result.
fn answered(t: &Tally) -> u64 {
    let c = &t.total;
    c.in_objective + c.past_objective + c.throttled + c.errored
}

#[test]
fn a_crash_with_a_cold_restart_and_a_rolling_deploy_keep_the_rules() {
    let run = run_scenario(
        "name = \"deploy\"\nlength_s = 9\n[nodes]\ncount = 2\n[caches]\ncount = 6\nkeys = 600\ncold_s = 4\n\
         [origin]\nper_s = 150\n[load]\nrate_per_s = 120\nkeys = 800\n\
         [[fault]]\nkind = \"crash\"\nat_s = 1\nlength_s = 2\npart = 0.34\n\
         [[fault]]\nkind = \"deploy\"\nat_s = 4\nlength_s = 4\npart = 0.8\nbatch = 0.34\ndrain_s = 1.5\n",
    );
    assert!(
        run.tally.good() > 0.9 && answered(&run.tally) >= run.tally.total.asked,
        "{:?}",
        run.tally.total
    );
}

/// Clients retry invocations that were in flight at a killed node; its earlier answers count.
#[test]
fn nodes_killed_with_invocations_in_flight_keep_the_rules() {
    let run = run_scenario(
        "name = \"killed\"\nlength_s = 6\n[nodes]\ncount = 3\nfront_notices_s = 0.4\n[caches]\ncount = 6\n\
         [load]\nrate_per_s = 250\nretries = 2\n\
         [[fault]]\nkind = \"node_restart\"\nat_s = 1\nlength_s = 4\npart = 1\ndown_s = 0.5\nkilled = true\n",
    );
    assert!(
        run.verdict.unjudged.contains_key("its node was killed"),
        "{:?}",
        run.verdict
    );
    assert!(run.tally.good() > 0.85, "{:?}", run.tally.total);
}

/// Nodes are suspended and resumed with invocations in flight: nothing is executed twice, and nothing is sent to a
/// server that started to drain in between after its drain grace.
#[test]
fn paused_nodes_that_resume_keep_the_rules() {
    let run = run_scenario(
        "name = \"paused\"\nlength_s = 7\n[nodes]\ncount = 3\nfront_notices_s = 0.4\n[caches]\ncount = 6\n\
         [load]\nrate_per_s = 200\nretries = 1\n\
         [[fault]]\nkind = \"node_pause\"\nat_s = 1.5\nlength_s = 0.8\npart = 0.67\n\
         [[fault]]\nkind = \"node_pause\"\nat_s = 4\nlength_s = 2\npart = 0.34\n",
    );
    // Because of the pause some invocations in flight were answered too late or not at all.
    let late =
        run.tally.total.past_objective + run.tally.total.unanswered + run.tally.total.errored;
    assert!(
        run.tally.good() > 0.8 && late > 0,
        "{:?} {:?}",
        run.tally.total,
        run.verdict.unjudged
    );
}

/// Truncated replies, lost bytes and slow links between nodes and cache servers.
#[test]
fn links_that_lose_bytes_delay_or_break_keep_the_rules() {
    let fault = |at: f64, how: &str| {
        format!(
            "[[fault]]\nkind = \"links\"\nat_s = {at}\nlength_s = 1.2\nbefore = \"caches\"\npart = 0.34\n{how}\n"
        )
    };
    let faults = [
        fault(0.5, "how = \"lost_back\""),
        fault(2.0, "how = \"cut\"\nbytes = 300"),
        fault(3.5, "how = \"half_open\""),
        fault(5.0, "how = \"reset\""),
        fault(6.5, "delay_ms = 80\njitter_ms = 40"),
        fault(8.0, "how = \"lost_there\""),
        fault(9.5, "kib_per_s = 2"),
    ];
    let run = run_scenario(&format!(
        "name = \"links\"\nlength_s = 11\n[caches]\ncount = 6\n[load]\nrate_per_s = 150\n\
         [[link]]\nbefore = \"caches\"\ndelay_ms = 1\njitter_ms = 1\n{}",
        faults.concat()
    ));
    assert!(run.tally.good() > 0.8, "{:?}", run.tally.total);
}

#[test]
fn sixteen_nodes_two_hundred_cache_servers_and_a_thousand_connections() {
    let run = run_scenario(
        "name = \"wide\"\nlength_s = 4\n[nodes]\ncount = 16\nsockets = 1024\n[caches]\ncount = 200\n[origin]\nper_s = 800\n\
         [load]\nrate_per_s = 1500\nconnections = 64\n",
    );
    assert!(
        run.tally.good() > 0.9 && run.descriptors < 1024,
        "{:?} {}",
        run.tally.total,
        run.descriptors
    );
}
