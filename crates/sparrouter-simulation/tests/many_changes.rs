//! Five hundred changes in a day, while machines of the core are restarted, wiped, frozen, their disks filled: each
//! ends with the newest state on disk soon after, none answers with an older one, and bytes stay within bounds.
use fastrand::Rng;
use sparrouter_consensus::{Record, Settings};
use sparrouter_fleet::control::configuration_state::ConfigurationState;
use sparrouter_fleet::platform::defects::{Defect, inject};
use sparrouter_simulation::fabric::Cut;
use sparrouter_simulation::http_messages;
use sparrouter_simulation::plan::{Kind, Plan, Route, Tenant};
use sparrouter_simulation::scenario::play;
use sparrouter_simulation::world::{Terms, World, first_plan};
use sparrouter_storage::{Opened, Store};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

const CHANGES: u64 = 500;
/// A trouble lasts so many changes; then come as many without.
const SPELL: u64 = 10;
/// Keys of a tenant and their length, so that the configuration is larger than what goes with a message.
const KEYS: usize = 80;
const KEY_LENGTH: usize = 250;
/// From the end of a trouble until the machine has all that was acknowledged, as `bounds.contact_ms` promises.
const CATCH_UP: Duration = Duration::from_secs(3);

#[derive(Clone, Copy, Debug)]
enum Trouble {
    Restart,
    Wipe,
    Freeze,
    Cut,
    PowerLoss,
    FullDisk,
    StalledDisk,
}

const TROUBLES: [Trouble; 7] = [
    Trouble::Restart,
    Trouble::Wipe,
    Trouble::Freeze,
    Trouble::Cut,
    Trouble::PowerLoss,
    Trouble::FullDisk,
    Trouble::StalledDisk,
];

impl Trouble {
    fn begin(self, world: &World, name: &str) {
        match self {
            Trouble::Restart => world.kill(name),
            Trouble::Wipe => {
                world.kill(name);
                world.wipe(name);
            }
            Trouble::Freeze => world.freeze(name, true),
            Trouble::Cut => world.cut_off(&[name], Some(Cut::Silent)),
            Trouble::PowerLoss => world.power_off(name),
            Trouble::FullDisk => world.disk(name).files.set_capacity(Some(0)),
            Trouble::StalledDisk => {
                let far = Instant::now() + Duration::from_secs(3_600);
                world.disk(name).stalled.set(far);
            }
        }
    }

    /// Whether a process starts anew, which asks a quorum what is in force.
    fn starts_anew(self) -> bool {
        matches!(self, Trouble::Restart | Trouble::Wipe | Trouble::PowerLoss)
    }

    fn end(self, world: &World, name: &str) {
        match self {
            Trouble::Restart | Trouble::Wipe => world.start(name, false),
            Trouble::Freeze => world.freeze(name, false),
            Trouble::Cut => world.cut_off(&[name], None),
            Trouble::PowerLoss => world.power_on(name),
            Trouble::FullDisk => world.disk(name).files.set_capacity(None),
            Trouble::StalledDisk => world.disk(name).stalled.set(Instant::now()),
        }
    }
}

fn large_plan() -> Plan {
    first_plan().next(1, |plan| {
        let key = |i: usize| format!("{i:0>KEY_LENGTH$}");
        plan.tenants.push(Tenant {
            name: "filler".to_owned(),
            keys: (0..KEYS).map(key).collect(),
            isolated: false,
        });
    })
}

/// Number of the configuration that a machine has on its disk; 0 where there is none.
fn version_on_disk(world: &World, name: &str) -> u64 {
    let opened = Store::open(world.disk(name).files.clone());
    let Ok((_, Opened::Existing(records))) = opened else {
        return 0;
    };
    let record = records.get("part-0");
    let record =
        record.and_then(|r| Record::decode(r, Settings::default().max_message_bytes()).ok());
    let vote = record.and_then(|r| r.accepted);
    let state = vote.and_then(|v| ConfigurationState::read(&v.state.body).ok());
    state.map_or(0, |s| s.version)
}

/// Waits until a machine has a version on disk; how long that took.
async fn until_on_disk(world: &World, name: &str, version: u64) -> Option<Duration> {
    let began = Instant::now();
    while began.elapsed() < CATCH_UP {
        if version_on_disk(world, name) >= version {
            return Some(began.elapsed());
        }
        sleep(Duration::from_millis(50)).await;
    }
    None
}

