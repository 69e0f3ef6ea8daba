//! The same seed gives the same run, word for word: otherwise no fault found by seed could be looked at again.
use sparrouter_simulation::cluster::{ClusterSettings, SimulatedCluster};
use sparrouter_simulation::load::ClientLoad;
use sparrouter_simulation::runtime::play;
use std::time::Duration;
use tokio::time::sleep;

fn trace_of(seed: u64) -> Vec<String> {
    play(async move {
        let cluster = SimulatedCluster::serving(ClusterSettings::with_seed(seed)).await;
        cluster.monitor.trace.verbose.set(true);
        let load = ClientLoad::start(&cluster, 8, Duration::from_millis(150));
        sleep(Duration::from_secs(1)).await;
        cluster.kill("core-1");
        assert!(cluster.operator.name_version(2).await);
        sleep(Duration::from_secs(2)).await;
        cluster.start("core-1", false);
        sleep(Duration::from_secs(3)).await;
        load.stop().await;
        cluster.monitor.event_trace()
    })
}

#[test]
fn given_one_seed_when_run_twice_then_every_line_is_the_same() {
    let (first, second) = (trace_of(7), trace_of(7));
    let differs = first.iter().zip(&second).position(|(a, b)| a != b);
    if let Some(at) = differs {
        panic!("line {at}:\n{}\n{}", first[at], second[at]);
    }
    assert_eq!(first.len(), second.len());
    assert_ne!(first, trace_of(8));
}
