//! Disks that are full, slow or stalled: what cannot be kept is not acknowledged, and it mends itself.
use sparrouter_simulation::http_messages::{self, Reply};
use sparrouter_simulation::plan::{Kind, Plan, Route};
use sparrouter_simulation::scenario::run_judged;
use sparrouter_simulation::world::{Terms, World, first_plan};
use std::time::Duration;
use tokio::time::{Instant, sleep};

fn with_route(plan: &Plan, name: &str) -> Plan {
    plan.next(2, |p| {
        p.routes.push(Route::new(name, Kind::Idempotent, "models"))
    })
}

async fn once(world: &World, to: &str, plan: &Plan, base: u64) -> Option<Reply> {
    let base = base.to_string();
    let fields = [("If-Match", base.as_str())];
    let patience = Duration::from_millis(1_500);
    let (net, at) = (world.outside_net(), world.control_of(to));
    http_messages::call(
        &net,
        at,
        "PUT",
        "/api/config",
        &fields,
        &plan.json(),
        patience,
    )
    .await
    .ok()
}

#[test]
fn given_one_full_disk_then_the_others_take_changes_and_it_catches_up() {
    run_judged(|| async {
        let world = World::serving(Terms::seeded(101)).await;
        world.disk("core-0").files.set_capacity(Some(0));
        let plan = with_route(&first_plan(), "new");
        assert_eq!(world.operator.put(&plan, 1).await, 200);
        world.disk("core-0").files.set_capacity(None);
        sleep(Duration::from_secs(4)).await;
        world.kill("core-1");
        let next = with_route(&plan, "newer");
        assert_eq!(
            world.operator.put(&next, plan.version).await,
            200,
            "the full one votes again"
        );
        world.operator.read_back().await;
        world
    });
}

#[test]
fn given_full_disks_at_a_majority_when_a_change_comes_then_it_is_refused_with_the_remedy_and_later_taken()
 {
    run_judged(|| async {
        let world = World::serving(Terms::seeded(102)).await;
        for name in world.core() {
            world.disk(&name).files.set_capacity(Some(0));
        }
        let plan = with_route(&first_plan(), "new");
        sleep(Duration::from_secs(1)).await;
        let reply = once(&world, "core-0", &plan, 1).await.expect("an answer");
        assert!(reply.status >= 500, "{}", reply.status);
        let again = once(&world, "core-0", &plan, 1).await.expect("an answer");
        assert!(
            again.text().contains("free"),
            "no remedy in {} {:?}",
            again.status,
            again.text()
        );
        for name in world.core() {
            world.disk(&name).files.set_capacity(None);
        }
        sleep(Duration::from_secs(2)).await;
        assert_eq!(world.operator.put(&plan, 1).await, 200);
        world.operator.read_back().await;
        world
    });
}

#[test]
fn given_slow_and_stalled_disks_then_changes_wait_no_longer_than_a_majority_needs() {
    run_judged(|| async {
        let world = World::serving(Terms::seeded(103)).await;
        world.disk("core-0").delay.set(Duration::from_millis(400));
        world
            .disk("core-1")
            .stalled
            .set(Instant::now() + Duration::from_millis(700));
        let plan = with_route(&first_plan(), "new");
        let began = Instant::now();
        assert_eq!(world.operator.put(&plan, 1).await, 200);
        assert!(
            began.elapsed() < world.terms.bounds.ack_timeout,
            "{:?}",
            began.elapsed()
        );
        world
            .disk("core-1")
            .stalled
            .set(Instant::now() + Duration::from_secs(20));
        let next = with_route(&plan, "newer");
        assert_eq!(world.operator.put(&next, plan.version).await, 200);
        world.operator.read_back().await;
        world
    });
}
