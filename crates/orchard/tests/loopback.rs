//! Real processes on loopback, in the lab's shortest scenario. It stands here because only the program's own package
//! is sure to have built the program.
use hayfield::client::End;
use hayfield::play::play;
use hayfield::scenario::Scenario;
use std::path::Path;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

#[test]
fn given_a_fleet_on_loopback_when_the_quick_scenario_is_played_then_every_rule_holds() {
    let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
    let scenario = Scenario::quick().expect("valid");
    let playing = play(scenario, Path::new(env!("CARGO_BIN_EXE_orchard")), |_| {});
    let report = LocalSet::new().block_on(&runtime, playing).expect("it is played");
    assert!(report.broken.is_empty(), "{:#?}\n{}", report.broken, report.table);
    let served = report.came.iter().filter(|c| c.end == End::Served).count();
    assert!(served * 10 >= report.came.len() * 9, "{}", report.table);
}
