//! Configurations sent as edits of their text: a node that cannot apply them gets the complete text, and all nodes end with
//! the same.
use sparrouter_fleet::node::Node;
use sparrouter_fleet::peer::messages::{ConfigUpdate, TextUpdate};
use sparrouter_fleet::platform::net::Sockets;
use sparrouter_fleet::process::log_buffer::LogBuffer;
use sparrouter_fleet::process::settings::ProcessSettings;
use sparrouter_simulation::cluster::{ClusterSettings, SimulatedCluster, initial_configuration};
use sparrouter_simulation::configuration::{Configuration, Route, RouteKind};
use sparrouter_simulation::load::ClientLoad;
use sparrouter_simulation::runtime::{play, run_checked};
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// A node that has control state, and so updates others.
fn node(seed: u64) -> Rc<Node> {
    let settings = include_str!("../../sparrouter-fleet/tests/settings/page.conf");
    let boot = ProcessSettings::parse(Path::new("story"), settings).expect("the page's settings");
    Node::new(
        boot,
        seed,
        LogBuffer::collecting(),
        Rc::new(Sockets),
        fastrand::Rng::with_seed(seed),
    )
}

fn configuration(version: u64) -> Configuration {
    let mut configuration = initial_configuration();
    configuration.version = version;
    let routes = (0..50).map(|i| Route::new(&format!("r{i}"), RouteKind::Idempotent, "models"));
    configuration.routes.extend(routes);
    configuration.routes.push(Route::new(
        &format!("new{version}"),
        RouteKind::Idempotent,
        "models",
    ));
    configuration
}

fn chosen(seq: u64) -> ConfigUpdate {
    let configuration = configuration(seq);
    ConfigUpdate {
        slot: seq,
        version: configuration.version,
        text: TextUpdate::Complete(configuration.json()),
        ..ConfigUpdate::default()
    }
}

fn is_complete(update: &ConfigUpdate) -> bool {
    matches!(update.text, TextUpdate::Complete(_))
}

/// What a poll of the one brings from the other; true where it was of use.
fn polls(poller: &Node, source: &Node) -> (bool, bool) {
    let update = source.config_update(poller.active_configuration().digest);
    (is_complete(&update), poller.apply_configuration(update))
}

#[test]
fn given_a_poller_with_the_version_before_when_it_asks_then_the_change_makes_the_same_text() {
    play(async {
        let (source, poller) = (node(1), node(2));
        source.apply_configuration(chosen(1));
        assert_eq!(
            polls(&poller, &source),
            (true, true),
            "the first text is complete"
        );
        source.apply_configuration(chosen(2));
        assert_eq!(polls(&poller, &source), (false, true));
        let (active, known) = (poller.active_configuration(), source.active_configuration());
        assert_eq!(
            (active.slot, active.version, &active.text),
            (2, 2, &known.text)
        );
        assert_eq!(*active.text, *configuration(2).json());
        assert!(active.table.as_ref().is_some_and(|t| t.version == 2));
    });
}

#[test]
fn given_a_poller_that_missed_versions_when_it_asks_then_all_changes_come_together() {
    play(async {
        let (source, poller) = (node(1), node(2));
        source.apply_configuration(chosen(1));
        polls(&poller, &source);
        (2..=6).for_each(|seq| assert!(source.apply_configuration(chosen(seq))));
        assert_eq!(polls(&poller, &source), (false, true));
        assert_eq!(
            (
                poller.active_configuration().slot,
                &*poller.active_configuration().text
            ),
            (6, &*configuration(6).json())
        );
        // So far back that the source knows the way no more.
        (7..=80).for_each(|seq| assert!(source.apply_configuration(chosen(seq))));
        assert_eq!(polls(&poller, &source), (true, true));
        assert_eq!(
            &*poller.active_configuration().text,
            &*configuration(80).json()
        );
    });
}

#[test]
fn given_a_source_that_restarted_when_it_is_asked_then_it_sends_the_complete_text() {
    play(async {
        let (source, poller) = (node(1), node(2));
        source.apply_configuration(chosen(1));
        polls(&poller, &source);
        let again = node(3);
        again.apply_configuration(chosen(3));
        assert_eq!(polls(&poller, &again), (true, true));
        again.apply_configuration(chosen(4));
        assert_eq!(
            polls(&poller, &again),
            (false, true),
            "from there on changes do"
        );
        assert_eq!(
            &*poller.active_configuration().text,
            &*configuration(4).json()
        );
    });
}

