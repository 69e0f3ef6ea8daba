//! Quotas shared by several real nodes while nodes are paused, killed, partitioned from each other, and added.
use sparrouter_lab::experiment::shares;
use sparrouter_lab::play::{Program, play};
use sparrouter_lab::scenario::Scenario;

const FLEET: &str = r#"
name = "shares"
seed = 83
length_s = 31
[nodes]
count = 4
front_notices_s = 0.3
[caches]
count = 8
cores = 2
keys = 0
[origin]
per_s = 200
[load]
rate_per_s = 240
keys = 400
connections = 24
late_ms = 50
[[tenant]]
name = "loud"
share = 0.5
sends = 0.7
quota_per_s = 90
[[tenant]]
name = "quiet"
share = 0.5
sends = 0.3
quota_per_s = 160
[[operation]]
name = "view"
effect = "idempotent"
work_ms = 3
objective_ms = 500
client_timeout_ms = 1200
[shares]
informed_s = 0.8
lease_s = 0.8
window_s = 2
[[fault]]
kind = "skew"
at_s = 0.1
length_s = 30
part = 0.5
nodes = 1
[[fault]]
kind = "notes_cut"
at_s = 5
length_s = 3
part = 0.5
[[fault]]
kind = "node_pause"
at_s = 9
length_s = 1
part = 0.3
[[fault]]
kind = "node_restart"
at_s = 12
length_s = 0.1
part = 0.5
down_s = 0.4
killed = true
[[fault]]
kind = "nodes"
at_s = 17
count = 10
told_s = 0.4
[[fault]]
kind = "liar"
at_s = 24
length_s = 6
node = 7
"#;

/// No window exceeds the limit by more than a twentieth, and the quota is used after the faults have ended.
#[test]
fn the_sum_of_quota_shares_stays_within_the_limit_through_faults() {
    let scenario = Scenario::parse("shares", FLEET).unwrap();
    let folder = tempfile::tempdir().unwrap();
    let node = Program::Node(env!("CARGO_BIN_EXE_sparrouter-node").into());
    let run = play(&scenario, &node, folder.path(), |_| {}).unwrap();
    assert!(run.verdict.kept(), "{:?}", run.verdict);
    let reports = shares::read(folder.path(), scenario.most_nodes());
    for limit in ["loud", "quiet"] {
        let all = shares::seconds(&reports, limit, run.began_unix_ms, scenario.length_s);
        let over = all
            .windows(2)
            .map(|w| (w[0].within + w[1].within) / 2.0)
            .fold(0.0, f64::max);
        assert!(over <= 1.05, "{limit}: {over}\n{all:#?}");
        let steady = |from: f64, to: f64| {
            let some: Vec<f64> = all
                .iter()
                .filter(|x| (from..to).contains(&x.at_s))
                .map(|x| x.used())
                .collect();
            some.iter().sum::<f64>() / some.len().max(1) as f64
        };
        // Nodes whose arrival rate equals their share lose a tenth of the arrivals to random variation in windows this
        // short. A node that reports a false need may borrow the idle shares and an eighth of the rest, which is then
        // lost.
        assert!(steady(26.0, 30.0) > 0.55, "{limit}\n{all:#?}");
        assert!(
            steady(3.0, 5.0) > 0.75 && steady(21.0, 24.0) > 0.7,
            "{limit}\n{all:#?}"
        );
    }
}
