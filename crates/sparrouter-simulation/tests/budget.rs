//! The budget of what is sent again, over all nodes and over their lives.
use sparrouter_simulation::cluster::{ClusterSettings, SimulatedCluster};
use sparrouter_simulation::load::ClientLoad;
use sparrouter_simulation::monitor::Bounds;
use sparrouter_simulation::runtime::run_checked;
use sparrouter_simulation::server::ServerFaults;
use std::time::Duration;
use tokio::time::sleep;

#[test]
fn given_a_budget_spent_on_failing_servers_when_all_processes_start_anew_then_they_spend_no_second_one()
 {
    for seed in 0..2 {
        run_checked(|| async {
            let bounds = Bounds {
                budget_slack: 8.0,
                ..Bounds::default()
            };
            let cluster =
                SimulatedCluster::serving(ClusterSettings::with_seed(120 + seed).bounds(bounds))
                    .await;
            let load = ClientLoad::start(&cluster, 16, Duration::from_millis(150));
            sleep(bounds.budget_window).await;
            cluster.set_server_faults(ServerFaults {
                resets: 0.9,
                ..ServerFaults::default()
            });
            sleep(Duration::from_secs(1)).await;
            for name in cluster.names() {
                cluster.kill(&name);
            }
            sleep(Duration::from_millis(200)).await;
            cluster.start_all(false).await;
            sleep(bounds.budget_window).await;
            load.stop().await;
            cluster
        });
    }
}
