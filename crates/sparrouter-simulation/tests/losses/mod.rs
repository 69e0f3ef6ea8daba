//! Machines of the core lost in one way or another, under the monitor of the copies that are left.
use sparrouter_simulation::copies::CopiesMonitor;
use sparrouter_simulation::plan::{Kind, Plan, Route};
use sparrouter_simulation::world::{Terms, World};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// A machine still counts as lost for so long once it or its successor is up (`bounds.catch_up_s`).
pub const CATCH_UP: Duration = Duration::from_secs(4);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// Gone for good; an empty one starts two seconds later at another address.
    Replaced,
    /// An empty one starts first, then the old one is told to end.
    Planned,
    /// Its disk is lost right after a change was acknowledged; the machine starts again with an empty one.
    WipedAfterAcknowledgement,
}

pub const LOSSES: [Loss; 3] = [
    Loss::Replaced,
    Loss::Planned,
    Loss::WipedAfterAcknowledgement,
];

pub fn terms(seed: u64, core: usize) -> Terms {
    Terms {
        core,
        others: 1,
        servers: 1,
        ..Terms::seeded(seed)
    }
}

pub async fn watched(terms: Terms) -> Rc<World> {
    let world = World::serving(terms).await;
    CopiesMonitor::start(&world, CATCH_UP);
    world
}

/// Changes the configuration, and expects that it is taken.
pub async fn change(world: &Rc<World>, plan: &mut Plan, name: &str) {
    let next = plan.next(2, |p| {
        p.routes.push(Route::new(name, Kind::Idempotent, "models"));
    });
    let status = world.operator.put(&next, plan.version).await;
    assert_eq!(status, 200, "the change {name}");
    *plan = next;
}

/// Loses the machine; ends once its successor has started.
pub async fn lose(world: &Rc<World>, plan: &mut Plan, name: &str, loss: Loss) {
    let zone = world.zone_of(name);
    match loss {
        Loss::Replaced => {
            world.retire(name);
            sleep(Duration::from_secs(2)).await;
            world.add_core(zone);
        }
        Loss::Planned => {
            world.add_core(zone);
            sleep(Duration::from_secs(2)).await;
            world.term(name).await;
            world.retire(name);
        }
        Loss::WipedAfterAcknowledgement => {
            change(world, plan, &format!("before-{name}-{}", plan.version)).await;
            wipe(world, name).await;
        }
    }
}

/// The machine loses power and its disk, and starts again with an empty one.
pub async fn wipe(world: &World, name: &str) {
    world.power_off(name);
    world.wipe(name);
    sleep(Duration::from_millis(500)).await;
    world.power_on(name);
}
