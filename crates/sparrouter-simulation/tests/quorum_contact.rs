//! Quorum contact: what a core machine that is partitioned, frozen or only just back claims, hands out and answers.
use sparrouter_codec::Blob;
use sparrouter_consensus::{Action, Leases, Member, Outcome, Record, Register, Settings};
use sparrouter_fleet::control::configuration_state::Change;
use sparrouter_fleet::control::quorum_contact::QuorumContact;
use sparrouter_fleet::control::{CONFIG, encode};
use sparrouter_fleet::membership::polls::is_timely;
use sparrouter_fleet::peer::messages::{self, Call};
use sparrouter_fleet::platform::defects::{Defect, inject};
use sparrouter_membership::MembershipDelta;
use sparrouter_simulation::cluster::partitions::PartitionScope;
use sparrouter_simulation::cluster::{ClusterSettings, SimulatedCluster, initial_configuration};
use sparrouter_simulation::contact_watch::{
    CONTACT_WINDOW, ContactWatch, FAST_POLL, PeerClient, internal_address_of,
};
use sparrouter_simulation::http_messages::{self, Reply};
use sparrouter_simulation::monitor::FaultScope;
use sparrouter_simulation::network::Partition;
use sparrouter_simulation::runtime::{play, run_checked};
use std::future::Future;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

const PARTITION_TIME: Duration = Duration::from_secs(20);
/// From a partition on a machine may claim contact this long: the window, and the time of an answer.
const CLAIMS_END: Duration = CONTACT_WINDOW.saturating_add(Duration::from_millis(50));
const VICTIM: &str = "core-0";

fn small(seed: u64) -> ClusterSettings {
    ClusterSettings::small(seed)
}

/// Whether a scenario shows the injected defect, by a violation or by an assertion.
fn is_detected<F: Future<Output = Rc<SimulatedCluster>>>(
    defect: Defect,
    scenario: impl FnOnce() -> F,
) -> bool {
    inject(Some(defect));
    let played = catch_unwind(AssertUnwindSafe(|| {
        play(async move { scenario().await.monitor.violations() })
    }));
    inject(None);
    played.map_or(true, |violations| !violations.is_empty())
}

// The decision by itself, against a model that keeps all that ever happened.

const WINDOW: u64 = 10;

/// Contact as the invariant defines it: recomputed at every tick of the clock from all reads so far.
#[derive(Default)]
struct Model {
    newest_read: Option<u64>,
    lost_at: u64,
    contact: bool,
}

impl Model {
    fn tick(&mut self, now: u64) {
        let recent = self.newest_read.is_some_and(|began| now < began + WINDOW);
        if self.contact && !recent {
            (self.contact, self.lost_at) = (false, now);
        }
    }

    fn response_received(&mut self, began: u64, now: u64) {
        if now < began + WINDOW && (self.contact || began >= self.lost_at) {
            self.contact = true;
            self.newest_read = Some(self.newest_read.unwrap_or(0).max(began));
        }
    }
}

/// Plays random reads with random delays, and looks at random moments; false where the two differ.
fn agrees_with_model(seed: u64) -> bool {
    let mut rng = fastrand::Rng::with_seed(seed);
    let (mut model, mut real) = (Model::default(), QuorumContact::new(WINDOW));
    let mut in_flight: Vec<(u64, u64)> = Vec::new();
    for now in 0..200 {
        model.tick(now);
        if rng.u8(..4) == 0 {
            in_flight.push((now, now + rng.u64(..2 * WINDOW)));
        }
        let arrived: Vec<u64> = in_flight
            .extract_if(.., |read| read.1 == now)
            .map(|read| read.0)
            .collect();
        for began in arrived {
            model.response_received(began, now);
            real.confirm(began, now);
        }
        // Not looked at in between: nobody may have to notice a loss for it to count.
        if rng.bool() && real.is_confirmed(now) != model.contact {
            return false;
        }
    }
    true
}

#[test]
fn given_reads_answered_late_and_out_of_order_then_contact_is_what_the_invariant_says() {
    for seed in 0..5_000 {
        assert!(agrees_with_model(seed), "seed {seed}");
    }
}

#[test]
fn given_mistakes_planted_in_the_decision_then_the_model_finds_them() {
    for defect in [Defect::ContactNeverLost, Defect::LateAnswerConfirms] {
        inject(Some(defect));
        let detected = (0..5_000).any(|seed| !agrees_with_model(seed));
        inject(None);
        assert!(detected, "{defect:?}");
    }
}

