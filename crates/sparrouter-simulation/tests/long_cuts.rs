//! A core machine cut off for 20 s in every way, joined again in the middle of a change, a replacement or new weights,
//! under load, with all rules judged and every claim of quorum contact checked.
use sparrouter_simulation::contact_watch::{ContactWatch, LOOSELY};
use sparrouter_simulation::fabric::Cut;
use sparrouter_simulation::load;
use sparrouter_simulation::plan::{Kind, Plan, Route};
use sparrouter_simulation::scenario::run_judged;
use sparrouter_simulation::world::cuts::CutWay;
use sparrouter_simulation::world::{Terms, World, first_plan};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, sleep, sleep_until};

const CUT: Duration = Duration::from_secs(20);
/// A machine that is back counts as lost for so long.
const CATCH_UP: Duration = Duration::from_secs(4);
/// Whatever is under way when the cut ends began at most this long before, in ms.
const BEFORE_HEAL_MS: u64 = 24;

/// What is done to other machines while one is cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Beside {
    Nothing,
    /// The settings name seeds that begin with the machine that is cut off, and the others are restarted.
    Seeds,
    /// The machine that is cut off is restarted, then the other core machines, one after the other.
    Both,
}

/// What is under way when the cut ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum UnderWay {
    Change,
    Replacement,
    Weights,
}

#[derive(Clone, Copy, Debug)]
struct LongCut {
    seed: u64,
    way: CutWay,
    beside: Beside,
    under_way: UnderWay,
}

fn with_route(plan: &Plan, name: &str) -> Plan {
    plan.next(2, |p| {
        p.routes.push(Route::new(name, Kind::Idempotent, "models"))
    })
}

impl LongCut {
    fn terms(&self) -> Terms {
        Terms {
            // With three machines a replacement beside a cut would lose two at once.
            core: if self.under_way == UnderWay::Replacement {
                5
            } else {
                3
            },
            others: 2,
            servers: 3,
            ..Terms::seeded(self.seed)
        }
    }

    /// The machine that ordered or acknowledged last, or one by the seed.
    fn victim(&self, world: &World) -> String {
        let core = world.core();
        let holder = world.judge.last_holder();
        let leader = holder.and_then(|h| core.iter().find(|c| h.starts_with(c.as_str())).cloned());
        let by_seed = core[self.seed as usize % core.len()].clone();
        leader.filter(|_| self.seed % 2 == 1).unwrap_or(by_seed)
    }

    async fn disturb_others(&self, world: &Rc<World>, victim: &str) {
        match self.beside {
            Beside::Nothing => {}
            Beside::Seeds => {
                let mut names = world.core();
                names.sort_by_key(|n| n != victim);
                let seeds: Vec<_> = names.iter().take(3).map(|n| world.control_of(n)).collect();
                world.exchange_seeds(&seeds);
                restart(world, "edge-0").await;
            }
            Beside::Both => {
                restart(world, victim).await;
                for name in world.core().iter().filter(|n| *n != victim) {
                    restart(world, name).await;
                    sleep(Duration::from_secs(1)).await;
                }
            }
        }
    }

    /// Starts what is to be under way when the cut ends; gives back the configuration that it ends with.
    fn begin_work(&self, world: &Rc<World>, plan: &Plan, victim: &str) -> JoinHandle<Plan> {
        let (world, plan, under_way) = (world.clone(), plan.clone(), self.under_way);
        let other = world.core().into_iter().find(|n| n != victim);
        spawn_local(async move {
            let next = with_route(&plan, "healed");
            match under_way {
                UnderWay::Change => {}
                UnderWay::Replacement => drop(other.map(|o| world.replace(&o))),
                UnderWay::Weights => {
                    world.newest_weights.set(2);
                    assert!(world.operator.name_version(2).await, "weights are named");
                }
            }
            assert_eq!(world.operator.put(&next, plan.version).await, 200);
            next
        })
    }

