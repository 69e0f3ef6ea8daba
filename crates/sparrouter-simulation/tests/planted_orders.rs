//! Each mistake that may be made in knowing an order again is found by a fixed story, which keeps all rules without it.
use nanoserde::SerBin;
use sparrouter_codec::Blob;
use sparrouter_consensus::{Applied, Machine};
use sparrouter_fleet::control::configuration_state::{
    Change, ConfigurationMachine, MAX_KNOWN_ORDERS, Verdict,
};
use sparrouter_fleet::platform::defects::{Defect, inject};
use sparrouter_simulation::operator::{How, Order};
use sparrouter_simulation::plan::{Kind, Plan, Route};
use sparrouter_simulation::scenario::play;
use sparrouter_simulation::world::{Terms, World, first_plan};
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

fn with_route(plan: &Plan, step: u64, name: &str) -> Plan {
    plan.next(step, |p| {
        p.routes.push(Route::new(name, Kind::Idempotent, "models"))
    })
}

fn put(plan: &Plan, base: u64) -> Order {
    Order::new(plan, base, How::Whole, true)
}

/// What the check of the history says of a story.
fn violation<F: Future<Output = Rc<World>>>(story: impl FnOnce() -> F) -> Vec<String> {
    play(async move {
        let world = story().await;
        world.judge.check_history();
        world.judge.breaches()
    })
}

fn assert_found<F: Future<Output = Rc<World>>>(defect: Defect, story: fn() -> F) {
    assert_eq!(violation(story), Vec::<String>::new(), "without a defect");
    inject(Some(defect));
    let found = violation(story);
    inject(None);
    assert!(
        found.iter().any(|b| b.starts_with("LINEAR")),
        "{defect:?} is not found: {found:?}"
    );
}

async fn world() -> Rc<World> {
    World::serving(Terms {
        others: 1,
        servers: 1,
        ..Terms::seeded(500)
    })
    .await
}

/// Sends an order to a member of the core, whose answer counts.
async fn send(world: &World, order: &Order) {
    let to = world.control_of("core-0");
    world.operator.send(to, order).await;
}

async fn two_under_one_number() -> Rc<World> {
    let world = world().await;
    for name in ["left", "right"] {
        send(&world, &put(&with_route(&first_plan(), 2, name), 1)).await;
    }
    world
}

async fn one_on_an_older_version() -> Rc<World> {
    let world = world().await;
    let (newer, stale) = (
        with_route(&first_plan(), 2, "newer"),
        with_route(&first_plan(), 4, "stale"),
    );
    for plan in [newer, stale] {
        send(&world, &put(&plan, 1)).await;
    }
    world
}

async fn a_repeat() -> Rc<World> {
    let world = world().await;
    let order = put(&with_route(&first_plan(), 2, "new"), 1);
    for _ in 0..2 {
        send(&world, &order).await;
    }
    world
}

async fn a_repeat_after_another_change() -> Rc<World> {
    let world = world().await;
    let plan = with_route(&first_plan(), 2, "new");
    let later = with_route(&plan, 2, "later");
    let order = put(&plan, 1);
    send(&world, &order).await;
    send(&world, &put(&later, plan.version)).await;
    send(&world, &order).await;
    world
}

/// The order waits at the frozen member that a relay asks first, and the next one refuses it, as its base is not in
/// force. Then the base is, and the frozen member thaws.
async fn a_copy_that_waits() -> Rc<World> {
    let world = world().await;
    let base = with_route(&first_plan(), 2, "base");
    let ahead = put(&with_route(&base, 2, "ahead"), base.version);
    let core = world.core();
    let asked_first = core
        .iter()
        .min_by_key(|name| sparrouter_rendezvous::hash(name.as_bytes()))
        .expect("a core");
    let other = core
        .iter()
        .find(|name| *name != asked_first)
        .map(|name| world.control_of(name))
        .expect("another member");
    world.freeze(asked_first, true);
    let relay = world.control_of("edge-0");
    world.operator.send(relay, &ahead).await;
    world.operator.send(other, &put(&base, 1)).await;
    world.freeze(asked_first, false);
    sleep(Duration::from_secs(4)).await;
    world.operator.get_from(other).await;
    world
}

#[test]
fn given_digests_ignored_when_two_orders_have_one_number_then_it_is_found() {
    assert_found(Defect::OrderDigestIgnored, two_under_one_number);
}

#[test]
fn given_bases_ignored_when_an_order_builds_on_an_older_version_then_it_is_found() {
    assert_found(Defect::BaseIgnored, one_on_an_older_version);
}

#[test]
fn given_repeats_judged_anew_when_an_order_comes_twice_then_it_is_found() {
    assert_found(Defect::SameBodyRefused, a_repeat);
}

#[test]
fn given_taken_orders_forgotten_when_an_overtaken_one_comes_again_then_it_is_found() {
    assert_found(
        Defect::AppliedOrdersForgotten,
        a_repeat_after_another_change,
    );
}

#[test]
fn given_a_refusal_passed_on_while_a_copy_waits_when_the_copy_is_judged_then_it_is_found() {
    assert_found(Defect::EarlyReplicaRejected, a_copy_that_waits);
}

/// Too many changes for a whole fleet: the machine alone.
#[test]
fn given_old_orders_refused_when_one_of_a_thousand_changes_ago_comes_again_then_it_is_found() {
    let order = |number: u64| Change::Put {
        if_match: Some(number - 1),
        body: Blob(format!("{{\"version\":{number},\"routes\":[],\"services\":[]}}").into_bytes()),
    };
    let mut body = Vec::new();
    let mut judge = |change: &Change| -> u16 {
        let answer = match ConfigurationMachine.apply(&body, &change.serialize_bin()) {
            Applied::Changed { body: new, answer } => {
                body = new;
                answer
            }
            Applied::Unchanged { answer } => answer,
        };
        let verdict: Verdict = sparrouter_codec::read(&answer).expect("a verdict");
        verdict.status
    };
    for number in 1..=MAX_KNOWN_ORDERS as u64 + 1 {
        assert_eq!(judge(&order(number)), 200);
    }
    assert_eq!(judge(&order(1)), 504);
    inject(Some(Defect::OldOrderRefused));
    let refused = judge(&order(1));
    inject(None);
    assert_eq!(refused, 412, "the mistake refuses an order that was taken");
}
