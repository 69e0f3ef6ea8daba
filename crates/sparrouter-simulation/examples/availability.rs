//! How long no change is taken after a core machine is killed, freezes or is cut off, how long that machine takes to
//! serve the configuration again once the trouble is over, and how long no lease holder orders new weights when the
//! trouble is the holder's: whole nodes in virtual time, by seed.
//!
//! `cargo run --release -p sparrouter-simulation --example availability -- SEEDS THREADS`
use sparrouter_simulation::fabric::Cut;
use sparrouter_simulation::http_messages::call;
use sparrouter_simulation::plan::{Kind, Plan, Route};
use sparrouter_simulation::scenario::play;
use sparrouter_simulation::world::{Terms, World, first_plan};
use std::rc::Rc;
use std::thread;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

const USAGE: &str = "availability SEEDS THREADS; whole numbers";
/// The trouble lasts so long after the change.
const TROUBLE: Duration = Duration::from_secs(5);
/// Pause between two tries.
const PAUSE: Duration = Duration::from_millis(10);
/// Longest that is waited for anything.
const LONGEST: Duration = Duration::from_secs(30);

#[derive(Clone, Copy, Debug)]
enum Trouble {
    Kill,
    Freeze,
    Cut,
}

/// None where it took longer than `LONGEST`.
struct Measured {
    change: Option<Duration>,
    back: Option<Duration>,
}

async fn until_200(
    world: &Rc<World>,
    machine: &str,
    method: &str,
    base: &str,
    body: &str,
) -> Option<Duration> {
    let net = world.outside_net();
    let to = world.control_of(machine);
    let began = Instant::now();
    let patience = Duration::from_secs(2);
    while began.elapsed() < LONGEST {
        let conditional = [("If-Match", base)];
        let fields = match method {
            "PUT" => &conditional[..],
            _ => &[],
        };
        let sent = call(&net, to, method, "/api/config", fields, body, patience);
        if sent.await.is_ok_and(|reply| reply.status == 200) {
            return Some(began.elapsed());
        }
        sleep(PAUSE).await;
    }
    None
}

/// From the trouble of the machine that orders new weights until another one orders under a higher token.
async fn without_holder(seed: u64, trouble: Trouble) -> Option<Duration> {
    let world = World::serving(Terms {
        others: 0,
        servers: 4,
        ..Terms::seeded(seed)
    })
    .await;
    let naming = {
        let world = world.clone();
        spawn_local(async move { world.operator.name_version(2).await })
    };
    let first = ordering(&world, None).await?;
    let machine = first.split('@').next().unwrap_or_default();
    let victim = world.names().into_iter().find(|name| name == machine)?;
    begin(&world, trouble, &victim);
    let began = Instant::now();
    let second = ordering(&world, Some(&first)).await;
    naming.abort();
    second.map(|_| began.elapsed())
}

/// Waits until a holder orders, another one than `before`.
async fn ordering(world: &Rc<World>, before: Option<&str>) -> Option<String> {
    let began = Instant::now();
    while began.elapsed() < LONGEST {
        let holder = world.judge.last_holder();
        if holder.is_some() && holder.as_deref() != before {
            return holder;
        }
        sleep(PAUSE).await;
    }
    None
}

fn begin(world: &Rc<World>, trouble: Trouble, victim: &str) {
    match trouble {
        Trouble::Kill => world.kill(victim),
        Trouble::Freeze => world.freeze(victim, true),
        Trouble::Cut => world.cut_off(&[victim], Some(Cut::Silent)),
    }
}

fn next_plan() -> Plan {
    first_plan().next(1, |plan| {
        plan.routes
            .push(Route::new("new", Kind::Idempotent, "models"));
    })
}

async fn measured(seed: u64, trouble: Trouble) -> Measured {
    let world = World::serving(Terms {
        others: 0,
        servers: 1,
        ..Terms::seeded(seed)
    })
    .await;
    let victim = format!("core-{}", seed % 3);
    let survivor = format!("core-{}", (seed + 1) % 3);
    let moment = world.rng.borrow_mut().u64(..1_500);
    sleep(Duration::from_millis(moment)).await;
    begin(&world, trouble, &victim);
    let change = until_200(&world, &survivor, "PUT", "1", &next_plan().json()).await;
    sleep(TROUBLE).await;
    match trouble {
        Trouble::Kill => world.start(&victim, false),
        Trouble::Freeze => world.freeze(&victim, false),
        Trouble::Cut => world.cut_off(&[&victim], None),
    }
    let back = until_200(&world, &victim, "GET", "", "").await;
    Measured { change, back }
}

/// Plays all seeds, over threads.
fn run<T: Send + 'static>(
    seeds: u64,
    threads: u64,
    one: impl Fn(u64) -> T + Copy + Send + 'static,
) -> Vec<T> {
    let part = move |thread| {
        let mine = (0..seeds).filter(move |seed| seed % threads == thread);
        mine.map(one).collect::<Vec<T>>()
    };
    let workers: Vec<_> = (0..threads)
        .map(|thread| thread::spawn(move || part(thread)))
        .collect();
    let results = workers.into_iter().map(|w| w.join().expect("a whole run"));
    results.flatten().collect()
}

fn row(spans: Vec<Option<Duration>>) -> String {
    let missing = spans.iter().filter(|s| s.is_none()).count();
    let mut known: Vec<Duration> = spans.into_iter().flatten().collect();
    known.sort_unstable();
    let at = |share: f64| {
        let place = (known.len() as f64 * share) as usize;
        known.get(place.min(known.len().saturating_sub(1)))
    };
    let ms = |span: Option<&Duration>| span.map_or(0, Duration::as_millis);
    let (middle, high, most) = (ms(at(0.5)), ms(at(0.99)), ms(known.last()));
    format!("{middle} | {high} | {most} | {missing}")
}

fn main() {
    let numbers: Vec<u64> = std::env::args()
        .skip(1)
        .map(|a| a.parse().expect(USAGE))
        .collect();
    let [seeds, threads] = numbers[..] else {
        panic!("{USAGE}");
    };
    println!("| trouble | what | seeds | p50 ms | p99 ms | most ms | not in 30 s |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for trouble in [Trouble::Kill, Trouble::Freeze, Trouble::Cut] {
        let (changes, backs): (Vec<_>, Vec<_>) =
            run(seeds, threads, move |seed| play(measured(seed, trouble)))
                .into_iter()
                .map(|m| (m.change, m.back))
                .unzip();
        println!(
            "| {trouble:?} | no change taken at another machine | {seeds} | {} |",
            row(changes)
        );
        println!(
            "| {trouble:?} | from its end to serving again | {seeds} | {} |",
            row(backs)
        );
        let holders = run(seeds, threads, move |seed| {
            play(without_holder(seed, trouble))
        });
        println!(
            "| {trouble:?} | no holder orders new weights | {seeds} | {} |",
            row(holders)
        );
    }
}
