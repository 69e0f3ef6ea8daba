//! Quorum contact: what a core machine that is cut off, frozen or only just back claims, hands out and answers.
use sparrouter_codec::Blob;
use sparrouter_consensus::{Action, Leases, Member, Outcome, Record, Register, Settings};
use sparrouter_fleet::control::configuration_state::Change;
use sparrouter_fleet::control::quorum_contact::QuorumContact;
use sparrouter_fleet::control::{CONFIG, encode};
use sparrouter_fleet::membership::polls::is_timely;
use sparrouter_fleet::peer::messages::{self, Call};
use sparrouter_fleet::platform::defects::{Defect, inject};
use sparrouter_membership::MembershipDelta;
use sparrouter_simulation::contact_watch::{
    CLOSELY, CONTACT_WINDOW, Caller, ContactWatch, internal_of,
};
use sparrouter_simulation::fabric::Cut;
use sparrouter_simulation::http_messages::{self, Reply};
use sparrouter_simulation::plan::{Kind, Plan, Route};
use sparrouter_simulation::scenario::{play, run_judged};
use sparrouter_simulation::world::cuts::CutWay;
use sparrouter_simulation::world::{Terms, World, first_plan};
use std::future::Future;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

const CUT: Duration = Duration::from_secs(20);
/// From a cut on a machine may claim contact this long: the window, and the time of an answer.
const CLAIMS_END: Duration = CONTACT_WINDOW.saturating_add(Duration::from_millis(50));
const VICTIM: &str = "core-0";

fn with_route(plan: &Plan, name: &str) -> Plan {
    plan.next(2, |p| {
        p.routes.push(Route {
            public: true,
            ..Route::new(name, Kind::Idempotent, "models")
        })
    })
}

fn small(seed: u64) -> Terms {
    Terms {
        others: 1,
        servers: 1,
        ..Terms::seeded(seed)
    }
}

/// Whether a scenario shows the planted mistake, by a breach or by an assertion.
fn is_found<F: Future<Output = Rc<World>>>(defect: Defect, scenario: impl FnOnce() -> F) -> bool {
    inject(Some(defect));
    let played = catch_unwind(AssertUnwindSafe(|| {
        play(async move { scenario().await.judge.breaches() })
    }));
    inject(None);
    played.map_or(true, |breaches| !breaches.is_empty())
}

// The decision by itself, against a model that keeps all that ever happened.

const WINDOW: u64 = 10;

