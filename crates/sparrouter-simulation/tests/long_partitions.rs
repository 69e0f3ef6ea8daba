//! A core machine partitioned for 20 s in every way, joined again in the middle of a change, a replacement or new weights,
//! under load, with all rules checked and every claim of quorum contact checked.
use sparrouter_simulation::cluster::partitions::PartitionScope;
use sparrouter_simulation::cluster::{ClusterSettings, SimulatedCluster, initial_configuration};
use sparrouter_simulation::configuration::Configuration;
use sparrouter_simulation::contact_watch::{ContactWatch, SLOW_POLL};
use sparrouter_simulation::load::ClientLoad;
use sparrouter_simulation::network::Partition;
use sparrouter_simulation::runtime::run_checked;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, sleep, sleep_until};

const PARTITION_TIME: Duration = Duration::from_secs(20);
/// A machine that is back counts as lost for so long.
const CATCH_UP: Duration = Duration::from_secs(4);
/// Whatever is under way when the partition ends began at most this long before, in ms.
const BEFORE_REPAIR_MS: u64 = 24;

/// What is done to other machines while one is partitioned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Beside {
    Nothing,
    /// The settings name seeds that begin with the machine that is partitioned, and the others are restarted.
    Seeds,
    /// The machine that is partitioned is restarted, then the other core machines, one after the other.
    Both,
}

/// What is under way when the partition ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Work {
    Change,
    Replacement,
    Weights,
}

#[derive(Clone, Copy, Debug)]
struct LongPartition {
    seed: u64,
    scope: PartitionScope,
    beside: Beside,
    work: Work,
}

impl LongPartition {
    fn settings(&self) -> ClusterSettings {
        // With three machines a replacement beside a partition would lose two at once.
        let core_machines = if self.work == Work::Replacement { 5 } else { 3 };
        ClusterSettings::with_seed(self.seed)
            .core_machines(core_machines)
            .edge_machines(2)
            .servers(3)
    }

    /// The machine that ordered or acknowledged last, or one by the seed.
    fn victim(&self, cluster: &SimulatedCluster) -> String {
        let core = cluster.core();
        let lease_owner = cluster.monitor.last_lease_owner();
        let leader =
            lease_owner.and_then(|h| core.iter().find(|c| h.starts_with(c.as_str())).cloned());
        let by_seed = core[self.seed as usize % core.len()].clone();
        leader.filter(|_| self.seed % 2 == 1).unwrap_or(by_seed)
    }

    async fn disturb_others(&self, cluster: &Rc<SimulatedCluster>, victim: &str) {
        match self.beside {
            Beside::Nothing => {}
            Beside::Seeds => {
                let mut names = cluster.core();
                names.sort_by_key(|n| n != victim);
                let seeds: Vec<_> = names
                    .iter()
                    .take(3)
                    .map(|n| cluster.control_of(n))
                    .collect();
                cluster.exchange_seeds(&seeds);
                restart(cluster, "edge-0").await;
            }
            Beside::Both => {
                restart(cluster, victim).await;
                for name in cluster.core().iter().filter(|n| *n != victim) {
                    restart(cluster, name).await;
                    sleep(Duration::from_secs(1)).await;
                }
            }
        }
    }

    /// Starts what is to be under way when the partition ends; returns the configuration that it ends with.
    fn begin_work(
        &self,
        cluster: &Rc<SimulatedCluster>,
        configuration: &Configuration,
        victim: &str,
    ) -> JoinHandle<Configuration> {
        let (cluster, configuration, work) = (cluster.clone(), configuration.clone(), self.work);
        let other = cluster.core().into_iter().find(|n| n != victim);
        spawn_local(async move {
            let next = configuration.with_route(2, "healed");
            match work {
                Work::Change => {}
                Work::Replacement => drop(other.map(|o| cluster.replace(&o))),
                Work::Weights => {
                    cluster.newest_weights.set(2);
                    assert!(cluster.operator.name_version(2).await, "weights are named");
                }
            }
            assert_eq!(
                cluster.operator.put(&next, configuration.version).await,
                200
            );
            next
        })
    }

