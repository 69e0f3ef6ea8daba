//! New weights: each server ordered once by one holder, whoever of the holders ends or freezes.
use sparrouter_simulation::load;
use sparrouter_simulation::scenario::run_judged;
use sparrouter_simulation::world::{Terms, World, ZONES};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

const PAUSE: Duration = Duration::from_millis(150);

async fn first_order(world: &Rc<World>) -> String {
    let began = Instant::now();
    loop {
        if let Some(holder) = world.judge.last_holder() {
            // A holder names its node and where that is.
            return holder.split('@').next().unwrap_or_default().to_owned();
        }
        assert!(began.elapsed() < Duration::from_secs(10), "nobody orders");
        sleep(Duration::from_millis(1)).await;
    }
}

fn ordered_once(world: &World, version: u64) {
    for ((id, loaded), count) in world.judge.load_counts() {
        assert!(
            loaded == version && count == 1,
            "{id} loaded {loaded} {count} times"
        );
    }
}

#[test]
fn given_new_weights_when_named_then_each_server_loads_once_and_all_in_time() {
    run_judged(|| async {
        let world = World::serving(Terms {
            servers: 9,
            ..Terms::seeded(70)
        })
        .await;
        let tally = load::begin(&world, 12, PAUSE);
        assert!(world.operator.name_version(2).await);
        let named = Instant::now();
        world.until_servers_have(2).await;
        assert!(
            named.elapsed() < world.terms.bounds.version,
            "{:?}",
            named.elapsed()
        );
        sleep(Duration::from_secs(4)).await;
        tally.stop().await;
        ordered_once(&world, 2);
        assert_eq!(
            tally.served.get(),
            tally.sent.get(),
            "{:?}",
            tally.refused.borrow()
        );
        world
    });
}

#[test]
fn given_a_holder_killed_midway_then_another_goes_on_and_nothing_is_loaded_twice() {
    for seed in 0..3 {
        run_judged(|| async {
            let world = World::serving(Terms {
                servers: 6,
                ..Terms::seeded(71 + seed)
            })
            .await;
            let tally = load::begin(&world, 6, PAUSE);
            assert!(world.operator.name_version(2).await);
            let holder = first_order(&world).await;
            sleep(Duration::from_millis(300 * seed)).await;
            world.kill(&holder);
            sleep(Duration::from_millis(400)).await;
            world.start(&holder, false);
            world.until_servers_have(2).await;
            sleep(Duration::from_secs(1)).await;
            tally.stop().await;
            ordered_once(&world, 2);
            world
        });
    }
}

#[test]
fn given_a_holder_frozen_midway_when_it_wakes_then_it_orders_nothing_more() {
    for seed in 0..3 {
        run_judged(|| async {
            let world = World::serving(Terms {
                servers: 6,
                ..Terms::seeded(81 + seed)
            })
            .await;
            let tally = load::begin(&world, 6, PAUSE);
            assert!(world.operator.name_version(2).await);
            let holder = first_order(&world).await;
            sleep(Duration::from_millis(150 * seed)).await;
            world.freeze(&holder, true);
            sleep(Duration::from_secs(7)).await;
            world.freeze(&holder, false);
            world.until_servers_have(2).await;
            sleep(Duration::from_secs(2)).await;
            tally.stop().await;
            ordered_once(&world, 2);
            world
        });
    }
}

#[test]
fn given_servers_replaced_and_restarted_while_weights_change_then_all_end_on_the_newest() {
    run_judged(|| async {
        let world = World::serving(Terms {
            servers: 5,
            ..Terms::seeded(91)
        })
        .await;
        let tally = load::begin(&world, 8, PAUSE);
        assert!(world.operator.name_version(2).await);
        world.newest_weights.set(2);
        sleep(Duration::from_millis(400)).await;
        let ids = world.server_ids();
        let old = world.server(&ids[4]);
        world.crash_server(&ids[4]);
        sleep(Duration::from_millis(500)).await;
        world.restart_server(&old);
        world.server(&ids[3]).drain();
        world.add_server("models", ZONES[2]);
        world.until_servers_have(2).await;
        assert!(world.operator.name_version(3).await);
        world.newest_weights.set(3);
        world.until_servers_have(3).await;
        sleep(Duration::from_secs(3)).await;
        tally.stop().await;
        assert!(
            world.judge.load_counts().values().all(|n| *n == 1),
            "{:?}",
            world.judge.load_counts()
        );
        assert!(
            tally.share() > 0.97,
            "{} {:?}",
            tally.share(),
            tally.refused.borrow()
        );
        world
    });
}
