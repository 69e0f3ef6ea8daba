//! Planted mistakes that no drawn day finds, each brought about step by step: the scenario breaks a rule with the mistake
//! and keeps them all without.
use sparrouter_fleet::platform::defects::{Defect, inject};
use sparrouter_simulation::client::{ClientRequest, RequestOutcome};
use sparrouter_simulation::fabric::Cut;
use sparrouter_simulation::http_messages::call;
use sparrouter_simulation::operator::How;
use sparrouter_simulation::plan::{Kind, Plan, Route};
use sparrouter_simulation::scenario::play;
use sparrouter_simulation::world::{Terms, World, first_plan, request};
use std::future::Future;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Every member of the first group takes its turn, as the one that owns the configuration's shard is among them.
const MEMBERS: [&str; 3] = ["core-0", "core-1", "core-2"];

/// A core of three, one other node, a server.
fn terms(seed: u64) -> Terms {
    Terms {
        others: 1,
        servers: 1,
        ..Terms::seeded(seed)
    }
}

fn with_route(plan: &Plan, name: &str) -> Plan {
    plan.next(1, |p| {
        p.routes.push(Route::new(name, Kind::Idempotent, "models"))
    })
}

/// The two members beside this one.
fn others_than(member: &str) -> [&'static str; 2] {
    let others: Vec<&str> = MEMBERS.into_iter().filter(|m| *m != member).collect();
    [others[0], others[1]]
}

/// Sends a configuration to one machine alone, again and again; whether it was taken.
async fn taken_at(world: &Rc<World>, machine: &str, plan: &Plan, base: u64) -> bool {
    let place = world.judge.config_sent(plan, base, true);
    let base = base.to_string();
    let (net, body) = (world.outside_net(), plan.json());
    for _ in 0..5 {
        let fields = [("If-Match", base.as_str())];
        let to = world.control_of(machine);
        let patience = Duration::from_secs(2);
        let sent = call(&net, to, "PUT", "/api/config", &fields, &body, patience);
        if sent.await.is_ok_and(|reply| reply.status == 200) {
            world.judge.config_acknowledged(place);
            return true;
        }
    }
    false
}

/// What was broken, with or without a mistake.
fn breaches<F: Future<Output = Rc<World>>>(
    defect: Option<Defect>,
    scenario: impl FnOnce() -> F,
) -> Vec<String> {
    inject(defect);
    // A register may notice it itself, by an assertion without which the scenario cannot go on.
    let played = catch_unwind(AssertUnwindSafe(|| {
        play(async { scenario().await.judge.breaches() })
    }));
    inject(None);
    played.unwrap_or_else(|_| vec!["an assertion of the register".to_owned()])
}

/// Asserts that the scenario finds the mistake at one of the members, and breaks nothing at any without it.
fn assert_finds<F: Future<Output = Rc<World>>>(
    defect: Defect,
    scenario: impl Fn(&'static str) -> F,
) {
    let mut found = Vec::new();
    for member in MEMBERS {
        let sound = breaches(None, || scenario(member));
        assert!(
            sound.is_empty(),
            "without a mistake, at {member}: {sound:?}"
        );
        let planted = breaches(Some(defect), || scenario(member));
        println!("{defect:?} at {member}: {planted:?}");
        found.extend(planted);
    }
    assert!(!found.is_empty(), "{defect:?} is not found any more");
}

/// A change that one member alone accepts and that loses its slot to another; then that member starts anew.
async fn lost_race(member: &'static str) -> Rc<World> {
    let world = World::serving(terms(71)).await;
    let taken = with_route(&first_plan(), "taken");
    assert_eq!(world.operator.put(&taken, 1).await, 200);
    world.cut_off(&[member], Some(Cut::Silent));
    let lost = with_route(&taken, "lost");
    world.judge.config_sent(&lost, taken.version, true);
    let base = taken.version.to_string();
    let (net, body) = (world.outside_net(), lost.json());
    let fields = [("If-Match", base.as_str())];
    let alone = call(
        &net,
        world.control_of(member),
        "PUT",
        "/api/config",
        &fields,
        &body,
        Duration::from_millis(400),
    );
    let status = alone.await.map_or(0, |reply| reply.status);
    assert!(!(200..300).contains(&status), "nobody else voted: {status}");
    world.kill(member);
    let won = with_route(&taken, "won");
    let [first, _] = others_than(member);
    let first = world.control_of(first);
    let (status, _) = world
        .operator
        .change_at(Some(first), &won, taken.version, How::Whole, true)
        .await;
    assert_eq!(status, 200);
    world.cut_off(&[member], None);
    world.start(member, false);
    sleep(Duration::from_secs(6)).await;
    let asked = ClientRequest {
        path: "/lost/b5".to_owned(),
        retries: 0,
        ..request(Kind::Idempotent, "b5")
    };
    let client = world.client(false);
    let came = client.get_at(&asked, world.front_of(member), 0).await;
    if came == RequestOutcome::Served {
        world.judge.breach(
            "CONFIG",
            format!("{member} serves a route of a change that lost"),
        );
    }
    world.operator.read_back().await;
    world
}

/// A member misses a change, and then sees nobody but an empty machine that stands in for another member.
async fn swap_without_the_old_group(member: &'static str) -> Rc<World> {
    let world = World::serving(terms(72)).await;
    let taken = with_route(&first_plan(), "taken");
    assert_eq!(world.operator.put(&taken, 1).await, 200);
    let [kept, gone] = others_than(member);
    world.cut_off(&[member], Some(Cut::Silent));
    let missed = with_route(&taken, "missed");
    assert!(taken_at(&world, kept, &missed, taken.version).await);
    let stand_in = world.replace(gone);
    world.cut_off(&[kept], Some(Cut::Silent));
    for joined in ["edge-0", stand_in.as_str()] {
        let (member, joined) = (world.ip(member), world.ip(joined));
        world.fabric.cut_both(member, joined, None);
    }
    sleep(Duration::from_secs(8)).await;
    world.cut_off(&[kept], None);
    world.cut_off(&[member], None);
    sleep(Duration::from_secs(8)).await;
    world.operator.read_back().await;
    world
}

/// A member is replaced for good; once that is settled another one is down while a change is sent.
async fn down_after_a_replacement(replaced: &'static str) -> Rc<World> {
    let world = World::serving(terms(73)).await;
    let [down, _] = others_than(replaced);
    world.replace(replaced);
    sleep(Duration::from_secs(9)).await;
    world.kill(down);
    let next = with_route(&first_plan(), "next");
    if world.operator.put(&next, 1).await != 200 {
        world
            .judge
            .breach("ACKS", format!("no change is taken without {down}"));
    }
    world.start(down, false);
    sleep(Duration::from_secs(6)).await;
    world.operator.read_back().await;
    world
}

#[test]
fn given_a_change_that_lost_its_slot_when_its_proposer_restarts_then_it_is_not_in_force() {
    assert_finds(Defect::LosingProposalInForce, lost_race);
}

#[test]
fn given_a_member_that_missed_a_change_when_it_sees_only_a_stand_in_then_they_do_not_go_on_alone() {
    assert_finds(Defect::OldGroupNotAsked, swap_without_the_old_group);
}

#[test]
fn given_a_member_down_after_another_was_replaced_then_the_new_groups_majority_counts() {
    assert_finds(Defect::OldGroupCounts, down_after_a_replacement);
}
