//! A fleet comes up from three seeds and serves.
use hothouse::client::Came;
use hothouse::load;
use hothouse::plan::Kind;
use hothouse::story::told;
use hothouse::world::{Terms, World, wish};
use std::time::Duration;
use tokio::time::sleep;

#[test]
fn given_three_seeds_when_all_machines_start_then_the_fleet_serves_every_kind() {
    told(|| async {
        let world = World::serving(Terms::seeded(1)).await;
        let client = world.client(false);
        for (kind, word) in [
            (Kind::Idempotent, "b300"),
            (Kind::NonIdempotent, "b30"),
            (Kind::Streaming, "s8"),
            (Kind::Resumable, "s8"),
        ] {
            assert_eq!(client.get(&wish(kind, word)).await, Came::Served, "{kind:?}");
        }
        world
    });
}

#[test]
fn given_a_calm_fleet_when_clients_ask_on_then_all_are_served() {
    told(|| async {
        let world = World::serving(Terms::seeded(2)).await;
        let tally = load::begin(&world, 12, Duration::from_millis(150));
        sleep(Duration::from_secs(10)).await;
        tally.stop().await;
        assert!(tally.sent.get() > 500, "{} sent", tally.sent.get());
        assert_eq!(tally.served.get(), tally.sent.get(), "{:?}", tally.refused.borrow());
        world
    });
}
