//! How long no change is accepted after a core machine is killed, freezes or is partitioned, how long that machine takes to
//! serve the configuration again once the fault is over, and how long no owner of the rollout lease commands new weights
//! when the fault is the owner's: complete nodes in virtual time, by seed.
//!
//! `cargo run --release -p sparrouter-simulation --example availability -- SEEDS THREADS`
use sparrouter_simulation::cluster::{ClusterSettings, SimulatedCluster, initial_configuration};
use sparrouter_simulation::configuration::{Configuration, Route, RouteKind};
use sparrouter_simulation::http_messages::call;
use sparrouter_simulation::network::Partition;
use sparrouter_simulation::runtime::play;
use std::rc::Rc;
use std::thread;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

const USAGE: &str = "availability SEEDS THREADS; both integers";
/// The fault lasts so long after the change.
const FAULT_TIME: Duration = Duration::from_secs(5);
/// Time between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(10);
/// Longest that is waited for anything.
const MAX_WAIT: Duration = Duration::from_secs(30);

#[derive(Clone, Copy, Debug)]
enum Fault {
    Kill,
    Freeze,
    Partition,
}

/// None where it took longer than `MAX_WAIT`.
struct Measured {
    change: Option<Duration>,
    back: Option<Duration>,
}

async fn time_until_ok(
    cluster: &Rc<SimulatedCluster>,
    machine: &str,
    method: &str,
    base: &str,
    body: &str,
) -> Option<Duration> {
    let net = cluster.outside_network();
    let to = cluster.control_of(machine);
    let began = Instant::now();
    let time_limit = Duration::from_secs(2);
    while began.elapsed() < MAX_WAIT {
        let conditional = [("If-Match", base)];
        let fields = match method {
            "PUT" => &conditional[..],
            _ => &[],
        };
        let sent = call(&net, to, method, "/api/config", fields, body, time_limit);
        if sent.await.is_ok_and(|reply| reply.status == 200) {
            return Some(began.elapsed());
        }
        sleep(RETRY_INTERVAL).await;
    }
    None
}

/// From the fault of the machine that commands new weights until another one commands under a higher token.
async fn time_without_lease_owner(seed: u64, fault: Fault) -> Option<Duration> {
    let cluster =
        SimulatedCluster::serving(ClusterSettings::with_seed(seed).edge_machines(0).servers(4))
            .await;
    let naming = {
        let cluster = cluster.clone();
        spawn_local(async move { cluster.operator.name_version(2).await })
    };
    let first = ordering(&cluster, None).await?;
    let machine = first.split('@').next().unwrap_or_default();
    let victim = cluster.names().into_iter().find(|name| name == machine)?;
    begin(&cluster, fault, &victim);
    let began = Instant::now();
    let second = ordering(&cluster, Some(&first)).await;
    naming.abort();
    second.map(|_| began.elapsed())
}

/// Waits until a holder orders, another one than `before`.
async fn ordering(cluster: &Rc<SimulatedCluster>, before: Option<&str>) -> Option<String> {
    let began = Instant::now();
    while began.elapsed() < MAX_WAIT {
        let lease_owner = cluster.monitor.last_lease_owner();
        if lease_owner.is_some() && lease_owner.as_deref() != before {
            return lease_owner;
        }
        sleep(RETRY_INTERVAL).await;
    }
    None
}

fn begin(cluster: &Rc<SimulatedCluster>, fault: Fault, victim: &str) {
    match fault {
        Fault::Kill => cluster.kill(victim),
        Fault::Freeze => cluster.freeze(victim, true),
        Fault::Partition => cluster.partition(&[victim], Some(Partition::PacketsLost)),
    }
}

fn next_plan() -> Configuration {
    initial_configuration().next(1, |configuration| {
        configuration
            .routes
            .push(Route::new("new", RouteKind::Idempotent, "models"));
    })
}

async fn measured(seed: u64, fault: Fault) -> Measured {
    let cluster =
        SimulatedCluster::serving(ClusterSettings::with_seed(seed).edge_machines(0).servers(1))
            .await;
    let victim = format!("core-{}", seed % 3);
    let survivor = format!("core-{}", (seed + 1) % 3);
    let moment = cluster.rng.borrow_mut().u64(..1_500);
    sleep(Duration::from_millis(moment)).await;
    begin(&cluster, fault, &victim);
    let change = time_until_ok(&cluster, &survivor, "PUT", "1", &next_plan().json()).await;
    sleep(FAULT_TIME).await;
    match fault {
        Fault::Kill => cluster.start(&victim, false),
        Fault::Freeze => cluster.freeze(&victim, false),
        Fault::Partition => cluster.partition(&[&victim], None),
    }
    let back = time_until_ok(&cluster, &victim, "GET", "", "").await;
    Measured { change, back }
}

/// Plays all seeds, over threads.
fn run<T: Send + 'static>(
    seeds: u64,
    threads: u64,
    one: impl Fn(u64) -> T + Copy + Send + 'static,
) -> Vec<T> {
    let seeds_of = move |thread| {
        let mine = (0..seeds).filter(move |seed| seed % threads == thread);
        mine.map(one).collect::<Vec<T>>()
    };
    let workers: Vec<_> = (0..threads)
        .map(|thread| thread::spawn(move || seeds_of(thread)))
        .collect();
    let results = workers
        .into_iter()
        .map(|w| w.join().expect("a run without panics"));
    results.flatten().collect()
}

fn row(spans: Vec<Option<Duration>>) -> String {
    let missing = spans.iter().filter(|s| s.is_none()).count();
    let mut known: Vec<Duration> = spans.into_iter().flatten().collect();
    known.sort_unstable();
    let quantile = |fraction: f64| {
        let index = (known.len() as f64 * fraction) as usize;
        known.get(index.min(known.len().saturating_sub(1)))
    };
    let ms = |span: Option<&Duration>| span.map_or(0, Duration::as_millis);
    let (middle, high, most) = (ms(quantile(0.5)), ms(quantile(0.99)), ms(known.last()));
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
    println!("| fault | time | seeds | p50 ms | p99 ms | max ms | not in 30 s |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for fault in [Fault::Kill, Fault::Freeze, Fault::Partition] {
        let (changes, backs): (Vec<_>, Vec<_>) =
            run(seeds, threads, move |seed| play(measured(seed, fault)))
                .into_iter()
                .map(|m| (m.change, m.back))
                .unzip();
        println!(
            "| {fault:?} | no change accepted at another machine | {seeds} | {} |",
            row(changes)
        );
        println!(
            "| {fault:?} | from its end to serving again | {seeds} | {} |",
            row(backs)
        );
        let holders = run(seeds, threads, move |seed| {
            play(time_without_lease_owner(seed, fault))
        });
        println!(
            "| {fault:?} | no lease owner commands new weights | {seeds} | {} |",
            row(holders)
        );
    }
}
