//! The budget of what is sent again, over all nodes and over their lives.
use sparrouter_simulation::judge::Bounds;
use sparrouter_simulation::load;
use sparrouter_simulation::scenario::run_judged;
use sparrouter_simulation::server::Faults;
use sparrouter_simulation::world::{Terms, World};
use std::time::Duration;
use tokio::time::sleep;

#[test]
fn given_a_budget_spent_on_failing_servers_when_all_processes_start_anew_then_they_spend_no_second_one()
 {
    for seed in 0..2 {
        run_judged(|| async {
            let bounds = Bounds {
                budget_slack: 8.0,
                ..Bounds::default()
            };
            let world = World::serving(Terms {
                bounds,
                ..Terms::seeded(120 + seed)
            })
            .await;
            let tally = load::begin(&world, 16, Duration::from_millis(150));
            sleep(bounds.budget_window).await;
            for id in world.server_ids() {
                world.server(&id).faults.set(Faults {
                    resets: 0.9,
                    ..Faults::default()
                });
            }
            sleep(Duration::from_secs(1)).await;
            for name in world.names() {
                world.kill(&name);
            }
            sleep(Duration::from_millis(200)).await;
            world.start_all(false).await;
            sleep(bounds.budget_window).await;
            tally.stop().await;
            world
        });
    }
}