#[test]
fn given_an_answer_to_a_question_from_before_the_loss_then_there_is_no_contact() {
    let mut contact = QuorumContact::new(WINDOW);
    assert!(contact.confirm(0, 1));
    assert!(contact.is_confirmed(9) && !contact.is_confirmed(10));
    assert!(!contact.confirm(8, 11), "asked before the loss at 10");
    assert!(contact.is_lost(11));
    assert!(contact.confirm(10, 12));
    assert!(contact.is_confirmed(19) && !contact.is_confirmed(20));
}

// Claims towards other nodes.

/// The victim is partitioned while a change is made, and joined again after 20 s. No machine claims contact without what
/// was acknowledged, and the victim claims none while it is partitioned.
async fn partition_and_repair(seed: u64, scope: PartitionScope) -> Rc<SimulatedCluster> {
    let cluster = SimulatedCluster::serving(small(seed)).await;
    let watch = ContactWatch::start(&cluster, &cluster.core(), FAST_POLL);
    sleep(Duration::from_millis(300)).await;
    let partitioned_at = Instant::now();
    cluster.partition_core(VICTIM, scope, Some(Partition::PacketsLost));
    sleep(Duration::from_millis(100 * (seed % 20))).await;
    let first = initial_configuration().with_public_route(2, "first");
    assert_eq!(cluster.operator.put(&first, 1).await, 200);
    watch.acknowledged(first.version);
    sleep(PARTITION_TIME - partitioned_at.elapsed()).await;
    let repaired_at = Instant::now();
    let (sending, next) = (cluster.clone(), first.with_public_route(2, "second"));
    let put = next.clone();
    let put = spawn_local(async move { sending.operator.put(&put, first.version).await });
    sleep(Duration::from_millis(seed % 8)).await;
    cluster.partition_core(VICTIM, scope, None);
    assert_eq!(put.await.ok(), Some(200));
    watch.acknowledged(next.version);
    sleep(Duration::from_secs(4)).await;
    watch.stop();
    let claims = |from, until| watch.claims(cluster.ip(VICTIM), from, until);
    if claims(partitioned_at + CLAIMS_END, repaired_at) > 0 {
        cluster.monitor.report_violation(
            "CONTACT",
            format!("{VICTIM} claims contact while partitioned {scope:?}"),
        );
    }
    assert!(
        claims(repaired_at + Duration::from_secs(3), Instant::now()) > 100,
        "{VICTIM} is back in contact"
    );
    let healthy = watch.claims(cluster.ip("core-1"), partitioned_at, repaired_at);
    assert!(healthy > 1_000, "core-1 stays in contact: {healthy}");
    cluster.operator.read_back().await;
    cluster
}

#[test]
fn given_a_machine_partitioned_for_20_s_in_any_way_then_it_claims_no_contact_without_what_is_in_force()
 {
    for (n, scope) in PartitionScope::ALL.into_iter().enumerate() {
        for seed in 0..4 {
            run_checked(|| partition_and_repair(700 + 10 * n as u64 + seed, scope));
        }
    }
}

#[test]
fn given_contact_that_is_never_lost_then_a_partition_shows_it() {
    assert!(is_detected(Defect::ContactNeverLost, || {
        partition_and_repair(700, PartitionScope::All)
    }));
}

#[test]
fn given_contact_by_frames_that_arrive_then_a_partition_of_one_direction_shows_it() {
    assert!(is_detected(Defect::ContactFromAnyFrame, || {
        partition_and_repair(741, PartitionScope::Outbound)
    }));
}

/// The victim is frozen for 20 s, during which a change is made.
async fn freeze_and_thaw(seed: u64) -> Rc<SimulatedCluster> {
    let cluster = SimulatedCluster::serving(small(seed)).await;
    let watch = ContactWatch::start(&cluster, &cluster.core(), FAST_POLL);
    sleep(Duration::from_millis(300 + 37 * (seed % 10))).await;
    cluster.freeze(VICTIM, true);
    let next = initial_configuration().with_public_route(2, "new");
    assert_eq!(cluster.operator.put(&next, 1).await, 200);
    watch.acknowledged(next.version);
    sleep(PARTITION_TIME).await;
    cluster.freeze(VICTIM, false);
    let thawed = Instant::now();
    while thawed.elapsed() < Duration::from_secs(1) {
        if let Some(unresponsive) = listed_unresponsive(&cluster, "core-1").await {
            cluster.monitor.report_violation(
                "CONTACT",
                format!("{unresponsive} is called silent after a thaw"),
            );
            break;
        }
        sleep(Duration::from_millis(10)).await;
    }
    sleep(Duration::from_secs(3)).await;
    watch.stop();
    let back = watch.claims(
        cluster.ip(VICTIM),
        thawed + Duration::from_secs(3),
        Instant::now(),
    );
    assert!(back > 100, "{VICTIM} is back in contact");
    cluster
}

