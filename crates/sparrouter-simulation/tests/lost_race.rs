//! A change that one machine alone accepted, and that lost its slot to another: it is in force nowhere, also not at that
//! machine once it restarts over its disk.
use sparrouter_fleet::platform::defects::{Defect, inject};
use sparrouter_simulation::cluster::{ClusterSettings, SimulatedCluster, initial_configuration};
use sparrouter_simulation::configuration::Configuration;
use sparrouter_simulation::http_messages;
use sparrouter_simulation::network::Partition;
use sparrouter_simulation::operator::{Encoding, Order};
use sparrouter_simulation::runtime::play;
use std::time::Duration;
use tokio::time::sleep;

/// One try at one machine; it may take what it wants and answer or not.
async fn send_once(cluster: &SimulatedCluster, to: &str, configuration: &Configuration, base: u64) {
    let base = base.to_string();
    let _ = http_messages::call(
        &cluster.outside_network(),
        cluster.control_of(to),
        "PUT",
        "/api/config",
        &[("If-Match", base.as_str())],
        &configuration.json(),
        Duration::from_millis(1_500),
    )
    .await;
}

/// The digest of the configuration that a machine has in force, as its status says.
async fn digest_of(cluster: &SimulatedCluster, name: &str) -> Option<String> {
    let reply = cluster.get(name, "/api/status").await?;
    let digest = reply.text().split("\"config_digest\":").nth(1)?;
    Some(digest.split(',').next()?.to_owned())
}

/// What the machines have in force after one of them accepted alone a change that lost.
async fn digests_after_a_lost_race(seed: u64, alone: &str) -> Vec<Option<String>> {
    let cluster = SimulatedCluster::serving(ClusterSettings::with_seed(seed)).await;
    // Whoever made a change last proposes the next one without asking first.
    let configuration = initial_configuration().with_route(2, "before");
    assert_eq!(cluster.operator.put(&configuration, 1).await, 200);
    cluster.partition(&[alone], Some(Partition::PacketsLost));
    let lost = configuration.with_route(2, "lost");
    cluster.monitor.submit(
        &lost,
        configuration.version,
        true,
        format!("PUT {}", lost.json()),
    );
    send_once(&cluster, alone, &lost, configuration.version).await;
    cluster.kill(alone);
    let other = cluster.core().into_iter().find(|n| n != alone);
    let other = other.expect("three machines of the core");
    let won = configuration.with_route(2, "won");
    let other_address = Some(cluster.control_of(&other));
    let order = Order::new(&won, configuration.version, Encoding::Full, true);
    let outcome = cluster
        .operator
        .submit_first_to(other_address, &order)
        .await;
    assert_eq!(outcome.status, 200);
    cluster.partition(&[alone], None);
    cluster.start(alone, false);
    sleep(Duration::from_secs(6)).await;
    let mut digests = Vec::new();
    for name in cluster.core() {
        digests.push(digest_of(&cluster, &name).await);
    }
    digests
}

async fn all_have_the_same(seed: u64, alone: &str) -> bool {
    let digests = digests_after_a_lost_race(seed, alone).await;
    digests[0].is_some() && digests.iter().all(|d| *d == digests[0])
}

const CORE: [&str; 3] = ["core-0", "core-1", "core-2"];

#[test]
fn given_a_change_that_lost_its_slot_when_the_machine_that_accepted_it_restarts_then_it_is_in_force_nowhere()
 {
    for (seed, alone) in (4_950..).zip(CORE) {
        assert!(play(all_have_the_same(seed, alone)), "{alone}");
    }
}

#[test]
fn given_what_the_disk_has_accepted_put_in_force_at_the_start_then_the_difference_is_found() {
    inject(Some(Defect::LosingProposalInForce));
    let is_detected = (4_950..)
        .zip(CORE)
        .any(|(seed, alone)| !play(all_have_the_same(seed, alone)));
    inject(None);
    assert!(is_detected);
}
