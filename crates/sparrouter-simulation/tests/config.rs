//! Configurations: taken, everywhere in time, of two rivals one, and never an invalid one.
use sparrouter_simulation::client::{ClientRequest, RequestOutcome};
use sparrouter_simulation::load;
use sparrouter_simulation::operator::How;
use sparrouter_simulation::plan::{Kind, Plan, Route};
use sparrouter_simulation::scenario::run_judged;
use sparrouter_simulation::world::{KEY, Terms, World, first_plan, request};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Asks every node for a path of a route, as the platform's direct requests do; gives back who served it.
async fn served_by(world: &Rc<World>, request: &ClientRequest) -> Vec<String> {
    let client = world.client(false);
    let mut served = Vec::new();
    for name in world.names().into_iter().filter(|n| world.runs(n)) {
        if client.get_at(request, world.front_of(&name), 0).await == RequestOutcome::Served {
            served.push(name);
        }
    }
    served
}

fn with_route(plan: &Plan, name: &str) -> Plan {
    plan.next(2, |p| {
        p.routes.push(Route {
            public: true,
            ..Route::new(name, Kind::Idempotent, "models")
        })
    })
}

fn added(name: &str) -> ClientRequest {
    ClientRequest {
        path: format!("/{name}/b10"),
        retries: 0,
        ..request(Kind::Idempotent, "b10")
    }
}

#[test]
fn given_a_route_that_is_added_when_acknowledged_then_every_node_has_it_in_time() {
    run_judged(|| async {
        let world = World::serving(Terms::seeded(11)).await;
        let plan = with_route(&first_plan(), "new");
        assert_eq!(world.operator.put(&plan, 1).await, 200);
        sleep(world.terms.bounds.config_apply).await;
        assert_eq!(served_by(&world, &added("new")).await.len(), 6);
        let without = plan.next(1, |p| p.routes.retain(|r| r.name != "new"));
        assert_eq!(world.operator.patch(&without, &plan).await, 200);
        sleep(world.terms.bounds.config_apply + Duration::from_millis(1)).await;
        assert!(served_by(&world, &added("new")).await.is_empty());
        world.operator.read_back().await;
        world
    });
}

#[test]
fn given_two_operators_on_one_version_when_both_send_then_one_wins_and_is_in_force() {
    run_judged(|| async {
        let world = World::serving(Terms::seeded(12)).await;
        let mut base = first_plan();
        for round in 0..6 {
            let left = with_route(&base, &format!("left{round}"));
            let right = Plan {
                version: left.version + 1,
                ..with_route(&base, &format!("right{round}"))
            };
            let (l, r) = tokio::join!(
                world.operator.put(&left, base.version),
                world.operator.put(&right, base.version)
            );
            assert!(matches!((l, r), (200, 412) | (412, 200)), "{l} {r}");
            base = if l == 200 { left } else { right };
        }
        world.operator.read_back().await;
        world
    });
}

#[test]
fn given_a_taken_configuration_when_it_is_sent_again_unchanged_then_any_node_says_200() {
    run_judged(|| async {
        let world = World::serving(Terms::seeded(13)).await;
        let plan = with_route(&first_plan(), "new");
        assert_eq!(world.operator.put(&plan, 1).await, 200);
        let after = with_route(&plan, "newer");
        assert_eq!(world.operator.put(&after, plan.version).await, 200);
        for _ in 0..8 {
            let (status, _) = world.operator.change(&plan, 1, How::Whole, true).await;
            assert_eq!(status, 200, "that very configuration was taken");
        }
        world.operator.read_back().await;
        world
    });
}

#[test]
fn given_invalid_configurations_when_sent_then_each_is_refused_for_good_and_nothing_changes() {
    run_judged(|| async {
        let world = World::serving(Terms::seeded(14)).await;
        let base = first_plan();
        let next = with_route(&base, "bad");
        let bodies = [
            next.json()
                .replace("\"service\":\"models\"", "\"service\":\"nobody\""),
            next.json()
                .replace("\"timeout_ms\":8000", "\"timeout_ms\":0"),
            next.json().replace("/bad/", "/idem/"),
            next.json().replace("\"version\":3", "\"version\":1"),
            next.json().replace("key-of-mela", KEY),
            next.json()[..200].to_owned(),
        ];
        for body in bodies {
            let (status, _) = world
                .operator
                .change(&next, 1, How::Body(body.clone()), false)
                .await;
            assert!((400..500).contains(&status), "{status} for {body}");
        }
        sleep(world.terms.bounds.config_apply).await;
        assert!(served_by(&world, &added("bad")).await.is_empty());
        world.operator.read_back().await;
        world
    });
}

#[test]
fn given_a_key_that_is_taken_away_when_acknowledged_then_nobody_lets_it_in() {
    run_judged(|| async {
        let world = World::serving(Terms::seeded(15)).await;
        let tally = load::begin(&world, 6, Duration::from_millis(200));
        let plan = first_plan().next(3, |p| p.tenants[1].keys = vec!["key-anew".to_owned()]);
        assert_eq!(world.operator.put(&plan, 1).await, 200);
        sleep(world.terms.bounds.config_apply).await;
        let with = |key: &str| ClientRequest {
            key: key.to_owned(),
            ..request(Kind::Idempotent, "b10")
        };
        assert!(served_by(&world, &with("key-of-mela")).await.is_empty());
        assert_eq!(served_by(&world, &with("key-anew")).await.len(), 6);
        tally.stop().await;
        assert_eq!(tally.served.get(), tally.sent.get());
        world
    });
}