/// A node other than the victim that this machine has listed as silent.
async fn listed_unresponsive(cluster: &Rc<SimulatedCluster>, name: &str) -> Option<String> {
    let status = get(cluster, name, "/api/status").await?;
    let listed = status.split("{\"name\":\"").skip(1);
    let unresponsive = listed.filter(|node| {
        let node = node.split('}').next().unwrap_or_default();
        node.contains("\"internal\":") && node.contains("\"silent\":true")
    });
    unresponsive
        .filter_map(|node| node.split('"').next().map(str::to_owned))
        .find(|node| node != VICTIM)
}

/// One call to a machine's control endpoint.
async fn call_control(
    cluster: &SimulatedCluster,
    name: &str,
    request: (&str, &str),
    fields: &[(&str, &str)],
    body: &str,
) -> Option<Reply> {
    let (method, path) = request;
    let (net, at) = (cluster.outside_network(), cluster.control_of(name));
    let time_limit = Duration::from_secs(1);
    let call = http_messages::call(&net, at, method, path, fields, body, time_limit);
    call.await.ok()
}

async fn get(cluster: &SimulatedCluster, name: &str, path: &str) -> Option<String> {
    let reply = call_control(cluster, name, ("GET", path), &[], "").await?;
    Some(reply.text().to_owned())
}

#[test]
fn given_a_machine_frozen_for_20_s_when_it_wakes_then_it_claims_nothing_before_a_quorum_answered() {
    for seed in 0..8 {
        run_checked(|| freeze_and_thaw(760 + seed));
    }
}

#[test]
fn given_unresponsiveness_reported_without_contact_then_a_thaw_shows_it() {
    let detected = (0..8).any(|seed| {
        is_detected(Defect::MarksUnresponsiveWithoutContact, || {
            freeze_and_thaw(760 + seed)
        })
    });
    assert!(detected);
}

#[test]
fn given_contact_that_is_never_lost_then_a_thaw_shows_it() {
    let detected =
        (0..8).any(|seed| is_detected(Defect::ContactNeverLost, || freeze_and_thaw(760 + seed)));
    assert!(detected);
}

#[test]
fn given_two_of_five_partitioned_together_then_neither_counts_as_in_contact_through_the_other() {
    for seed in 0..3 {
        run_checked(|| async {
            let settings = small(780 + seed).core_machines(5);
            let cluster = SimulatedCluster::serving(settings).await;
            let watch = ContactWatch::start(&cluster, &cluster.core(), FAST_POLL);
            sleep(Duration::from_millis(200)).await;
            let partitioned_at = Instant::now();
            cluster.partition(&["core-0", "core-1"], Some(Partition::PacketsLost));
            let next = initial_configuration().with_public_route(2, "new");
            assert_eq!(cluster.operator.put(&next, 1).await, 200);
            watch.acknowledged(next.version);
            sleep(PARTITION_TIME).await;
            let repaired_at = Instant::now();
            for name in ["core-0", "core-1"] {
                let claims =
                    watch.claims(cluster.ip(name), partitioned_at + CLAIMS_END, repaired_at);
                assert_eq!(claims, 0, "{name}");
            }
            cluster.partition(&["core-0", "core-1"], None);
            sleep(Duration::from_secs(4)).await;
            watch.stop();
            cluster.operator.read_back().await;
            cluster
        });
    }
}

#[test]
fn given_answers_that_were_long_under_way_then_they_give_no_contact() {
    for seed in 0..6 {
        run_checked(|| async {
            let cluster = SimulatedCluster::serving(small(790 + seed)).await;
            let watch = ContactWatch::start(&cluster, &cluster.core(), FAST_POLL);
            sleep(Duration::from_millis(200 + 90 * seed)).await;
            // Questions still leave; their answers wait on the way, just not so long that the connections break.
            for _ in 0..6 {
                cluster.partition_core(
                    VICTIM,
                    PartitionScope::Inbound,
                    Some(Partition::PacketsLost),
                );
                sleep(Duration::from_millis(1_400)).await;
                cluster.partition_core(VICTIM, PartitionScope::Inbound, None);
                sleep(Duration::from_millis(30)).await;
            }
            let next = initial_configuration().with_public_route(2, "new");
            cluster.partition_core(
                VICTIM,
                PartitionScope::Inbound,
                Some(Partition::PacketsLost),
            );
            assert_eq!(cluster.operator.put(&next, 1).await, 200);
            watch.acknowledged(next.version);
            sleep(Duration::from_millis(1_400)).await;
            cluster.partition_core(VICTIM, PartitionScope::Inbound, None);
            sleep(Duration::from_secs(4)).await;
            watch.stop();
            cluster
        });
    }
}

