//! Disks with the configuration's shard as another release wrote it: an older form is adopted, a newer one rejected.
use nanoserde::SerBin;
use sparrouter_codec::Seq;
use sparrouter_consensus::{Record, SharedVote, Vote};
use sparrouter_fleet::control::configuration_state::{
    ConfigurationState, FORMAT_VERSION, NamedVersion,
};
use sparrouter_simulation::cluster::{ClusterSettings, SimulatedCluster, initial_configuration};
use sparrouter_simulation::configuration::Configuration;
use sparrouter_simulation::operator::{Encoding, Order};
use sparrouter_simulation::runtime::run_checked;
use sparrouter_storage::{Opened, Store};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

const MAX_RECORD_BYTES: usize = 10 << 20;
/// The record of the configuration's shard.
const RECORD: &str = "part-0";

/// Form 1, as releases up to 2026-12-01 wrote it.
#[derive(SerBin)]
struct FirstForm {
    version: u64,
    text: String,
    accepted: Seq<FirstFormProposal>,
    models: Seq<NamedVersion>,
}

#[derive(SerBin)]
struct FirstFormProposal {
    digest: u64,
    version: u64,
}

fn as_first_form(state: &ConfigurationState) -> Vec<u8> {
    let accepted = FirstFormProposal {
        digest: 0x1234_5678_9abc_def0,
        version: state.version,
    };
    let first = FirstForm {
        version: state.version,
        text: state.text.clone(),
        accepted: vec![accepted].into(),
        models: state.models.clone(),
    };
    first.serialize_bin()
}

fn as_newer_form(state: &ConfigurationState) -> Vec<u8> {
    let mut body = state.encode();
    body[8..12].copy_from_slice(&(FORMAT_VERSION + 1).to_le_bytes());
    body
}

/// Rewrites the shard's body on every disk of the core, all processes being down.
fn rewrite(cluster: &SimulatedCluster, rewritten: fn(&ConfigurationState) -> Vec<u8>) {
    for name in cluster.core() {
        let (mut store, opened) =
            Store::open(cluster.disk(&name).files).expect("a disk that works");
        let Opened::Existing(records) = opened else {
            panic!("{name} has an empty disk");
        };
        let record = Record::decode(&records[RECORD], MAX_RECORD_BYTES).expect("a record");
        let vote = record.accepted.expect("a vote");
        let state = ConfigurationState::read(&vote.state.body).expect("a state");
        let mut vote: Vote = (*vote.0).clone();
        vote.state.body = rewritten(&state);
        let record = Record {
            accepted: Some(SharedVote::from(vote)),
            ..record
        };
        store
            .save(RECORD, &record.encode())
            .expect("a disk that works");
    }
}

/// A fleet that took a change, then was stopped, its disks rewritten, and started again.
async fn restarted_with(
    seed: u64,
    configuration: &Configuration,
    rewritten: fn(&ConfigurationState) -> Vec<u8>,
) -> Rc<SimulatedCluster> {
    let cluster = SimulatedCluster::serving(ClusterSettings::small(seed)).await;
    assert_eq!(cluster.operator.put(configuration, 1).await, 200);
    sleep(Duration::from_secs(3)).await;
    for name in cluster.names() {
        cluster.kill(&name);
    }
    rewrite(&cluster, rewritten);
    cluster.start_all(false).await;
    sleep(Duration::from_secs(4)).await;
    cluster
}

#[test]
fn given_the_first_form_on_all_disks_when_started_then_it_is_served_and_changed_and_old_orders_are_open()
 {
    run_checked(|| async {
        let configuration = initial_configuration().with_route(2, "before");
        let cluster = restarted_with(600, &configuration, as_first_form).await;
        let to = cluster.control_of("core-1");
        let read = cluster.operator.get_from(to).await.expect("an answer");
        assert_eq!(
            (read.status, read.text()),
            (200, configuration.json().as_str())
        );
        let old = Order::new(&configuration, 1, Encoding::Full, true);
        assert_eq!(cluster.operator.send(to, &old).await, 504);
        let next = configuration.with_route(2, "after");
        assert_eq!(
            cluster.operator.put(&next, configuration.version).await,
            200
        );
        let lost = Order::new(
            &configuration.with_route(2, "lost"),
            configuration.version,
            Encoding::Full,
            true,
        );
        assert_eq!(cluster.operator.send(to, &lost).await, 412);
        cluster.operator.read_back().await;
        cluster
    });
}

#[test]
fn given_a_newer_form_on_all_disks_when_started_then_it_is_rejected_with_its_remedy_and_stays_as_it_was()
 {
    run_checked(|| async {
        let configuration = initial_configuration().with_route(2, "before");
        let cluster = restarted_with(601, &configuration, as_newer_form).await;
        let to = cluster.control_of("core-1");
        let read = cluster.operator.get_from(to).await.expect("an answer");
        assert_eq!(read.status, 500);
        assert!(
            read.text().contains("bring all nodes to one release"),
            "{}",
            read.text()
        );
        let next = Order::new(
            &configuration.with_route(2, "after"),
            configuration.version,
            Encoding::Full,
            true,
        );
        assert_eq!(cluster.operator.send(to, &next).await, 500);
        sleep(Duration::from_secs(1)).await;
        for name in cluster.core() {
            let (_, opened) = Store::open(cluster.disk(&name).files).expect("a disk that works");
            let Opened::Existing(records) = opened else {
                panic!("{name} has an empty disk");
            };
            let record = Record::decode(&records[RECORD], MAX_RECORD_BYTES).expect("a record");
            let body = &record.accepted.expect("a vote").state.body;
            assert_eq!(body[8..12], (FORMAT_VERSION + 1).to_le_bytes(), "{name}");
        }
        cluster
    });
}