    async fn play(self) -> Rc<World> {
        let world = World::serving(self.terms()).await;
        world.judge.note(format!("{self:?}"));
        let watch = ContactWatch::begin(&world, &world.core(), LOOSELY);
        let load = load::begin(&world, 4, Duration::from_millis(300));
        world.newest_weights.set(1);
        let victim = self.victim(&world);
        let heal_at = Instant::now() + CUT;
        world.cut_core(&victim, self.way, Some(Cut::Silent));
        sleep(Duration::from_millis(200 * (self.seed % 10))).await;
        let first = with_route(&first_plan(), "cut");
        assert_eq!(world.operator.put(&first, 1).await, 200);
        watch.acknowledged(first.version);
        self.disturb_others(&world, &victim).await;
        sleep_until(heal_at - Duration::from_millis(self.seed * 7 % BEFORE_HEAL_MS)).await;
        let work = self.begin_work(&world, &first, &victim);
        sleep_until(heal_at).await;
        world.cut_core(&victim, self.way, None);
        let last = work.await.expect("what was under way ends");
        watch.acknowledged(last.version);
        sleep(CATCH_UP + world.terms.bounds.contact).await;
        load.stop().await;
        watch.stop();
        if self.under_way == UnderWay::Weights {
            world.until_servers_have(2).await;
        }
        for name in world.names() {
            let reply = world.operator.get_from(world.control_of(&name)).await;
            let text = reply.map(|r| r.text().to_owned()).unwrap_or_default();
            let current = format!("\"version\":{},", last.version);
            assert!(text.contains(&current), "{name} of {self:?}: {text}");
        }
        world.operator.read_back().await;
        world
    }
}

async fn restart(world: &World, name: &str) {
    world.kill(name);
    sleep(Duration::from_millis(400)).await;
    world.start(name, false);
}

/// Two seeds of each way and each disturbance beside it.
fn in_every_way(first_seed: u64, under_way: UnderWay) {
    let mut seed = first_seed;
    for way in CutWay::ALL {
        for beside in [Beside::Nothing, Beside::Seeds, Beside::Both] {
            for _ in 0..2 {
                let cut = LongCut {
                    seed,
                    way,
                    beside,
                    under_way,
                };
                run_judged(|| cut.play());
                seed += 1;
            }
        }
    }
}

#[test]
fn given_a_cut_of_20_s_healed_in_the_middle_of_a_change_then_no_rule_is_broken() {
    in_every_way(900, UnderWay::Change);
}

#[test]
fn given_a_cut_of_20_s_healed_in_the_middle_of_a_replacement_then_no_rule_is_broken() {
    in_every_way(1_000, UnderWay::Replacement);
}

#[test]
fn given_a_cut_of_20_s_healed_in_the_middle_of_new_weights_then_no_rule_is_broken() {
    in_every_way(1_100, UnderWay::Weights);
}

#[test]
fn given_core_machines_cut_off_for_20_s_in_turn_then_no_rule_is_broken() {
    for seed in 0..4 {
        run_judged(|| async {
            let world = World::serving(Terms::seeded(1_200 + seed)).await;
            let watch = ContactWatch::begin(&world, &world.core(), LOOSELY);
            let mut plan = first_plan();
            for (n, victim) in world.core().into_iter().enumerate() {
                let way = CutWay::ALL[(n + seed as usize) % CutWay::ALL.len()];
                world.cut_core(&victim, way, Some(Cut::Silent));
                let next = with_route(&plan, &format!("without-{victim}"));
                assert_eq!(world.operator.put(&next, plan.version).await, 200);
                watch.acknowledged(next.version);
                plan = next;
                sleep(CUT).await;
                world.cut_core(&victim, way, None);
                sleep(CATCH_UP).await;
            }
            sleep(world.terms.bounds.contact).await;
            watch.stop();
            world.operator.read_back().await;
            world
        });
    }
}