#[test]
fn given_a_disk_that_stalls_then_its_machine_stays_in_contact_by_the_others() {
    run_checked(|| async {
        let cluster = SimulatedCluster::serving(small(796)).await;
        let watch = ContactWatch::start(&cluster, &cluster.core(), FAST_POLL);
        cluster
            .monitor
            .fault_began(FaultScope::Machine(cluster.ip(VICTIM)));
        cluster.monitor.fault_began(FaultScope::Core);
        let stalled = cluster.disk(VICTIM).stalled_until;
        stalled.set(Instant::now() + PARTITION_TIME);
        let began = Instant::now();
        let next = initial_configuration().with_public_route(2, "new");
        assert_eq!(cluster.operator.put(&next, 1).await, 200);
        watch.acknowledged(next.version);
        sleep(PARTITION_TIME).await;
        let claims = watch.claims(cluster.ip(VICTIM), began, Instant::now());
        assert!(claims > 1_000, "{claims}");
        cluster
            .monitor
            .fault_ended(FaultScope::Machine(cluster.ip(VICTIM)));
        cluster.monitor.fault_ended(FaultScope::Core);
        sleep(Duration::from_secs(2)).await;
        watch.stop();
        cluster
    });
}

#[test]
fn given_a_machine_that_hardly_runs_then_it_claims_no_contact_without_what_is_in_force() {
    for pace in [40, 700, 3_000] {
        run_checked(|| async {
            let cluster = SimulatedCluster::serving(small(797)).await;
            let watch = ContactWatch::start(&cluster, &cluster.core(), FAST_POLL);
            cluster.slow(VICTIM, Duration::from_millis(pace));
            let mut configuration = initial_configuration();
            for round in 0..6 {
                let next = configuration.with_public_route(2, &format!("new{round}"));
                assert_eq!(
                    cluster.operator.put(&next, configuration.version).await,
                    200
                );
                watch.acknowledged(next.version);
                configuration = next;
                sleep(Duration::from_millis(2_300)).await;
            }
            cluster.slow(VICTIM, Duration::ZERO);
            sleep(Duration::from_secs(3)).await;
            watch.stop();
            cluster
        });
    }
}

// A process that starts.

/// An edge node starts while it reaches only a core machine that is partitioned from the others.
async fn start_beside_a_partitioned_machine(seed: u64) -> Rc<SimulatedCluster> {
    let cluster = SimulatedCluster::serving(small(seed)).await;
    cluster.kill("edge-0");
    cluster.partition_core(VICTIM, PartitionScope::Core, Some(Partition::PacketsLost));
    for name in ["core-1", "core-2"] {
        cluster.network.partition_both(
            cluster.ip("edge-0"),
            cluster.ip(name),
            Some(Partition::PacketsLost),
        );
    }
    let next = initial_configuration().with_public_route(2, "new");
    assert_eq!(cluster.operator.put(&next, 1).await, 200);
    sleep(Duration::from_secs(4)).await;
    cluster.start("edge-0", false);
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(12) {
        let status = get(&cluster, "edge-0", "/api/status")
            .await
            .unwrap_or_default();
        if status.contains("\"ready\":true") {
            cluster
                .monitor
                .report_violation("CONTACT", "edge-0 is ready with an old configuration");
            return cluster;
        }
        sleep(Duration::from_millis(50)).await;
    }
    cluster.partition_core(VICTIM, PartitionScope::Core, None);
    for name in ["core-1", "core-2"] {
        cluster
            .network
            .partition_both(cluster.ip("edge-0"), cluster.ip(name), None);
    }
    sleep(Duration::from_secs(4)).await;
    let status = get(&cluster, "edge-0", "/api/status")
        .await
        .unwrap_or_default();
    let current = format!("\"config_version\":{},", next.version);
    assert!(
        status.contains("\"ready\":true") && status.contains(&current),
        "{status}"
    );
    cluster
}

#[test]
fn given_a_node_that_starts_beside_a_machine_partitioned_then_it_is_not_ready_before_a_quorum_confirms()
 {
    for seed in 0..3 {
        run_checked(|| start_beside_a_partitioned_machine(800 + seed));
    }
}

#[test]
fn given_readiness_without_confirmation_then_a_start_beside_a_partitioned_machine_shows_it() {
    assert!(is_detected(Defect::UnconfirmedReady, || {
        start_beside_a_partitioned_machine(800)
    }));
}