#[test]
fn given_sources_that_saw_different_versions_when_asked_in_turn_then_the_text_is_the_same_and_never_older()
 {
    play(async {
        let (one, other, poller) = (node(1), node(2), node(3));
        let mut last = 0;
        for seq in 1..40 {
            // Each misses every third or fourth version, as a partitioned node does.
            if seq % 3 != 0 {
                one.apply_configuration(chosen(seq));
            }
            if seq % 4 != 0 {
                other.apply_configuration(chosen(seq));
            }
            let source = if seq % 2 == 0 { &one } else { &other };
            if source.active_configuration().slot > poller.active_configuration().slot {
                assert!(polls(&poller, source).1);
            }
            let active = poller.active_configuration();
            assert!(active.slot >= last && *active.text == *configuration(active.slot).json());
            last = active.slot;
        }
    });
}

#[test]
fn given_a_text_that_differs_when_a_change_comes_then_nothing_changes_until_the_complete_text_is_asked_for()
 {
    play(async {
        let (source, poller) = (node(1), node(2));
        source.apply_configuration(chosen(1));
        let other = ConfigUpdate {
            text: TextUpdate::Complete(configuration(9).json()),
            ..chosen(1)
        };
        poller.apply_configuration(other);
        source.apply_configuration(chosen(2));
        // As though it had the text that the source made its change from.
        let change =
            source.config_update(sparrouter_config::digest_of_text(&configuration(1).json()));
        assert!(!is_complete(&change) && !poller.apply_configuration(change));
        assert_eq!(
            (
                poller.active_configuration().slot,
                &*poller.active_configuration().text
            ),
            (1, &*configuration(9).json())
        );
        assert!(
            poller.apply_configuration(source.config_update(0)),
            "0 requests the complete text"
        );
        assert_eq!(
            &*poller.active_configuration().text,
            &*configuration(2).json()
        );
    });
}

#[test]
fn given_only_weights_named_when_updated_then_no_text_goes_with_it() {
    play(async {
        let (source, poller) = (node(1), node(2));
        source.apply_configuration(chosen(1));
        polls(&poller, &source);
        source.apply_configuration(ConfigUpdate {
            slot: 2,
            ..chosen(1)
        });
        let update = source.config_update(poller.active_configuration().digest);
        assert!(matches!(&update.text, TextUpdate::Edits(edits) if edits.is_empty()));
        assert!(poller.apply_configuration(update) && poller.active_configuration().slot == 2);
    });
}

/// The digest of the configuration that a node reports, as JSON.
async fn reported_digest(cluster: &SimulatedCluster, name: &str) -> String {
    let reply = cluster.get(name, "/api/status").await;
    let reply = reply.expect("the node answers");
    let (_, after) = reply
        .text()
        .split_once("\"config_digest\":")
        .expect("a digest");
    after.split(',').next().expect("a digest").to_owned()
}

#[test]
fn given_patches_and_core_nodes_killed_when_all_is_healthy_again_then_every_node_has_the_text_of_the_register()
 {
    run_checked(|| async {
        let cluster = SimulatedCluster::serving(ClusterSettings::with_seed(77)).await;
        let load = ClientLoad::start(&cluster, 4, Duration::from_millis(200));
        let mut before = initial_configuration();
        for round in 0..8 {
            let next = before.with_public_route(2, &format!("new{round}"));
            if round % 3 == 1 {
                let victim = format!("core-{}", round % 2);
                cluster.kill(&victim);
                sleep(Duration::from_millis(100)).await;
                cluster.start(&victim, false);
            }
            assert_eq!(cluster.operator.patch(&next, &before).await, 200);
            sleep(Duration::from_millis(700)).await;
            before = next;
        }
        sleep(cluster.settings.bounds.contact).await;
        load.stop().await;
        cluster.operator.read_back().await;
        let mut digests = Vec::new();
        for name in cluster.names() {
            digests.push(reported_digest(&cluster, &name).await);
        }
        let read = cluster
            .operator
            .get_from(cluster.control_of("core-0"))
            .await
            .expect("the register's text");
        let register = format!(
            "\"{:016x}\"",
            sparrouter_config::digest_of_text(read.text())
        );
        assert!(
            digests.iter().all(|d| *d == register),
            "{register}: {digests:?}"
        );
        cluster
    });
}
