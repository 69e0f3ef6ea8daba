//! The index of cached prompts over complete nodes: what one server keeps, another is pointed at.
use bytes::BytesMut;
use sparrouter_simulation::client::{ClientRequest, RequestOutcome};
use sparrouter_simulation::cluster::{
    ClusterSettings, SimulatedCluster, ZONES, kv_store_address, request,
};
use sparrouter_simulation::configuration::RouteKind;
use sparrouter_simulation::http_messages::{next_call, response_text};
use sparrouter_simulation::network::interface::NetworkInterface;
use sparrouter_simulation::runtime::run_checked;
use sparrouter_simulation::server::Server;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// The store answers at its address from now on; without that it is reported as down, and not named.
fn open_store(cluster: &Rc<SimulatedCluster>) {
    cluster.network.add(kv_store_address().ip(), ZONES[0]);
    let listener = NetworkInterface::new(cluster.network.clone(), kv_store_address().ip())
        .open(kv_store_address())
        .expect("its address is free");
    spawn_local(async move {
        loop {
            let (mut stream, _) = listener.next().await;
            spawn_local(async move {
                let mut buffer = BytesMut::new();
                while next_call(&mut stream, &mut buffer).await.is_some() {
                    sleep(Duration::from_secs(1)).await;
                    let nothing =
                        r#"{"epoch":1,"next_page_token":0,"lost_count":false,"events":[]}"#;
                    if stream
                        .write_all(response_text(200, "", nothing).as_bytes())
                        .await
                        .is_err()
                    {
                        return;
                    }
                }
            });
        }
    });
}

fn about(prompt_id: &str, shared_tokens: u64) -> ClientRequest {
    ClientRequest {
        prompt_id: prompt_id.into(),
        shared_tokens,
        ..request(RouteKind::Idempotent, "b30")
    }
}

/// Sends the requests once more; returns how many parts servers other than these took from elsewhere.
async fn moved_to(
    cluster: &Rc<SimulatedCluster>,
    request: &ClientRequest,
    before: &[Rc<Server>],
) -> u32 {
    assert_eq!(
        cluster.client(false).send(request).await,
        RequestOutcome::Served
    );
    let others = cluster
        .server_ids()
        .into_iter()
        .map(|id| cluster.server(&id));
    others
        .filter(|s| before.iter().all(|b| b.settings.id != s.settings.id))
        .map(|s| s.fetched_blocks.get())
        .sum()
}

fn home_drains(seed: u64, shared_tokens: u64, restart: bool) {
    run_checked(move || async move {
        let cluster = SimulatedCluster::serving(ClusterSettings::with_seed(seed).servers(4)).await;
        let request = about("c0ffee", shared_tokens);
        assert_eq!(
            cluster.client(false).send(&request).await,
            RequestOutcome::Served
        );
        let keeps = |s: &Rc<Server>| s.has_cached("c0ffee");
        let home = cluster
            .server_ids()
            .into_iter()
            .map(|id| cluster.server(&id))
            .find(keeps)
            .expect("one read it");
        sleep(Duration::from_millis(400)).await;
        if restart {
            // Whoever owned the part, or followed its server, has forgotten all of it.
            for name in cluster
                .names()
                .into_iter()
                .filter(|n| n.starts_with("edge"))
            {
                cluster.kill(&name);
                sleep(Duration::from_millis(300)).await;
                cluster.start(&name, false);
                sleep(Duration::from_millis(1_500)).await;
            }
            cluster.wait_until_ready().await;
        }
        home.drain();
        sleep(Duration::from_millis(1_500)).await;
        assert_eq!(
            moved_to(&cluster, &request, &[home]).await,
            1,
            "it was taken from where it is kept"
        );
        cluster
    });
}

#[test]
fn given_a_part_that_one_server_keeps_when_that_one_drains_then_the_next_fetches_it_from_there() {
    (90..93).for_each(|seed| home_drains(seed, 2_000, false));
}

#[test]
fn given_a_small_part_when_its_server_drains_then_it_is_fetched_too_though_no_store_is_asked() {
    (93..96).for_each(|seed| home_drains(seed, 200, false));
}

#[test]
fn given_nodes_that_start_anew_when_a_part_is_asked_for_then_the_events_have_reported_it_again() {
    (96..98).for_each(|seed| home_drains(seed, 2_000, true));
}

#[test]
fn given_all_other_nodes_frozen_when_parts_are_asked_for_then_the_store_is_named_for_what_their_owners_know()
 {
    run_checked(|| async {
        let cluster = SimulatedCluster::serving(ClusterSettings::with_seed(99).servers(4)).await;
        open_store(&cluster);
        sleep(Duration::from_secs(2)).await;
        let wishes: Vec<ClientRequest> = (0..8)
            .map(|n| about(&format!("c0ffee{n}"), 2_000))
            .collect();
        for request in &wishes {
            assert_eq!(
                cluster.client(false).send(request).await,
                RequestOutcome::Served
            );
        }
        sleep(Duration::from_millis(400)).await;
        let before: Vec<Rc<Server>> = cluster
            .server_ids()
            .iter()
            .map(|id| cluster.server(id))
            .collect();
        // What was read is gone with its servers; those that come in their place keep nothing yet.
        for server in &before {
            cluster.crash_server(&server.settings.id);
            cluster.restart_server(server);
        }
        sleep(Duration::from_secs(4)).await;
        let others: Vec<String> = cluster
            .names()
            .into_iter()
            .filter(|n| n != "edge-0")
            .collect();
        others.iter().for_each(|name| cluster.freeze(name, true));
        for request in &wishes {
            let outcome = cluster.send_to_node(request, "edge-0").await;
            assert_eq!(outcome, RequestOutcome::Served);
        }
        let fetched_blocks: u32 = cluster
            .server_ids()
            .iter()
            .map(|id| cluster.server(id).fetched_blocks.get())
            .sum();
        assert!(
            fetched_blocks >= 8,
            "{fetched_blocks} of 8 shared parts came from the store"
        );
        others.iter().for_each(|name| cluster.freeze(name, false));
        sleep(Duration::from_secs(4)).await;
        cluster
    });
}