/// An edge node freezes just after it has started, with polls under way, and wakes 20 s and a change later.
async fn start_and_freeze(seed: u64, after_ms: u64) -> Rc<SimulatedCluster> {
    let cluster = SimulatedCluster::serving(small(seed)).await;
    cluster.kill("edge-0");
    sleep(Duration::from_millis(500)).await;
    cluster.start("edge-0", false);
    sleep(Duration::from_millis(after_ms)).await;
    let before = get(&cluster, "edge-0", "/api/status")
        .await
        .unwrap_or_default();
    cluster.freeze("edge-0", true);
    let next = initial_configuration().with_public_route(2, "new");
    assert_eq!(cluster.operator.put(&next, 1).await, 200);
    sleep(PARTITION_TIME).await;
    let ready_before = before.contains("\"ready\":true");
    cluster.freeze("edge-0", false);
    let woke = Instant::now();
    while !ready_before && woke.elapsed() < Duration::from_millis(500) {
        let status = get(&cluster, "edge-0", "/api/status")
            .await
            .unwrap_or_default();
        if status.contains("\"ready\":true") && status.contains("\"config_version\":1,") {
            cluster
                .monitor
                .report_violation("CONTACT", "edge-0 is ready by an answer that waited for it");
            return cluster;
        }
    }
    sleep(Duration::from_secs(4)).await;
    let status = get(&cluster, "edge-0", "/api/status")
        .await
        .unwrap_or_default();
    assert!(status.contains("\"ready\":true"), "{status}");
    cluster
}

#[test]
fn given_a_node_frozen_while_it_starts_then_answers_that_waited_do_not_make_it_ready() {
    for after_ms in 0..14 {
        run_checked(|| start_and_freeze(810, after_ms));
    }
}

#[test]
fn given_an_answer_older_than_its_caller_would_wait_then_it_counts_for_nothing() {
    let time_limit = Duration::from_millis(1_700);
    let detected = || {
        let after = |ms: u64| is_timely(5_000_000_000, 5_000_000_000 + ms * 1_000_000, time_limit);
        !after(0) || !after(1_700) || after(1_701) || after(20_000)
    };
    assert!(!detected());
    inject(Some(Defect::StaleAnswerInforms));
    let with_defect = detected();
    inject(None);
    assert!(with_defect);
}

/// An edge node that has the newest configuration is left with a machine that is partitioned and has an older one.
async fn left_with_an_older_machine(seed: u64) -> Rc<SimulatedCluster> {
    let cluster = SimulatedCluster::serving(small(seed)).await;
    cluster.partition_core(VICTIM, PartitionScope::Core, Some(Partition::PacketsLost));
    sleep(CLAIMS_END).await;
    let next = initial_configuration().with_public_route(2, "new");
    assert_eq!(cluster.operator.put(&next, 1).await, 200);
    sleep(Duration::from_secs(2)).await;
    for name in ["core-1", "core-2"] {
        let (edge, core) = (cluster.ip("edge-0"), cluster.ip(name));
        cluster
            .network
            .partition_both(edge, core, Some(Partition::PacketsLost));
    }
    let current = format!("\"config_version\":{},", next.version);
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(8) {
        let status = get(&cluster, "edge-0", "/api/status")
            .await
            .unwrap_or_default();
        if !status.contains(&current) {
            cluster
                .monitor
                .report_violation("CONFIG", "edge-0 took an older configuration");
            return cluster;
        }
        sleep(Duration::from_millis(50)).await;
    }
    cluster
}

#[test]
fn given_a_node_left_with_an_older_machine_then_it_keeps_its_configuration() {
    for seed in 0..3 {
        run_checked(|| left_with_an_older_machine(840 + seed));
    }
}

#[test]
fn given_older_configurations_accepted_then_a_node_left_with_an_older_machine_shows_it() {
    assert!(is_detected(Defect::OlderConfigurationApplied, || {
        left_with_an_older_machine(840)
    }));
}

// What is answered without contact: a row of the table in docs/design/control-state/quorum-contact.md each.

/// A world whose victim has been without contact for 3 s.
async fn without_contact(seed: u64, scope: PartitionScope) -> Rc<SimulatedCluster> {
    let cluster = SimulatedCluster::serving(small(seed)).await;
    cluster.partition_core(VICTIM, scope, Some(Partition::PacketsLost));
    sleep(Duration::from_secs(3)).await;
    cluster
}