/// Asks a machine, which has just started, what is in force until it answers; its answer must not be older than what
/// was acknowledged before the question.
async fn answers_with_nothing_older(world: &World, name: &str, acknowledged: u64) {
    for _ in 0..20 {
        let reply = http_messages::call(
            &world.outside_net(),
            world.control_of(name),
            "GET",
            "/api/config",
            &[],
            "",
            Duration::from_millis(500),
        )
        .await;
        if let Ok(reply) = reply
            && reply.status == 200
        {
            let text = reply.text().to_owned();
            let version = text.split("\"version\":").nth(1);
            let version = version.and_then(|v| v.split([',', '}']).next()?.trim().parse().ok());
            assert!(
                version >= Some(acknowledged),
                "{name} answers {version:?} after {acknowledged} was acknowledged"
            );
            return;
        }
        sleep(Duration::from_millis(100)).await;
    }
    panic!("{name} does not answer what is in force");
}

/// What the core's machines wrote to each other.
fn written_in_core(world: &World) -> u64 {
    let core = world.core();
    let pairs = core.iter().flat_map(|a| core.iter().map(move |b| (a, b)));
    pairs
        .map(|(a, b)| world.fabric.written(world.ip(a), world.ip(b)))
        .sum()
}

async fn day_of_many_changes(seed: u64, changes: u64) -> Rc<World> {
    let world = World::serving(Terms {
        others: 1,
        servers: 1,
        ..Terms::seeded(seed)
    })
    .await;
    let mut rng = Rng::with_seed(seed);
    let mut troubles = TROUBLES.to_vec();
    let mut plan = large_plan();
    assert_eq!(world.operator.put(&plan, 1).await, 200);
    let size = plan.json().len() as u64;
    let inline = Settings::default().max_inline_body_bytes;
    assert!(size > inline as u64, "it is fetched in pieces");
    let before = written_in_core(&world);
    let began = Instant::now();
    let mut under_way: Option<(Trouble, String)> = None;
    for change in 0..changes {
        if change % (2 * SPELL) == SPELL {
            if troubles.is_empty() {
                troubles = TROUBLES.to_vec();
            }
            let trouble = troubles.swap_remove(rng.usize(..troubles.len()));
            let core = world.core();
            let name = core[rng.usize(..core.len())].clone();
            trouble.begin(&world, &name);
            under_way = Some((trouble, name));
        }
        let next = plan.next(1, |p| {
            p.routes.retain(|r| !r.name.starts_with("new"));
            let name = format!("new{change}");
            p.routes.push(Route::new(&name, Kind::Idempotent, "models"));
        });
        assert_eq!(
            world.operator.patch(&next, &plan).await,
            200,
            "change {change}"
        );
        plan = next;
        if change % (2 * SPELL) == 2 * SPELL - 1
            && let Some((trouble, name)) = under_way.take()
        {
            trouble.end(&world, &name);
            // A question to any machine tells those that are behind: where nobody asks anew, nobody does before it has
            // caught up by itself.
            if trouble.starts_anew() {
                answers_with_nothing_older(&world, &name, plan.version).await;
            }
            let took = until_on_disk(&world, &name, plan.version).await;
            assert!(
                took.is_some(),
                "seed {seed}: {name} has {} of {} on disk, {CATCH_UP:?} after {trouble:?}",
                version_on_disk(&world, &name),
                plan.version
            );
            answers_with_nothing_older(&world, &name, plan.version).await;
            // A machine that is back counts as lost for a while.
            sleep(Duration::from_secs(4)).await;
        }
    }
    sleep(CATCH_UP).await;
    for name in world.core() {
        assert_eq!(version_on_disk(&world, &name), plan.version, "{name}");
    }
    let spent = began.elapsed().as_secs();
    let bytes = written_in_core(&world) - before;
    println!(
        "{bytes} bytes in the core, {} a change, of {size}; {spent} s",
        bytes / changes
    );
    // Two copies a change, one for each return, as much again for what is small, and polls by the second.
    let most = changes * size * 2 + changes / SPELL * size + changes * size + spent * 50_000;
    assert!(bytes <= most, "{bytes} bytes in the core, at most {most}");
    world.operator.read_back().await;
    world
}

macro_rules! days {
    ($($name:ident: $seed:literal;)*) => {$(
        #[test]
        fn $name() {
            play(async {
                let world = day_of_many_changes($seed, CHANGES).await;
                world.judge.assert_kept();
            });
        }
    )*};
}

days! {
    five_hundred_changes_by_a_first_seed: 491;
    five_hundred_changes_by_a_second_seed: 492;
    five_hundred_changes_by_a_third_seed: 493;
}

#[test]
fn given_members_that_do_not_compare_what_they_have_then_a_short_day_finds_it() {
    let day = || play(day_of_many_changes(497, 14 * SPELL));
    day().judge.assert_kept();
    inject(Some(Defect::AntiEntropyDisabled));
    let broken = catch_unwind(AssertUnwindSafe(day)).is_err();
    inject(None);
    assert!(broken);
}
