//! The machines that count are cut into two halves for some seconds, whatever may be lost at once; everybody else reaches
//! both. Nothing that was acknowledged is lost or shown in an older state, on either side, and service goes on.
use sparrouter_simulation::fabric::Cut;
use sparrouter_simulation::load;
use sparrouter_simulation::plan::{Kind, Plan, Route};
use sparrouter_simulation::scenario::run_judged;
use sparrouter_simulation::world::{Terms, World, first_plan};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

const CUT: Duration = Duration::from_secs(9);

fn with_route(plan: &Plan, name: &str) -> Plan {
    plan.next(1, |p| {
        p.routes.push(Route::new(name, Kind::Idempotent, "models"))
    })
}

/// Cuts the links between the first half of the core and the second, or joins them.
fn cut_in_halves(world: &World, cut: Option<Cut>) {
    let core = world.core();
    let (first, second) = core.split_at(core.len() / 2);
    for one in first {
        for other in second {
            let (one, other) = (world.ip(one), world.ip(other));
            world.fabric.cut_both(one, other, cut);
        }
    }
    world
        .judge
        .note(format!("the core is cut in halves: {cut:?}"));
    match cut {
        Some(_) => world.judge.trouble(None),
        None => {
            world.judge.calm(None);
            world.judge.shaken(None);
        }
    }
}

/// Reads the configuration at every node for a while; the greatest share of reads that were answered at one node.
async fn read_everywhere(world: &Rc<World>, span: Duration) -> f64 {
    let began = Instant::now();
    let (mut asked, mut answered) = (0, 0);
    while began.elapsed() < span {
        for name in world.names() {
            // Each answer goes into the history, which is checked for an older one after a newer.
            let reply = world.operator.get_from(world.control_of(&name)).await;
            let status = reply.map_or(0, |reply| reply.status);
            assert!(matches!(status, 0 | 200 | 503), "{name}: {status}");
            asked += 1;
            answered += u32::from(status == 200);
        }
        sleep(Duration::from_millis(100)).await;
    }
    f64::from(answered) / f64::from(asked.max(1))
}

async fn halved(seed: u64, core: usize) -> Rc<World> {
    let world = World::serving(Terms {
        core,
        others: 4,
        ..Terms::seeded(seed)
    })
    .await;
    let tally = load::begin(&world, 8, Duration::from_millis(150));
    let before = with_route(&first_plan(), "before");
    assert_eq!(world.operator.put(&before, 1).await, 200);
    cut_in_halves(&world, Some(Cut::Silent));
    let during = with_route(&before, "during");
    let put = world.operator.put(&during, before.version);
    let reads = read_everywhere(&world, CUT);
    let (status, _) = tokio::join!(tokio::time::timeout(CUT, put), reads);
    cut_in_halves(&world, None);
    sleep(Duration::from_secs(5)).await;
    // A half that is the larger one may have taken it; two equal ones may not.
    if core.is_multiple_of(2) {
        assert_ne!(
            status.ok(),
            Some(200),
            "half of {core} acknowledged a change"
        );
    }
    let share = read_everywhere(&world, Duration::from_secs(1)).await;
    assert!(share > 0.9, "{share} of reads are answered after the cut");
    world.operator.read_back().await;
    tally.stop().await;
    assert!(tally.share() > 0.97, "{}", tally.share());
    world
}

#[test]
fn given_a_core_cut_in_halves_then_nothing_is_older_on_either_side_and_nothing_is_lost() {
    for (seed, core) in [(350, 3), (351, 4), (352, 5), (353, 6)] {
        run_judged(|| halved(seed, core));
    }
}

#[test]
fn given_no_quorum_when_the_configuration_is_read_then_503_says_when_to_come_back() {
    run_judged(|| async {
        let world = World::serving(Terms {
            others: 1,
            ..Terms::seeded(355)
        })
        .await;
        for name in ["core-1", "core-2"] {
            world.freeze(name, true);
        }
        for name in ["core-0", "edge-0"] {
            let reply = world.operator.get_from(world.control_of(name)).await;
            let reply = reply.expect("an answer");
            assert_eq!(reply.status, 503, "{name}: {}", reply.text());
            assert!(reply.head.fields.text("retry-after").is_some(), "{name}");
        }
        world
    });
}
