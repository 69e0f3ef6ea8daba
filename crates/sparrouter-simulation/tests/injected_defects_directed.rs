//! Injected defects that no drawn day finds, each brought about step by step: the scenario violates a rule with the defect
//! and keeps them all without.
use sparrouter_fleet::platform::defects::{Defect, inject};
use sparrouter_simulation::client::RequestOutcome;
use sparrouter_simulation::cluster::{
    ClusterSettings, SimulatedCluster, initial_configuration, request,
};
use sparrouter_simulation::configuration::{Configuration, RouteKind};
use sparrouter_simulation::http_messages::call;
use sparrouter_simulation::network::Partition;
use sparrouter_simulation::operator::{Encoding, Order};
use sparrouter_simulation::runtime::play;
use std::future::Future;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Every member of the first group takes its turn, as the one that owns the configuration's shard is among them.
const MEMBERS: [&str; 3] = ["core-0", "core-1", "core-2"];

/// A core of three, one other node, a server.
fn settings(seed: u64) -> ClusterSettings {
    ClusterSettings::small(seed)
}

/// The two members beside this one.
fn others_than(member: &str) -> [&'static str; 2] {
    let others: Vec<&str> = MEMBERS.into_iter().filter(|m| *m != member).collect();
    [others[0], others[1]]
}

/// Sends a configuration to one machine alone, again and again; whether it was accepted.
async fn is_accepted_at(
    cluster: &Rc<SimulatedCluster>,
    machine: &str,
    configuration: &Configuration,
    base: u64,
) -> bool {
    let index = cluster
        .monitor
        .configuration_submitted(configuration, base, true);
    let base = base.to_string();
    let (net, body) = (cluster.outside_network(), configuration.json());
    for _ in 0..5 {
        let fields = [("If-Match", base.as_str())];
        let to = cluster.control_of(machine);
        let time_limit = Duration::from_secs(2);
        let sent = call(&net, to, "PUT", "/api/config", &fields, &body, time_limit);
        if sent.await.is_ok_and(|reply| reply.status == 200) {
            cluster.monitor.configuration_acknowledged(index);
            return true;
        }
    }
    false
}

/// What was violated, with or without a defect.
fn violations<F: Future<Output = Rc<SimulatedCluster>>>(
    defect: Option<Defect>,
    scenario: impl FnOnce() -> F,
) -> Vec<String> {
    inject(defect);
    // A register may notice it itself, by an assertion without which the scenario cannot go on.
    let played = catch_unwind(AssertUnwindSafe(|| {
        play(async { scenario().await.monitor.violations() })
    }));
    inject(None);
    played.unwrap_or_else(|_| vec!["an assertion of the register".to_owned()])
}

/// Asserts that the scenario finds the defect at one of the members, and violates nothing at any without it.
fn assert_finds<F: Future<Output = Rc<SimulatedCluster>>>(
    defect: Defect,
    scenario: impl Fn(&'static str) -> F,
) {
    let mut detections = Vec::new();
    for member in MEMBERS {
        let sound = violations(None, || scenario(member));
        assert!(sound.is_empty(), "without a defect, at {member}: {sound:?}");
        let with_defect = violations(Some(defect), || scenario(member));
        println!("{defect:?} at {member}: {with_defect:?}");
        detections.extend(with_defect);
    }
    assert!(!detections.is_empty(), "{defect:?} is not found any more");
}

/// A change that one member alone accepts and that loses its slot to another; then that member restarts.
async fn lost_race(member: &'static str) -> Rc<SimulatedCluster> {
    let cluster = SimulatedCluster::serving(settings(71)).await;
    let accepted = initial_configuration().with_route(1, "taken");
    assert_eq!(cluster.operator.put(&accepted, 1).await, 200);
    cluster.partition(&[member], Some(Partition::PacketsLost));
    let lost = accepted.with_route(1, "lost");
    cluster
        .monitor
        .configuration_submitted(&lost, accepted.version, true);
    let base = accepted.version.to_string();
    let (net, body) = (cluster.outside_network(), lost.json());
    let fields = [("If-Match", base.as_str())];
    let alone = call(
        &net,
        cluster.control_of(member),
        "PUT",
        "/api/config",
        &fields,
        &body,
        Duration::from_millis(400),
    );
    let status = alone.await.map_or(0, |reply| reply.status);
    assert!(!(200..300).contains(&status), "nobody else voted: {status}");
    cluster.kill(member);
    let won = accepted.with_route(1, "won");
    let [first, _] = others_than(member);
    let first = cluster.control_of(first);
    let order = Order::new(&won, accepted.version, Encoding::Full, true);
    let outcome = cluster.operator.submit_first_to(Some(first), &order).await;
    assert_eq!(outcome.status, 200);
    cluster.partition(&[member], None);
    cluster.start(member, false);
    sleep(Duration::from_secs(6)).await;
    let client_request = request(RouteKind::Idempotent, "b5").to_route("lost", "b5");
    let client = cluster.client(false);
    let outcome = client
        .send_to(&client_request, cluster.front_of(member), 0)
        .await;
    if outcome == RequestOutcome::Served {
        cluster.monitor.report_violation(
            "CONFIG",
            format!("{member} serves a route of a change that lost"),
        );
    }
    cluster.operator.read_back().await;
    cluster
}

/// A member misses a change, and then sees nobody but an empty machine that replaced another member.
async fn swap_without_the_old_group(member: &'static str) -> Rc<SimulatedCluster> {
    let cluster = SimulatedCluster::serving(settings(72)).await;
    let accepted = initial_configuration().with_route(1, "taken");
    assert_eq!(cluster.operator.put(&accepted, 1).await, 200);
    let [remaining, lost_machine] = others_than(member);
    cluster.partition(&[member], Some(Partition::PacketsLost));
    let missed = accepted.with_route(1, "missed");
    assert!(is_accepted_at(&cluster, remaining, &missed, accepted.version).await);
    let replacement = cluster.replace(lost_machine);
    cluster.partition(&[remaining], Some(Partition::PacketsLost));
    for joined in ["edge-0", replacement.as_str()] {
        let (member, joined) = (cluster.ip(member), cluster.ip(joined));
        cluster.network.partition_both(member, joined, None);
    }
    sleep(Duration::from_secs(8)).await;
    cluster.partition(&[remaining], None);
    cluster.partition(&[member], None);
    sleep(Duration::from_secs(8)).await;
    cluster.operator.read_back().await;
    cluster
}

/// A member is replaced for good; once that is settled another one is down while a change is sent.
async fn down_after_a_replacement(replaced: &'static str) -> Rc<SimulatedCluster> {
    let cluster = SimulatedCluster::serving(settings(73)).await;
    let [down, _] = others_than(replaced);
    cluster.replace(replaced);
    sleep(Duration::from_secs(9)).await;
    cluster.kill(down);
    let next = initial_configuration().with_route(1, "next");
    if cluster.operator.put(&next, 1).await != 200 {
        cluster
            .monitor
            .report_violation("ACKS", format!("no change is accepted without {down}"));
    }
    cluster.start(down, false);
    sleep(Duration::from_secs(6)).await;
    cluster.operator.read_back().await;
    cluster
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
