//! Servers that drain, come back late, break off, answer wrongly, or whose address is another's now.
use sparrouter_simulation::client::{ClientRequest, RequestOutcome};
use sparrouter_simulation::load;
use sparrouter_simulation::plan::Kind;
use sparrouter_simulation::scenario::run_judged;
use sparrouter_simulation::server::Faults;
use sparrouter_simulation::world::{Terms, World, ZONES, request};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

const PAUSE: Duration = Duration::from_millis(120);

#[test]
fn given_a_drain_that_one_node_acknowledges_then_it_binds_all_in_time() {
    run_judged(|| async {
        let world = World::serving(Terms::seeded(60)).await;
        let tally = load::begin(&world, 12, PAUSE);
        sleep(Duration::from_secs(1)).await;
        for id in world.server_ids() {
            world.add_server("models", ZONES[1]);
            sleep(Duration::from_millis(1_500)).await;
            world.server(&id).drain();
            sleep(Duration::from_secs(3)).await;
        }
        sleep(Duration::from_secs(2)).await;
        tally.stop().await;
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
fn given_a_late_beat_with_a_lower_number_when_a_server_drains_then_it_undoes_nothing() {
    run_judged(|| async {
        let world = World::serving(Terms {
            servers: 2,
            ..Terms::seeded(61)
        })
        .await;
        let tally = load::begin(&world, 10, PAUSE);
        let id = world.server_ids().remove(0);
        world.server(&id).late_beat.set(true);
        world.server(&id).drain();
        sleep(Duration::from_secs(8)).await;
        tally.stop().await;
        assert!(!world.server_runs(&id));
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
fn given_an_address_that_another_service_has_now_then_nothing_runs_there() {
    run_judged(|| async {
        let world = World::serving(Terms {
            servers: 3,
            ..Terms::seeded(62)
        })
        .await;
        let tally = load::begin(&world, 10, PAUSE);
        sleep(Duration::from_secs(1)).await;
        let id = world.server_ids().remove(0);
        let address = world.crash_server(&id);
        sleep(Duration::from_millis(200)).await;
        world.host("others", ZONES[0], address, 1);
        sleep(Duration::from_secs(5)).await;
        tally.stop().await;
        assert!(tally.share() > 0.97, "{}", tally.share());
        world
    });
}

#[test]
fn given_a_server_that_resets_after_it_ran_when_not_repeatable_then_it_never_runs_twice() {
    run_judged(|| async {
        let world = World::serving(Terms {
            servers: 2,
            ..Terms::seeded(63)
        })
        .await;
        for id in world.server_ids() {
            world.server(&id).faults.set(Faults {
                resets: 0.5,
                ..Faults::default()
            });
        }
        let client = world.client(false);
        let (mut served, mut failed) = (0, 0);
        for n in 0..60 {
            let kind = if n % 2 == 0 {
                Kind::NonIdempotent
            } else {
                Kind::Streaming
            };
            let word = if n % 2 == 0 { "b20" } else { "s4" };
            match client
                .get(&ClientRequest {
                    topic: format!("{n:08x}"),
                    ..request(kind, word)
                })
                .await
            {
                RequestOutcome::Served => served += 1,
                _ => failed += 1,
            }
        }
        assert!(served > 10 && failed > 10, "{served} {failed}");
        world
    });
}

#[test]
fn given_servers_that_break_off_resumable_streams_then_they_are_taken_up_whole_and_once() {
    run_judged(|| async {
        let world = World::serving(Terms {
            servers: 4,
            ..Terms::seeded(64)
        })
        .await;
        for id in world.server_ids() {
            world.server(&id).faults.set(Faults {
                breaks: 0.3,
                ..Faults::default()
            });
        }
        let client = world.client(true);
        let mut served = 0;
        for n in 0..60 {
            let request = ClientRequest {
                retries: 0,
                topic: format!("{n:08x}"),
                ..request(Kind::Resumable, "s15")
            };
            served += u32::from(client.get(&request).await == RequestOutcome::Served);
        }
        // Three servers in a row break off one in 37.
        assert!(served >= 52, "{served} of 60");
        world
    });
}

#[test]
fn given_garbled_and_surplus_answers_then_no_client_sees_them() {
    run_judged(|| async {
        let world = World::serving(Terms::seeded(65)).await;
        for id in world.server_ids() {
            world.server(&id).faults.set(Faults {
                garbles: 0.05,
                surplus: 0.3,
                ..Faults::default()
            });
        }
        let tally = load::begin(&world, 12, PAUSE);
        sleep(Duration::from_secs(8)).await;
        tally.stop().await;
        assert!(tally.share() > 0.9, "{}", tally.share());
        world
    });
}

#[test]
fn given_a_server_that_hangs_then_streams_that_may_not_repeat_are_not_repeated() {
    run_judged(|| async {
        let world = World::serving(Terms {
            servers: 3,
            ..Terms::seeded(66)
        })
        .await;
        let id = world.server_ids().remove(0);
        world.server(&id).faults.set(Faults {
            hangs: 1.0,
            ..Faults::default()
        });
        let tally = load::begin(&world, 24, PAUSE);
        sleep(Duration::from_secs(6)).await;
        tally.stop().await;
        assert!(tally.served.get() > 20, "{}", tally.served.get());
        world
    });
}

#[test]
fn given_servers_that_are_full_then_what_is_refused_never_ran() {
    run_judged(|| async {
        let world = World::serving(Terms {
            servers: 2,
            slots: 1,
            ..Terms::seeded(67)
        })
        .await;
        let tally = load::begin(&world, 40, Duration::from_millis(60));
        sleep(Duration::from_secs(4)).await;
        tally.stop().await;
        assert!(
            tally.served.get() > 20 && !tally.refused.borrow().is_empty(),
            "{}",
            tally.share()
        );
        world
    });
}

#[test]
fn given_open_streams_when_nodes_are_told_to_end_one_by_one_then_none_is_lost() {
    run_judged(|| async {
        let world = World::serving(Terms::seeded(68)).await;
        let tally = load::begin(&world, 16, PAUSE);
        sleep(Duration::from_secs(1)).await;
        for name in world.names() {
            let world: Rc<World> = world.clone();
            world.term(&name).await;
            assert!(!world.runs(&name));
            sleep(Duration::from_millis(500)).await;
            world.start(&name, false);
            sleep(Duration::from_millis(3_500)).await;
        }
        tally.stop().await;
        assert_eq!(
            tally.served.get(),
            tally.sent.get(),
            "{:?} {}",
            tally.refused.borrow(),
            tally.failed.get()
        );
        world
    });
}