/// Calls the victim's control endpoint; 0 where it does not answer.
async fn call_victim(
    cluster: &SimulatedCluster,
    method: &str,
    path: &str,
    fields: &[(&str, &str)],
    body: &str,
) -> u16 {
    let reply = call_control(cluster, VICTIM, (method, path), fields, body).await;
    reply.map_or(0, |reply| reply.status)
}

/// Neither a confirmation nor a refusal: 503 (nothing was proposed), 504 (nobody knows) or no answer in time.
fn is_unclear(status: u16) -> bool {
    matches!(status, 0 | 503 | 504)
}

/// A row of the table in all ways of being partitioned.
fn in_every_scope(seed: u64, row: impl AsyncFn(&Rc<SimulatedCluster>) + Copy) {
    for scope in PartitionScope::ALL {
        run_checked(|| async {
            let cluster = without_contact(seed, scope).await;
            row(&cluster).await;
            cluster.partition_core(VICTIM, scope, None);
            sleep(Duration::from_secs(4)).await;
            cluster
        });
    }
}

#[test]
fn given_no_contact_when_a_configuration_is_put_then_it_is_neither_accepted_nor_rejected() {
    in_every_scope(820, async |cluster| {
        let next = initial_configuration().with_public_route(2, "new");
        cluster.monitor.configuration_submitted(&next, 1, true);
        for base in ["1", "7"] {
            let status = call_victim(
                cluster,
                "PUT",
                "/api/config",
                &[("If-Match", base)],
                &next.json(),
            )
            .await;
            assert!(is_unclear(status), "on {base}: {status}");
        }
        let malformed = next
            .json()
            .replace("\"service\":\"models\"", "\"service\":\"none\"");
        let status = call_victim(
            cluster,
            "PUT",
            "/api/config",
            &[("If-Match", "1")],
            &malformed,
        )
        .await;
        assert!(is_unclear(status), "invalid: {status}");
    });
}

#[test]
fn given_no_contact_when_a_configuration_is_patched_then_it_is_neither_accepted_nor_rejected() {
    in_every_scope(821, async |cluster| {
        let next = initial_configuration().with_public_route(2, "new");
        cluster.monitor.configuration_submitted(&next, 1, true);
        let body = next.patch_json(&initial_configuration());
        for base in ["1", "7"] {
            let status = call_victim(
                cluster,
                "PATCH",
                "/api/config",
                &[("If-Match", base)],
                &body,
            )
            .await;
            assert!(is_unclear(status), "on {base}: {status}");
        }
    });
}

#[test]
fn given_no_contact_when_the_configuration_is_read_then_none_is_handed_out() {
    in_every_scope(822, async |cluster| {
        let status = call_victim(cluster, "GET", "/api/config", &[], "").await;
        assert!(is_unclear(status), "{status}");
    });
}

#[test]
fn given_no_contact_when_weights_are_named_then_it_is_neither_accepted_nor_rejected() {
    in_every_scope(823, async |cluster| {
        let body = "{\"model\":\"other\",\"version\":3}";
        let status = call_victim(cluster, "POST", "/api/version-put", &[], body).await;
        assert!(is_unclear(status), "{status}");
    });
}

fn heartbeat(state: &str, sequence: u64) -> String {
    format!(
        "{{\"service\":\"models\",\"address\":\"10.9.9.9:8080\",\"zone\":\"lalitpur\",\"slot_count\":4,\
         \"state\":\"{state}\",\"models\":[],\"call_sequence\":{sequence}}}"
    )
}

async fn heartbeats_without_contact(cluster: &Rc<SimulatedCluster>) {
    for (sequence, state) in (1..).zip(["ready", "ready", "draining", "draining"]) {
        let body = heartbeat(state, sequence);
        let status = call_victim(cluster, "PUT", "/api/instances/i-new", &[], &body).await;
        assert!(is_unclear(status), "{state} number {sequence}: {status}");
    }
    let status = call_victim(cluster, "DELETE", "/api/instances/i-new", &[], "").await;
    assert!(is_unclear(status), "DELETE: {status}");
    let status = call_victim(cluster, "DELETE", "/api/instances/i-unknown", &[], "").await;
    assert!(is_unclear(status), "DELETE of an unknown one: {status}");
}

#[test]
fn given_no_contact_when_a_server_reports_drains_or_leaves_then_it_is_sent_to_another_node() {
    in_every_scope(824, heartbeats_without_contact);
}