    async fn play(self) -> Rc<SimulatedCluster> {
        let cluster = SimulatedCluster::serving(self.settings()).await;
        cluster.monitor.trace(format!("{self:?}"));
        let watch = ContactWatch::start(&cluster, &cluster.core(), SLOW_POLL);
        let load = ClientLoad::start(&cluster, 4, Duration::from_millis(300));
        cluster.newest_weights.set(1);
        let victim = self.victim(&cluster);
        let repaired_at = Instant::now() + PARTITION_TIME;
        cluster.partition_core(&victim, self.scope, Some(Partition::PacketsLost));
        sleep(Duration::from_millis(200 * (self.seed % 10))).await;
        let first = initial_configuration().with_route(2, "cut");
        assert_eq!(cluster.operator.put(&first, 1).await, 200);
        watch.acknowledged(first.version);
        self.disturb_others(&cluster, &victim).await;
        sleep_until(repaired_at - Duration::from_millis(self.seed * 7 % BEFORE_REPAIR_MS)).await;
        let running_work = self.begin_work(&cluster, &first, &victim);
        sleep_until(repaired_at).await;
        cluster.partition_core(&victim, self.scope, None);
        let last = running_work.await.expect("what was under way ends");
        watch.acknowledged(last.version);
        sleep(CATCH_UP + cluster.settings.bounds.contact).await;
        load.stop().await;
        watch.stop();
        if self.work == Work::Weights {
            cluster.wait_for_weights(2).await;
        }
        for name in cluster.names() {
            let reply = cluster.operator.get_from(cluster.control_of(&name)).await;
            let text = reply.map(|r| r.text().to_owned()).unwrap_or_default();
            let current = format!("\"version\":{},", last.version);
            assert!(text.contains(&current), "{name} of {self:?}: {text}");
        }
        cluster.operator.read_back().await;
        cluster
    }
}

async fn restart(cluster: &SimulatedCluster, name: &str) {
    cluster.kill(name);
    sleep(Duration::from_millis(400)).await;
    cluster.start(name, false);
}

/// Two seeds of each way and each disturbance beside it.
fn in_every_scope(first_seed: u64, work: Work) {
    let mut seed = first_seed;
    for scope in PartitionScope::ALL {
        for beside in [Beside::Nothing, Beside::Seeds, Beside::Both] {
            for _ in 0..2 {
                let long_partition = LongPartition {
                    seed,
                    scope,
                    beside,
                    work,
                };
                run_checked(|| long_partition.play());
                seed += 1;
            }
        }
    }
}

#[test]
fn given_a_partition_of_20_s_healed_in_the_middle_of_a_change_then_no_rule_is_violated() {
    in_every_scope(900, Work::Change);
}

#[test]
fn given_a_partition_of_20_s_healed_in_the_middle_of_a_replacement_then_no_rule_is_violated() {
    in_every_scope(1_000, Work::Replacement);
}

#[test]
fn given_a_partition_of_20_s_healed_in_the_middle_of_new_weights_then_no_rule_is_violated() {
    in_every_scope(1_100, Work::Weights);
}

#[test]
fn given_core_machines_partitioned_for_20_s_in_turn_then_no_rule_is_violated() {
    for seed in 0..4 {
        run_checked(|| async {
            let cluster = SimulatedCluster::serving(ClusterSettings::with_seed(1_200 + seed)).await;
            let watch = ContactWatch::start(&cluster, &cluster.core(), SLOW_POLL);
            let mut configuration = initial_configuration();
            for (n, victim) in cluster.core().into_iter().enumerate() {
                let scope = PartitionScope::ALL[(n + seed as usize) % PartitionScope::ALL.len()];
                cluster.partition_core(&victim, scope, Some(Partition::PacketsLost));
                let next = configuration.with_route(2, &format!("without-{victim}"));
                assert_eq!(
                    cluster.operator.put(&next, configuration.version).await,
                    200
                );
                watch.acknowledged(next.version);
                configuration = next;
                sleep(PARTITION_TIME).await;
                cluster.partition_core(&victim, scope, None);
                sleep(CATCH_UP).await;
            }
            sleep(cluster.settings.bounds.contact).await;
            watch.stop();
            cluster.operator.read_back().await;
            cluster
        });
    }
}