/// Contact by the words of the invariant: recomputed at every tick of the clock from all reads so far.
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

    fn answered(&mut self, began: u64, now: u64) {
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
    let mut under_way: Vec<(u64, u64)> = Vec::new();
    for now in 0..200 {
        model.tick(now);
        if rng.u8(..4) == 0 {
            under_way.push((now, now + rng.u64(..2 * WINDOW)));
        }
        let arrived: Vec<u64> = under_way
            .extract_if(.., |read| read.1 == now)
            .map(|read| read.0)
            .collect();
        for began in arrived {
            model.answered(began, now);
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
        let found = (0..5_000).any(|seed| !agrees_with_model(seed));
        inject(None);
        assert!(found, "{defect:?}");
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

/// The victim is cut off while a change is made, and joined again after 20 s. No machine claims contact without what
/// was acknowledged, and the victim does not claim any while it is cut off.
async fn cut_and_heal(seed: u64, way: CutWay) -> Rc<World> {
    let world = World::serving(small(seed)).await;
    let watch = ContactWatch::begin(&world, &world.core(), CLOSELY);
    sleep(Duration::from_millis(300)).await;
    let cut_at = Instant::now();
    world.cut_core(VICTIM, way, Some(Cut::Silent));
    sleep(Duration::from_millis(100 * (seed % 20))).await;
    let first = with_route(&first_plan(), "first");
    assert_eq!(world.operator.put(&first, 1).await, 200);
    watch.acknowledged(first.version);
    sleep(CUT - cut_at.elapsed()).await;
    let heal_at = Instant::now();
    let (sending, next) = (world.clone(), with_route(&first, "second"));
    let put = next.clone();
    let put = spawn_local(async move { sending.operator.put(&put, first.version).await });
    sleep(Duration::from_millis(seed % 8)).await;
    world.cut_core(VICTIM, way, None);
    assert_eq!(put.await.ok(), Some(200));
    watch.acknowledged(next.version);
    sleep(Duration::from_secs(4)).await;
    watch.stop();
    let claims = |from, until| watch.claims(world.ip(VICTIM), from, until);
    if claims(cut_at + CLAIMS_END, heal_at) > 0 {
        world.judge.breach(
            "CONTACT",
            format!("{VICTIM} claims contact while cut off {way:?}"),
        );
    }
    assert!(
        claims(heal_at + Duration::from_secs(3), Instant::now()) > 100,
        "{VICTIM} is back in contact"
    );
    let healthy = watch.claims(world.ip("core-1"), cut_at, heal_at);
    assert!(healthy > 1_000, "core-1 stays in contact: {healthy}");
    world.operator.read_back().await;
    world
}

#[test]
fn given_a_machine_cut_off_for_20_s_in_any_way_then_it_claims_no_contact_without_what_is_in_force()
{
    for (n, way) in CutWay::ALL.into_iter().enumerate() {
        for seed in 0..4 {
            run_judged(|| cut_and_heal(700 + 10 * n as u64 + seed, way));
        }
    }
}

#[test]
fn given_contact_that_is_never_lost_then_a_cut_shows_it() {
    assert!(is_found(Defect::ContactNeverLost, || cut_and_heal(
        700,
        CutWay::All
    )));
}

#[test]
fn given_contact_by_frames_that_arrive_then_a_cut_of_one_direction_shows_it() {
    assert!(is_found(Defect::ContactFromAnyFrame, || cut_and_heal(
        741,
        CutWay::Outward
    )));
}

/// The victim is frozen for 20 s, during which a change is made.
async fn freeze_and_thaw(seed: u64) -> Rc<World> {
    let world = World::serving(small(seed)).await;
    let watch = ContactWatch::begin(&world, &world.core(), CLOSELY);
    sleep(Duration::from_millis(300 + 37 * (seed % 10))).await;
    world.freeze(VICTIM, true);
    let next = with_route(&first_plan(), "new");
    assert_eq!(world.operator.put(&next, 1).await, 200);
    watch.acknowledged(next.version);
    sleep(CUT).await;
    world.freeze(VICTIM, false);
    let thawed = Instant::now();
    while thawed.elapsed() < Duration::from_secs(1) {
        if let Some(silent) = called_silent(&world, "core-1").await {
            world
                .judge
                .breach("CONTACT", format!("{silent} is called silent after a thaw"));
            break;
        }
        sleep(Duration::from_millis(10)).await;
    }
    sleep(Duration::from_secs(3)).await;
    watch.stop();
    let back = watch.claims(
        world.ip(VICTIM),
        thawed + Duration::from_secs(3),
        Instant::now(),
    );
    assert!(back > 100, "{VICTIM} is back in contact");
    world
}

/// A node other than the victim that this machine has listed as silent.
async fn called_silent(world: &Rc<World>, name: &str) -> Option<String> {
    let status = get(world, name, "/api/status").await?;
    let listed = status.split("{\"name\":\"").skip(1);
    let silent = listed.filter(|node| {
        let node = node.split('}').next().unwrap_or_default();
        node.contains("\"internal\":") && node.contains("\"silent\":true")
    });
    silent
        .filter_map(|node| node.split('"').next().map(str::to_owned))
        .find(|node| node != VICTIM)
}

/// One call to a machine's control endpoint.
async fn call_control(
    world: &World,
    name: &str,
    request: (&str, &str),
    fields: &[(&str, &str)],
    body: &str,
) -> Option<Reply> {
    let (method, path) = request;
    let (net, at) = (world.outside_net(), world.control_of(name));
    let patience = Duration::from_secs(1);
    let call = http_messages::call(&net, at, method, path, fields, body, patience);
    call.await.ok()
}

async fn get(world: &World, name: &str, path: &str) -> Option<String> {
    let reply = call_control(world, name, ("GET", path), &[], "").await?;
    Some(reply.text().to_owned())
}

#[test]
fn given_a_machine_frozen_for_20_s_when_it_wakes_then_it_claims_nothing_before_a_quorum_answered() {
    for seed in 0..8 {
        run_judged(|| freeze_and_thaw(760 + seed));
    }
}

#[test]
fn given_silence_called_without_contact_then_a_thaw_shows_it() {
    let found = (0..8).any(|seed| {
        is_found(Defect::MarksUnresponsiveWithoutContact, || {
            freeze_and_thaw(760 + seed)
        })
    });
    assert!(found);
}

#[test]
fn given_contact_that_is_never_lost_then_a_thaw_shows_it() {
    let found =
        (0..8).any(|seed| is_found(Defect::ContactNeverLost, || freeze_and_thaw(760 + seed)));
    assert!(found);
}

#[test]
fn given_two_of_five_cut_off_together_then_neither_counts_as_in_contact_through_the_other() {
    for seed in 0..3 {
        run_judged(|| async {
            let terms = Terms {
                core: 5,
                ..small(780 + seed)
            };
            let world = World::serving(terms).await;
            let watch = ContactWatch::begin(&world, &world.core(), CLOSELY);
            sleep(Duration::from_millis(200)).await;
            let cut_at = Instant::now();
            world.cut_off(&["core-0", "core-1"], Some(Cut::Silent));
            let next = with_route(&first_plan(), "new");
            assert_eq!(world.operator.put(&next, 1).await, 200);
            watch.acknowledged(next.version);
            sleep(CUT).await;
            let heal_at = Instant::now();
            for name in ["core-0", "core-1"] {
                let claims = watch.claims(world.ip(name), cut_at + CLAIMS_END, heal_at);
                assert_eq!(claims, 0, "{name}");
            }
            world.cut_off(&["core-0", "core-1"], None);
            sleep(Duration::from_secs(4)).await;
            watch.stop();
            world.operator.read_back().await;
            world
        });
    }
}

#[test]
fn given_answers_that_were_long_under_way_then_they_give_no_contact() {
    for seed in 0..6 {
        run_judged(|| async {
            let world = World::serving(small(790 + seed)).await;
            let watch = ContactWatch::begin(&world, &world.core(), CLOSELY);
            sleep(Duration::from_millis(200 + 90 * seed)).await;
            // Questions still leave; their answers wait on the way, just not so long that the connections break.
            for _ in 0..6 {
                world.cut_core(VICTIM, CutWay::Inward, Some(Cut::Silent));
                sleep(Duration::from_millis(1_400)).await;
                world.cut_core(VICTIM, CutWay::Inward, None);
                sleep(Duration::from_millis(30)).await;
            }
            let next = with_route(&first_plan(), "new");
            world.cut_core(VICTIM, CutWay::Inward, Some(Cut::Silent));
            assert_eq!(world.operator.put(&next, 1).await, 200);
            watch.acknowledged(next.version);
            sleep(Duration::from_millis(1_400)).await;
            world.cut_core(VICTIM, CutWay::Inward, None);
            sleep(Duration::from_secs(4)).await;
            watch.stop();
            world
        });
    }
}

#[test]
fn given_a_disk_that_stalls_then_its_machine_stays_in_contact_by_the_others() {
    run_judged(|| async {
        let world = World::serving(small(796)).await;
        let watch = ContactWatch::begin(&world, &world.core(), CLOSELY);
        world.judge.trouble(Some(world.ip(VICTIM)));
        world.judge.trouble(None);
        let stalled = world.disk(VICTIM).stalled;
        stalled.set(Instant::now() + CUT);
        let began = Instant::now();
        let next = with_route(&first_plan(), "new");
        assert_eq!(world.operator.put(&next, 1).await, 200);
        watch.acknowledged(next.version);
        sleep(CUT).await;
        let claims = watch.claims(world.ip(VICTIM), began, Instant::now());
        assert!(claims > 1_000, "{claims}");
        world.judge.calm(Some(world.ip(VICTIM)));
        world.judge.calm(None);
        sleep(Duration::from_secs(2)).await;
        watch.stop();
        world
    });
}

#[test]
fn given_a_machine_that_hardly_runs_then_it_claims_no_contact_without_what_is_in_force() {
    for pace in [40, 700, 3_000] {
        run_judged(|| async {
            let world = World::serving(small(797)).await;
            let watch = ContactWatch::begin(&world, &world.core(), CLOSELY);
            world.slow(VICTIM, Duration::from_millis(pace));
            let mut plan = first_plan();
            for round in 0..6 {
                let next = with_route(&plan, &format!("new{round}"));
                assert_eq!(world.operator.put(&next, plan.version).await, 200);
                watch.acknowledged(next.version);
                plan = next;
                sleep(Duration::from_millis(2_300)).await;
            }
            world.slow(VICTIM, Duration::ZERO);
            sleep(Duration::from_secs(3)).await;
            watch.stop();
            world
        });
    }
}

// A process that starts.

/// An edge node starts while it reaches only a core machine that is cut off from the others.
async fn start_beside_a_cut_off_machine(seed: u64) -> Rc<World> {
    let world = World::serving(small(seed)).await;
    world.kill("edge-0");
    world.cut_core(VICTIM, CutWay::Core, Some(Cut::Silent));
    for name in ["core-1", "core-2"] {
        world
            .fabric
            .cut_both(world.ip("edge-0"), world.ip(name), Some(Cut::Silent));
    }
    let next = with_route(&first_plan(), "new");
    assert_eq!(world.operator.put(&next, 1).await, 200);
    sleep(Duration::from_secs(4)).await;
    world.start("edge-0", false);
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(12) {
        let status = get(&world, "edge-0", "/api/status")
            .await
            .unwrap_or_default();
        if status.contains("\"ready\":true") {
            world
                .judge
                .breach("CONTACT", "edge-0 is ready with an old configuration");
            return world;
        }
        sleep(Duration::from_millis(50)).await;
    }
    world.cut_core(VICTIM, CutWay::Core, None);
    for name in ["core-1", "core-2"] {
        world
            .fabric
            .cut_both(world.ip("edge-0"), world.ip(name), None);
    }
    sleep(Duration::from_secs(4)).await;
    let status = get(&world, "edge-0", "/api/status")
        .await
        .unwrap_or_default();
    let current = format!("\"config_version\":{},", next.version);
    assert!(
        status.contains("\"ready\":true") && status.contains(&current),
        "{status}"
    );
    world
}

#[test]
fn given_a_node_that_starts_beside_a_machine_cut_off_then_it_is_not_ready_before_a_quorum_confirms()
{
    for seed in 0..3 {
        run_judged(|| start_beside_a_cut_off_machine(800 + seed));
    }
}

#[test]
fn given_readiness_without_confirmation_then_a_start_beside_a_cut_off_machine_shows_it() {
    assert!(is_found(Defect::UnconfirmedReady, || {
        start_beside_a_cut_off_machine(800)
    }));
}

/// An edge node freezes just after it has started, with polls under way, and wakes 20 s and a change later.
async fn start_and_freeze(seed: u64, after_ms: u64) -> Rc<World> {
    let world = World::serving(small(seed)).await;
    world.kill("edge-0");
    sleep(Duration::from_millis(500)).await;
    world.start("edge-0", false);
    sleep(Duration::from_millis(after_ms)).await;
    let before = get(&world, "edge-0", "/api/status")
        .await
        .unwrap_or_default();
    world.freeze("edge-0", true);
    let next = with_route(&first_plan(), "new");
    assert_eq!(world.operator.put(&next, 1).await, 200);
    sleep(CUT).await;
    let ready_before = before.contains("\"ready\":true");
    world.freeze("edge-0", false);
    let woke = Instant::now();
    while !ready_before && woke.elapsed() < Duration::from_millis(500) {
        let status = get(&world, "edge-0", "/api/status")
            .await
            .unwrap_or_default();
        if status.contains("\"ready\":true") && status.contains("\"config_version\":1,") {
            world
                .judge
                .breach("CONTACT", "edge-0 is ready by an answer that waited for it");
            return world;
        }
    }
    sleep(Duration::from_secs(4)).await;
    let status = get(&world, "edge-0", "/api/status")
        .await
        .unwrap_or_default();
    assert!(status.contains("\"ready\":true"), "{status}");
    world
}

#[test]
fn given_a_node_frozen_while_it_starts_then_answers_that_waited_do_not_make_it_ready() {
    for after_ms in 0..14 {
        run_judged(|| start_and_freeze(810, after_ms));
    }
}

#[test]
fn given_an_answer_older_than_its_caller_would_wait_then_it_counts_for_nothing() {
    let patience = Duration::from_millis(1_700);
    let found = || {
        let after = |ms: u64| is_timely(5_000_000_000, 5_000_000_000 + ms * 1_000_000, patience);
        !after(0) || !after(1_700) || after(1_701) || after(20_000)
    };
    assert!(!found());
    inject(Some(Defect::StaleAnswerInforms));
    let planted = found();
    inject(None);
    assert!(planted);
}

/// An edge node that has the newest configuration is left with a machine that is cut off and has an older one.
async fn left_with_an_older_machine(seed: u64) -> Rc<World> {
    let world = World::serving(small(seed)).await;
    world.cut_core(VICTIM, CutWay::Core, Some(Cut::Silent));
    sleep(CLAIMS_END).await;
    let next = with_route(&first_plan(), "new");
    assert_eq!(world.operator.put(&next, 1).await, 200);
    sleep(Duration::from_secs(2)).await;
    for name in ["core-1", "core-2"] {
        let (edge, core) = (world.ip("edge-0"), world.ip(name));
        world.fabric.cut_both(edge, core, Some(Cut::Silent));
    }
    let current = format!("\"config_version\":{},", next.version);
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(8) {
        let status = get(&world, "edge-0", "/api/status")
            .await
            .unwrap_or_default();
        if !status.contains(&current) {
            world
                .judge
                .breach("CONFIG", "edge-0 took an older configuration");
            return world;
        }
        sleep(Duration::from_millis(50)).await;
    }
    world
}

#[test]
fn given_a_node_left_with_an_older_machine_then_it_keeps_its_configuration() {
    for seed in 0..3 {
        run_judged(|| left_with_an_older_machine(840 + seed));
    }
}

#[test]
fn given_older_configurations_taken_then_a_node_left_with_an_older_machine_shows_it() {
    assert!(is_found(Defect::OlderConfigurationApplied, || {
        left_with_an_older_machine(840)
    }));
}

// What is answered without contact: a row of the table in docs/design/control-state/quorum-contact.md each.

/// A world whose victim has been without contact for 3 s.
async fn without_contact(seed: u64, way: CutWay) -> Rc<World> {
    let world = World::serving(small(seed)).await;
    world.cut_core(VICTIM, way, Some(Cut::Silent));
    sleep(Duration::from_secs(3)).await;
    world
}

/// Calls the victim's control endpoint; 0 where it does not answer.
async fn ask(world: &World, method: &str, path: &str, fields: &[(&str, &str)], body: &str) -> u16 {
    let reply = call_control(world, VICTIM, (method, path), fields, body).await;
    reply.map_or(0, |reply| reply.status)
}

/// Neither a confirmation nor a refusal: 503 (nothing was proposed), 504 (nobody knows) or no answer in time.
fn says_nothing(status: u16) -> bool {
    matches!(status, 0 | 503 | 504)
}

/// A row of the table in all ways of being cut off.
fn in_every_way(seed: u64, row: impl AsyncFn(&Rc<World>)) {
    for way in CutWay::ALL {
        run_judged(|| async {
            let world = without_contact(seed, way).await;
            row(&world).await;
            world.cut_core(VICTIM, way, None);
            sleep(Duration::from_secs(4)).await;
            world
        });
    }
}

#[test]
fn given_no_contact_when_a_configuration_is_put_then_it_is_neither_taken_nor_refused() {
    in_every_way(820, async |world| {
        let next = with_route(&first_plan(), "new");
        world.judge.config_sent(&next, 1, true);
        for base in ["1", "7"] {
            let status = ask(
                world,
                "PUT",
                "/api/config",
                &[("If-Match", base)],
                &next.json(),
            )
            .await;
            assert!(says_nothing(status), "on {base}: {status}");
        }
        let broken = next
            .json()
            .replace("\"service\":\"models\"", "\"service\":\"none\"");
        let status = ask(world, "PUT", "/api/config", &[("If-Match", "1")], &broken).await;
        assert!(says_nothing(status), "invalid: {status}");
    });
}

#[test]
fn given_no_contact_when_a_configuration_is_patched_then_it_is_neither_taken_nor_refused() {
    in_every_way(821, async |world| {
        let next = with_route(&first_plan(), "new");
        world.judge.config_sent(&next, 1, true);
        let body = next.patch_json(&first_plan());
        for base in ["1", "7"] {
            let status = ask(world, "PATCH", "/api/config", &[("If-Match", base)], &body).await;
            assert!(says_nothing(status), "on {base}: {status}");
        }
    });
}

#[test]
fn given_no_contact_when_the_configuration_is_read_then_none_is_handed_out() {
    in_every_way(822, async |world| {
        let status = ask(world, "GET", "/api/config", &[], "").await;
        assert!(says_nothing(status), "{status}");
    });
}

#[test]
fn given_no_contact_when_weights_are_named_then_it_is_neither_taken_nor_refused() {
    in_every_way(823, async |world| {
        let body = "{\"model\":\"other\",\"version\":3}";
        let status = ask(world, "POST", "/api/version-put", &[], body).await;
        assert!(says_nothing(status), "{status}");
    });
}

fn heartbeat(state: &str, sequence: u64) -> String {
    format!(
        "{{\"service\":\"models\",\"address\":\"10.9.9.9:8080\",\"zone\":\"lalitpur\",\"slot_count\":4,\
         \"state\":\"{state}\",\"models\":[],\"call_sequence\":{sequence}}}"
    )
}

async fn heartbeats_without_contact(world: &Rc<World>) {
    for (sequence, state) in (1..).zip(["ready", "ready", "draining", "draining"]) {
        let body = heartbeat(state, sequence);
        let status = ask(world, "PUT", "/api/instances/i-new", &[], &body).await;
        assert!(says_nothing(status), "{state} number {sequence}: {status}");
    }
    let status = ask(world, "DELETE", "/api/instances/i-new", &[], "").await;
    assert!(says_nothing(status), "DELETE: {status}");
    let status = ask(world, "DELETE", "/api/instances/i-unknown", &[], "").await;
    assert!(says_nothing(status), "DELETE of an unknown one: {status}");
}

#[test]
fn given_no_contact_when_a_server_reports_drains_or_leaves_then_it_is_sent_to_another_node() {
    in_every_way(824, heartbeats_without_contact);
}

#[test]
fn given_contact_when_a_server_reports_drains_or_leaves_then_it_is_acknowledged() {
    run_judged(|| async {
        let world = World::serving(small(825)).await;
        for (sequence, state) in (1..).zip(["ready", "draining", "draining"]) {
            let body = heartbeat(state, sequence);
            let status = ask(&world, "PUT", "/api/instances/i-new", &[], &body).await;
            assert_eq!(status, 200, "{state} number {sequence}");
        }
        let status = ask(&world, "DELETE", "/api/instances/i-new", &[], "").await;
        assert_eq!(status, 200);
        world
    });
}

async fn calls_of_nodes_without_contact(world: &Rc<World>) {
    let (caller, to) = (Caller::new(world.outside_net()), internal_of(world, VICTIM));
    let update = caller.poll(to).await.expect("an answer");
    assert!(!update.has_quorum_contact(), "poll");
    let patience = Duration::from_secs(1);
    let notify = Call::Notify(MembershipDelta::default());
    let reply = caller.call(to, &notify, patience).await;
    assert!(
        matches!(reply, Some(messages::Reply::Rejected(_))),
        "notify: {reply:?}"
    );
    let change = Call::Change {
        shard: CONFIG,
        change: Blob(encode(&Change::Get)),
        timeout_ms: 500,
    };
    let reply = caller.call(to, &change, patience).await;
    assert!(
        matches!(reply, Some(messages::Reply::NotApplied(_))),
        "change: {reply:?}"
    );
}

#[test]
fn given_no_contact_when_another_node_polls_notifies_or_relays_then_it_is_told_so() {
    in_every_way(826, calls_of_nodes_without_contact);
}

#[test]
fn given_heartbeats_or_rows_taken_without_contact_then_the_rows_of_the_table_show_it() {
    let heartbeats = || async {
        let world = without_contact(827, CutWay::Core).await;
        heartbeats_without_contact(&world).await;
        world
    };
    assert!(is_found(Defect::HeartbeatWithoutContact, heartbeats));
    assert!(is_found(Defect::DrainRepeatAcked, heartbeats));
    let nodes = || async {
        let world = without_contact(827, CutWay::Core).await;
        calls_of_nodes_without_contact(&world).await;
        world
    };
    assert!(is_found(Defect::NotifyWithoutContact, nodes));
}

/// A server's draining at an edge node that reaches no core machine but one that is cut off.
async fn draining_towards_a_cut_off_machine(seed: u64) -> Rc<World> {
    let world = World::serving(small(seed)).await;
    world.cut_core(VICTIM, CutWay::Core, Some(Cut::Silent));
    for name in ["core-1", "core-2"] {
        world
            .fabric
            .cut_both(world.ip("edge-0"), world.ip(name), Some(Cut::Silent));
    }
    sleep(CLAIMS_END).await;
    let body = heartbeat("draining", 1);
    let request = ("PUT", "/api/instances/i-new");
    let reply = call_control(&world, "edge-0", request, &[], &body).await;
    let status = reply.map_or(0, |reply| reply.status);
    if !says_nothing(status) {
        world
            .judge
            .breach("DRAIN", format!("edge-0 answers draining with {status}"));
    }
    world
}

#[test]
fn given_an_edge_that_reaches_only_a_machine_cut_off_then_draining_is_not_acknowledged() {
    run_judged(|| draining_towards_a_cut_off_machine(828));
    assert!(is_found(Defect::NotifyWithoutContact, || {
        draining_towards_a_cut_off_machine(828)
    }));
}

/// A change is relayed to a machine that is frozen; it wakes long after its sender has given up.
async fn relay_to_a_frozen_machine(seed: u64) -> Rc<World> {
    let world = World::serving(small(seed)).await;
    let (caller, to) = (
        Caller::new(world.outside_net()),
        internal_of(&world, VICTIM),
    );
    assert!(caller.poll(to).await.is_some(), "the connection is up");
    world.freeze(VICTIM, true);
    let late = with_route(&first_plan(), "late");
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
    sleep(CUT).await;
    world.freeze(VICTIM, false);
    sleep(Duration::from_secs(4)).await;
    let text = get(&world, "core-1", "/api/config")
        .await
        .unwrap_or_default();
    if !text.contains("\"version\":1,") {
        world
            .judge
            .breach("ACKS", "a change was made 20 s after its sender gave it up");
    }
    world
}

#[test]
fn given_a_change_relayed_to_a_frozen_machine_when_it_wakes_then_it_is_not_made() {
    run_judged(|| relay_to_a_frozen_machine(830));
    assert!(is_found(Defect::RelayWithoutContact, || {
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
fn given_a_calm_group_when_a_member_confirms_then_it_costs_a_small_frame_each_way_and_no_write() {
    for members in [1, 3, 5, 9] {
        let (frames, bytes, stores) = cost_of_a_read(members, 500_000);
        println!("{members} members: {frames} frames, {bytes} bytes, {stores} stores");
        assert_eq!(frames, 2 * (members - 1));
        assert!(bytes <= 64 * frames, "{bytes} bytes in {frames} frames");
        assert_eq!(stores, 0);
    }
}