#[test]
fn given_contact_when_a_server_reports_drains_or_leaves_then_it_is_acknowledged() {
    run_checked(|| async {
        let cluster = SimulatedCluster::serving(small(825)).await;
        for (sequence, state) in (1..).zip(["ready", "draining", "draining"]) {
            let body = heartbeat(state, sequence);
            let status = call_victim(&cluster, "PUT", "/api/instances/i-new", &[], &body).await;
            assert_eq!(status, 200, "{state} number {sequence}");
        }
        let status = call_victim(&cluster, "DELETE", "/api/instances/i-new", &[], "").await;
        assert_eq!(status, 200);
        cluster
    });
}

async fn calls_of_nodes_without_contact(cluster: &Rc<SimulatedCluster>) {
    let (caller, to) = (
        PeerClient::new(cluster.outside_network()),
        internal_address_of(cluster, VICTIM),
    );
    let update = caller.poll(to).await.expect("an answer");
    assert!(!update.has_quorum_contact(), "poll");
    let time_limit = Duration::from_secs(1);
    let notify = Call::Notify(MembershipDelta::default());
    let reply = caller.call(to, &notify, time_limit).await;
    assert!(
        matches!(reply, Some(messages::Reply::Rejected(_))),
        "notify: {reply:?}"
    );
    let change = Call::Change {
        shard: CONFIG,
        change: Blob(encode(&Change::Get)),
        timeout_ms: 500,
    };
    let reply = caller.call(to, &change, time_limit).await;
    assert!(
        matches!(reply, Some(messages::Reply::NotApplied(_))),
        "change: {reply:?}"
    );
}

#[test]
fn given_no_contact_when_another_node_polls_notifies_or_relays_then_it_is_notified() {
    in_every_scope(826, calls_of_nodes_without_contact);
}

#[test]
fn given_heartbeats_or_rows_accepted_without_contact_then_the_rows_of_the_table_show_it() {
    let heartbeats = || async {
        let cluster = without_contact(827, PartitionScope::Core).await;
        heartbeats_without_contact(&cluster).await;
        cluster
    };
    assert!(is_detected(Defect::HeartbeatWithoutContact, heartbeats));
    assert!(is_detected(Defect::DrainRepeatAcked, heartbeats));
    let nodes = || async {
        let cluster = without_contact(827, PartitionScope::Core).await;
        calls_of_nodes_without_contact(&cluster).await;
        cluster
    };
    assert!(is_detected(Defect::NotifyWithoutContact, nodes));
}

/// A server's draining at an edge node that reaches no core machine but one that is partitioned.
async fn draining_toward_a_partitioned_machine(seed: u64) -> Rc<SimulatedCluster> {
    let cluster = SimulatedCluster::serving(small(seed)).await;
    cluster.partition_core(VICTIM, PartitionScope::Core, Some(Partition::PacketsLost));
    for name in ["core-1", "core-2"] {
        cluster.network.partition_both(
            cluster.ip("edge-0"),
            cluster.ip(name),
            Some(Partition::PacketsLost),
        );
    }
    expect_no_acknowledgement_of_draining(&cluster).await;
    cluster
}

/// The same with two core machines of four that reach each other: as many as must have the record, and no majority.
async fn draining_toward_a_partitioned_half(seed: u64) -> Rc<SimulatedCluster> {
    let cluster = SimulatedCluster::serving(small(seed).core_machines(4)).await;
    for name in ["core-0", "core-1", "edge-0"] {
        for other in ["core-2", "core-3"] {
            cluster.network.partition_both(
                cluster.ip(name),
                cluster.ip(other),
                Some(Partition::PacketsLost),
            );
        }
    }
    expect_no_acknowledgement_of_draining(&cluster).await;
    cluster
}

/// A server announces its drain at the edge node once nobody claims contact any more.
async fn expect_no_acknowledgement_of_draining(cluster: &SimulatedCluster) {
    sleep(CLAIMS_END).await;
    let body = heartbeat("draining", 1);
    let request = ("PUT", "/api/instances/i-new");
    let reply = call_control(cluster, "edge-0", request, &[], &body).await;
    let status = reply.map_or(0, |reply| reply.status);
    if !is_unclear(status) {
        cluster
            .monitor
            .report_violation("DRAIN", format!("edge-0 answers draining with {status}"));
    }
}

#[test]
fn given_an_edge_that_reaches_only_a_machine_partitioned_then_draining_is_not_acknowledged() {
    run_checked(|| draining_toward_a_partitioned_machine(828));
    run_checked(|| draining_toward_a_partitioned_half(828));
    // One machine without contact is not enough for an acknowledgement, with the defect or without; two are.
    assert!(is_detected(Defect::NotifyWithoutContact, || {
        draining_toward_a_partitioned_half(828)
    }));
}

