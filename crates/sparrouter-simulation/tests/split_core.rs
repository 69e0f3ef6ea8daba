//! The machines that count are partitioned into two halves for some seconds, whatever may be lost at once; everybody else reaches
//! both. Nothing that was acknowledged is lost or shown in an older state, on either side, and service goes on.
use sparrouter_simulation::cluster::{ClusterSettings, SimulatedCluster, initial_configuration};
use sparrouter_simulation::load::ClientLoad;
use sparrouter_simulation::monitor::FaultScope;
use sparrouter_simulation::network::Partition;
use sparrouter_simulation::runtime::run_checked;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

const PARTITION_TIME: Duration = Duration::from_secs(9);

/// Partitions the links between the first half of the core and the second, or repairs them.
fn split_in_halves(cluster: &SimulatedCluster, partition: Option<Partition>) {
    let core = cluster.core();
    let (first, second) = core.split_at(core.len() / 2);
    for one in first {
        for other in second {
            let (one, other) = (cluster.ip(one), cluster.ip(other));
            cluster.network.partition_both(one, other, partition);
        }
    }
    cluster
        .monitor
        .trace(format!("the core is split in halves: {partition:?}"));
    match partition {
        Some(_) => cluster.monitor.fault_began(FaultScope::Core),
        None => {
            cluster.monitor.fault_ended(FaultScope::Core);
            cluster.monitor.momentary_fault(FaultScope::Core);
        }
    }
}

/// Reads the configuration at every node for a while; the greatest share of reads that were answered at one node.
async fn read_everywhere(cluster: &Rc<SimulatedCluster>, span: Duration) -> f64 {
    let began = Instant::now();
    let (mut reads, mut answered) = (0, 0);
    while began.elapsed() < span {
        for name in cluster.names() {
            // Each answer goes into the history, which is checked for an older one after a newer.
            let reply = cluster.operator.get_from(cluster.control_of(&name)).await;
            let status = reply.map_or(0, |reply| reply.status);
            assert!(matches!(status, 0 | 200 | 503), "{name}: {status}");
            reads += 1;
            answered += u32::from(status == 200);
        }
        sleep(Duration::from_millis(100)).await;
    }
    f64::from(answered) / f64::from(reads.max(1))
}

async fn halved(seed: u64, core: usize) -> Rc<SimulatedCluster> {
    let cluster = SimulatedCluster::serving(
        ClusterSettings::with_seed(seed)
            .core_machines(core)
            .edge_machines(4),
    )
    .await;
    let load = ClientLoad::start(&cluster, 8, Duration::from_millis(150));
    let before = initial_configuration().with_route(1, "before");
    assert_eq!(cluster.operator.put(&before, 1).await, 200);
    split_in_halves(&cluster, Some(Partition::PacketsLost));
    let during = before.with_route(1, "during");
    let put = cluster.operator.put(&during, before.version);
    let reads = read_everywhere(&cluster, PARTITION_TIME);
    let (status, _) = tokio::join!(tokio::time::timeout(PARTITION_TIME, put), reads);
    split_in_halves(&cluster, None);
    sleep(Duration::from_secs(5)).await;
    // A half that is the larger one may have taken it; two equal ones may not.
    if core.is_multiple_of(2) {
        assert_ne!(
            status.ok(),
            Some(200),
            "half of {core} acknowledged a change"
        );
    }
    let fraction = read_everywhere(&cluster, Duration::from_secs(1)).await;
    assert!(
        fraction > 0.9,
        "{fraction} of reads are answered after the partition"
    );
    cluster.operator.read_back().await;
    load.stop().await;
    assert!(load.served_fraction() > 0.97, "{}", load.served_fraction());
    cluster
}

#[test]
fn given_a_core_cut_in_halves_then_nothing_is_older_on_either_side_and_nothing_is_lost() {
    for (seed, core) in [(350, 3), (351, 4), (352, 5), (353, 6)] {
        run_checked(|| halved(seed, core));
    }
}

#[test]
fn given_no_quorum_when_the_configuration_is_read_then_503_says_when_to_come_back() {
    run_checked(|| async {
        let cluster =
            SimulatedCluster::serving(ClusterSettings::with_seed(355).edge_machines(1)).await;
        for name in ["core-1", "core-2"] {
            cluster.freeze(name, true);
        }
        for name in ["core-0", "edge-0"] {
            let reply = cluster.operator.get_from(cluster.control_of(name)).await;
            let reply = reply.expect("an answer");
            assert_eq!(reply.status, 503, "{name}: {}", reply.text());
            assert!(reply.head.fields.text("retry-after").is_some(), "{name}");
        }
        cluster
    });
}
