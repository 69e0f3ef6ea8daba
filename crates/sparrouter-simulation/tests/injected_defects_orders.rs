//! Each defect that may be made in knowing an order again is found by a fixed scenario, which keeps all rules without it.
use nanoserde::SerBin;
use sparrouter_codec::Blob;
use sparrouter_consensus::{Applied, Machine};
use sparrouter_fleet::control::configuration_state::{
    Change, ConfigurationMachine, MAX_KNOWN_ORDERS, Verdict,
};
use sparrouter_fleet::platform::defects::{Defect, inject};
use sparrouter_simulation::cluster::{ClusterSettings, SimulatedCluster, initial_configuration};
use sparrouter_simulation::configuration::Configuration;
use sparrouter_simulation::operator::{Encoding, Order};
use sparrouter_simulation::runtime::play;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

fn put(configuration: &Configuration, base: u64) -> Order {
    Order::new(configuration, base, Encoding::Full, true)
}

/// What the check of the history says of a scenario.
fn violation<F: Future<Output = Rc<SimulatedCluster>>>(
    scenario: impl FnOnce() -> F,
) -> Vec<String> {
    play(async move {
        let cluster = scenario().await;
        cluster.monitor.check_history();
        cluster.monitor.violations()
    })
}

fn assert_detected<F: Future<Output = Rc<SimulatedCluster>>>(defect: Defect, scenario: fn() -> F) {
    assert_eq!(
        violation(scenario),
        Vec::<String>::new(),
        "without a defect"
    );
    inject(Some(defect));
    let detected = violation(scenario);
    inject(None);
    assert!(
        detected.iter().any(|b| b.starts_with("LINEAR")),
        "{defect:?} is not found: {detected:?}"
    );
}

async fn cluster() -> Rc<SimulatedCluster> {
    SimulatedCluster::serving(ClusterSettings::small(500)).await
}

/// Sends an order to a member of the core, whose answer counts.
async fn send(cluster: &SimulatedCluster, order: &Order) {
    let to = cluster.control_of("core-0");
    cluster.operator.send(to, order).await;
}

async fn two_under_one_number() -> Rc<SimulatedCluster> {
    let cluster = cluster().await;
    for name in ["left", "right"] {
        send(
            &cluster,
            &put(&initial_configuration().with_route(2, name), 1),
        )
        .await;
    }
    cluster
}

async fn one_on_an_older_version() -> Rc<SimulatedCluster> {
    let cluster = cluster().await;
    let (newer, stale) = (
        initial_configuration().with_route(2, "newer"),
        initial_configuration().with_route(4, "stale"),
    );
    for configuration in [newer, stale] {
        send(&cluster, &put(&configuration, 1)).await;
    }
    cluster
}

async fn a_repeat() -> Rc<SimulatedCluster> {
    let cluster = cluster().await;
    let order = put(&initial_configuration().with_route(2, "new"), 1);
    for _ in 0..2 {
        send(&cluster, &order).await;
    }
    cluster
}

async fn a_repeat_after_another_change() -> Rc<SimulatedCluster> {
    let cluster = cluster().await;
    let configuration = initial_configuration().with_route(2, "new");
    let later = configuration.with_route(2, "later");
    let order = put(&configuration, 1);
    send(&cluster, &order).await;
    send(&cluster, &put(&later, configuration.version)).await;
    send(&cluster, &order).await;
    cluster
}

/// The order waits at the frozen member that a relay asks first, and the next one refuses it, as its base is not in
/// force. Then the base is, and the frozen member thaws.
async fn delayed_duplicate() -> Rc<SimulatedCluster> {
    let cluster = cluster().await;
    let base = initial_configuration().with_route(2, "base");
    let ahead = put(&base.with_route(2, "ahead"), base.version);
    let core = cluster.core();
    let first_node = core
        .iter()
        .min_by_key(|name| sparrouter_rendezvous::hash(name.as_bytes()))
        .expect("a core");
    let other = core
        .iter()
        .find(|name| *name != first_node)
        .map(|name| cluster.control_of(name))
        .expect("another member");
    cluster.freeze(first_node, true);
    let relay = cluster.control_of("edge-0");
    cluster.operator.send(relay, &ahead).await;
    cluster.operator.send(other, &put(&base, 1)).await;
    cluster.freeze(first_node, false);
    sleep(Duration::from_secs(4)).await;
    cluster.operator.get_from(other).await;
    cluster
}

#[test]
fn given_digests_ignored_when_two_orders_have_one_number_then_it_is_found() {
    assert_detected(Defect::OrderDigestIgnored, two_under_one_number);
}

#[test]
fn given_bases_ignored_when_an_order_builds_on_an_older_version_then_it_is_found() {
    assert_detected(Defect::BaseIgnored, one_on_an_older_version);
}

#[test]
fn given_repeats_judged_anew_when_an_order_comes_twice_then_it_is_found() {
    assert_detected(Defect::SameBodyRefused, a_repeat);
}

#[test]
fn given_accepted_orders_forgotten_when_an_overtaken_one_comes_again_then_it_is_found() {
    assert_detected(
        Defect::AppliedOrdersForgotten,
        a_repeat_after_another_change,
    );
}

#[test]
fn given_a_rejection_forwarded_while_a_copy_waits_when_the_copy_is_judged_then_it_is_found() {
    assert_detected(Defect::EarlyReplicaRejected, delayed_duplicate);
}

/// Too many changes for a fleet: the machine alone.
#[test]
fn given_old_orders_rejected_when_one_of_a_thousand_changes_ago_comes_again_then_it_is_found() {
    let order = |number: u64| Change::Put {
        if_match: Some(number - 1),
        body: Blob(format!("{{\"version\":{number},\"routes\":[],\"services\":[]}}").into_bytes()),
    };
    let mut body = Vec::new();
    let mut monitor = |change: &Change| -> u16 {
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
        assert_eq!(monitor(&order(number)), 200);
    }
    assert_eq!(monitor(&order(1)), 504);
    inject(Some(Defect::OldOrderRefused));
    let refused = monitor(&order(1));
    inject(None);
    assert_eq!(
        refused, 412,
        "the defect rejects an order that was accepted"
    );
}