/// A change is relayed to a machine that is frozen; it resumes long after its sender timed out.
async fn relay_to_a_frozen_machine(seed: u64) -> Rc<SimulatedCluster> {
    let cluster = SimulatedCluster::serving(small(seed)).await;
    let (caller, to) = (
        PeerClient::new(cluster.outside_network()),
        internal_address_of(&cluster, VICTIM),
    );
    assert!(caller.poll(to).await.is_some(), "the connection is up");
    cluster.freeze(VICTIM, true);
    let late = initial_configuration().with_public_route(2, "late");
    let change = Change::Put {
        if_match: Some(1),
        body: Blob(late.json().into_bytes()),
    };
    let call = Call::Change {
        shard: CONFIG,
        change: Blob(encode(&change)),
        timeout_ms: 3_000,
    };
    let reply = caller.call(to, &call, Duration::from_millis(500)).await;
    assert!(reply.is_none(), "{reply:?}");
    sleep(PARTITION_TIME).await;
    cluster.freeze(VICTIM, false);
    sleep(Duration::from_secs(4)).await;
    let text = get(&cluster, "core-1", "/api/config")
        .await
        .unwrap_or_default();
    if !text.contains("\"version\":1,") {
        cluster
            .monitor
            .report_violation("ACKS", "a change was made 20 s after its sender gave it up");
    }
    cluster
}

#[test]
fn given_a_change_relayed_to_a_frozen_machine_when_it_wakes_then_it_is_not_made() {
    run_checked(|| relay_to_a_frozen_machine(830));
    assert!(is_detected(Defect::RelayWithoutContact, || {
        relay_to_a_frozen_machine(830)
    }));
}

// What a confirmation costs.

/// Frames, their bytes and stores of one confirmed read in a calm group whose members hold a value of this size.
fn cost_of_a_read(members: usize, value_bytes: usize) -> (usize, usize, usize) {
    let group: Vec<Member> = (0..members as u64)
        .map(|n| Member {
            disk_id: n + 1,
            name: format!("frontend-lalitpur-hall-{n}"),
            address: format!("10.128.0.{n}:7360"),
        })
        .collect();
    let record = Record::bootstrap(group.clone(), vec![b'x'; value_bytes]).encode();
    let mut registers: Vec<Register<Leases>> = (group.iter().zip(0..))
        .map(|(member, seed)| {
            let rng = fastrand::Rng::with_seed(seed);
            let settings = Settings::default();
            Register::new(
                CONFIG,
                member.clone(),
                Some(&record),
                Leases,
                rng,
                settings,
                0,
            )
            .expect("a record of this release")
        })
        .collect();
    // The first read after a start also learns what is chosen; the second is one like all that follow.
    carry_out_read(&mut registers, &group, 1);
    carry_out_read(&mut registers, &group, 2)
}

/// Delivers all messages at once until the read of the first member is answered.
fn carry_out_read(
    registers: &mut [Register<Leases>],
    group: &[Member],
    read: u64,
) -> (usize, usize, usize) {
    let (mut frames, mut bytes, mut stores, mut answered) = (0, 0, 0, false);
    registers[0].read(read, 1_000_000_000, 0);
    loop {
        let actions: Vec<(usize, Action)> = registers
            .iter_mut()
            .enumerate()
            .flat_map(|(from, r)| r.take_actions().into_iter().map(move |a| (from, a)))
            .collect();
        if actions.is_empty() {
            assert!(answered, "a calm group answers");
            return (frames, bytes, stores);
        }
        for (from, action) in actions {
            match action {
                Action::Send { to, message } => {
                    frames += 1;
                    bytes += message.encode().len();
                    let index = group
                        .iter()
                        .position(|m| m.disk_id == to.disk_id)
                        .expect("a member");
                    registers[index].handle(group[from].clone(), message, 0);
                }
                Action::Store { token, .. } => {
                    stores += 1;
                    registers[from].stored(token, true, 0);
                }
                Action::Completed { outcome, .. } => {
                    answered = matches!(outcome, Outcome::Answered(_));
                }
                Action::Chosen(_) => {}
            }
        }
    }
}

#[test]
fn given_a_healthy_group_when_a_member_confirms_then_it_costs_a_small_frame_each_way_and_no_write()
{
    for members in [1, 3, 5, 9] {
        let (frames, bytes, stores) = cost_of_a_read(members, 500_000);
        println!("{members} members: {frames} frames, {bytes} bytes, {stores} stores");
        assert_eq!(frames, 2 * (members - 1));
        assert!(bytes <= 64 * frames, "{bytes} bytes in {frames} frames");
        assert_eq!(stores, 0);
    }
}
