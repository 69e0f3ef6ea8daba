//! A sequence of events that random runs rarely produce.
use crate::holder::Rules;
use crate::ledger::Violation;
use crate::model::{Clock, Defect, Returns, World};
use sparrouter_quota::{Nanos, QuotaLimit, QuotaSettings};

const MS: Nanos = 1_000_000;
const SECOND: Nanos = 1_000 * MS;
const TENANT: &str = "a";
/// Capacity, in tokens, of the only bucket of the limit in [`return_after_takeover`].
const CAPACITY: usize = 27;

/// A holder's permits are returned after its successor's bucket was full and was used up.
pub fn return_after_takeover(defect: Option<Defect>) -> Result<(), Violation> {
    let rules = Rules {
        settings: QuotaSettings {
            window: SECOND,
            permit_lifetime: 300 * MS,
            shards: 1,
        },
        lease: 500 * MS,
        defect,
        returns: Returns::Tracked,
    };
    let clock = Clock {
        start: 0,
        speed: 1.0,
    };
    let mut world = World::new(rules, &[TENANT], &[clock; 2], &[clock; 2]);
    let limit = QuotaLimit {
        rate_per_s: 10.0,
        burst_size: 30.0,
    };
    world.set_limit(TENANT, Some(limit));
    world.now = 10 * SECOND;
    hold_for_four_seconds(&mut world, 0);
    take_all(&mut world, 0, 0);
    hold_for_four_seconds(&mut world, 1);
    take_all(&mut world, 1, 1);
    spend_all(&mut world, 1)?;
    for id in held(&world, 0) {
        world.give_back(0, id);
    }
    deliver_all(&mut world);
    take_all(&mut world, 1, 1);
    spend_all(&mut world, 1)
}

/// A process acquires the lease, waits for the takeover if required, and renews the lease while its bucket refills.
fn hold_for_four_seconds(world: &mut World, holder: usize) {
    world.acquire(holder, 1);
    deliver_all(world);
    for _ in 0..40 {
        world.now += 100 * MS;
        world.tick(holder);
        world.renew(holder, 1);
        deliver_all(world);
    }
}

fn take_all(world: &mut World, node: usize, holder: usize) {
    for _ in 0..CAPACITY {
        world.ask(node, TENANT, 1, holder);
    }
    deliver_all(world);
}

fn spend_all(world: &mut World, node: usize) -> Result<(), Violation> {
    for id in held(world, node) {
        world.spend(node, id)?;
    }
    Ok(())
}

fn held(world: &World, node: usize) -> Vec<u64> {
    world.nodes[node].held.iter().map(|held| held.id).collect()
}

fn deliver_all(world: &mut World) {
    while let Some(message) = world.outbox.pop() {
        world.deliver(message);
    }
}
