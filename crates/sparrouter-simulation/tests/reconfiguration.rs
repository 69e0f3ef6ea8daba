//! Machines of the core lost one after the other as fast as the tolerance allows: what is left holds everything and acts.
mod losses;

use losses::{CATCH_UP, LOSSES, Loss, change, lose, terms, watched, wipe};
use sparrouter_consensus::Member;
use sparrouter_consensus::owner::ranked;
use sparrouter_fleet::control::CONFIG;
use sparrouter_fleet::platform::defects::{Defect, inject};
use sparrouter_simulation::fabric::Cut;
use sparrouter_simulation::scenario::{heed_panics, panics, play, run_judged};
use sparrouter_simulation::world::{Terms, World, ZONES, first_plan};
use std::future::Future;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

#[test]
fn given_two_losses_in_every_order_until_none_of_the_first_group_is_left_then_all_is_kept() {
    for (seed, first) in (300..).zip(LOSSES) {
        for (place, second) in (0..).zip(LOSSES) {
            run_judged(|| async {
                let world = watched(terms(seed + 10 * place, 3)).await;
                let mut plan = first_plan();
                let old = world.core();
                for (name, loss) in old.iter().zip([first, second, first]) {
                    lose(&world, &mut plan, name, loss).await;
                    sleep(CATCH_UP).await;
                    change(&world, &mut plan, &format!("after-{name}")).await;
                }
                world.operator.read_back().await;
                world
            });
        }
    }
}

#[test]
fn given_five_and_seven_members_when_as_many_as_tolerated_are_lost_at_once_again_and_again_then_all_is_kept()
 {
    for (seed, core) in [(330, 5), (331, 7)] {
        run_judged(|| async {
            let world = watched(terms(seed, core)).await;
            let tolerated = world.terms.tolerated();
            let mut plan = first_plan();
            let old = world.core();
            for lost in old.chunks(tolerated) {
                for name in lost {
                    world.retire(name);
                }
                sleep(Duration::from_secs(2)).await;
                for _ in lost {
                    world.add_core(ZONES[0]);
                }
                sleep(CATCH_UP).await;
                change(&world, &mut plan, &format!("after-{}", lost[0])).await;
            }
            world.operator.read_back().await;
            world
        });
    }
}

#[test]
fn given_a_group_of_one_when_it_is_replaced_as_planned_then_it_goes_only_after_the_new_one_holds_all()
 {
    run_judged(|| async {
        let world = watched(terms(340, 1)).await;
        let mut plan = first_plan();
        for _ in 0..2 {
            let old = world.core()[0].clone();
            change(&world, &mut plan, &format!("before-{old}")).await;
            lose(&world, &mut plan, &old, Loss::Planned).await;
            sleep(CATCH_UP).await;
            change(&world, &mut plan, &format!("after-{old}")).await;
        }
        world.operator.read_back().await;
        world
    });
}

#[test]
fn given_removed_machines_when_they_come_back_with_old_disks_and_old_seeds_then_they_change_nothing()
 {
    run_judged(|| async {
        let world = watched(terms(345, 3)).await;
        let mut plan = first_plan();
        let mut retired = Vec::new();
        for name in world.core() {
            let zone = world.zone_of(&name);
            retired.push(world.retire(&name));
            sleep(Duration::from_secs(2)).await;
            world.add_core(zone);
            sleep(CATCH_UP).await;
            change(&world, &mut plan, &format!("after-{name}")).await;
        }
        let known = plan.version;
        let back: Vec<String> = retired.into_iter().map(|r| world.bring_back(r)).collect();
        let began = Instant::now();
        while began.elapsed() < Duration::from_secs(8) {
            for name in &back {
                let reply = world.operator.get_from(world.control_of(name)).await;
                if let Some(reply) = reply.filter(|reply| reply.status == 200) {
                    let newest = format!("\"version\":{known}");
                    assert!(
                        reply.text().contains(&newest),
                        "{name} serves {}",
                        reply.text()
                    );
                }
            }
            sleep(Duration::from_millis(100)).await;
        }
        change(&world, &mut plan, "with-the-old-ones").await;
        world.operator.read_back().await;
        world
    });
}

/// A machine whose disk stalls joins beside three that are well.
async fn joined_by_a_stalled_disk() -> Rc<World> {
    let world = watched(terms(350, 3)).await;
    let new = world.add_core(ZONES[0]);
    let stall = Duration::from_secs(9);
    world.disk(&new).stalled.set(Instant::now() + stall);
    sleep(stall + CATCH_UP).await;
    let mut plan = first_plan();
    change(&world, &mut plan, "after-the-stall").await;
    world.operator.read_back().await;
    world
}

/// The disk of one member stalls, another one is wiped right after an acknowledgement, and the third, which then has
/// the only copy, is told to end for good.
async fn leaving_with_the_only_copy() -> Rc<World> {
    let world = watched(terms(351, 3)).await;
    let [leaving, wiped, stalled] = ["core-0", "core-1", "core-2"];
    let mut plan = first_plan();
    let stall_ends = Instant::now() + Duration::from_millis(3_800);
    world.disk(stalled).stalled.set(stall_ends);
    change(&world, &mut plan, "held-by-two").await;
    world.power_off(wiped);
    world.wipe(wiped);
    sleep(Duration::from_millis(300)).await;
    world.power_on(wiped);
    world.term(leaving).await;
    world.retire(leaving);
    world.add_core(ZONES[0]);
    sleep(CATCH_UP).await;
    change(&world, &mut plan, "after-it-left").await;
    world.operator.read_back().await;
    world
}

/// The machine to which changes of the configuration are relayed, and which so leads the configuration's group.
fn leader(world: &World) -> String {
    let members: Vec<Member> = (1..)
        .zip(world.core())
        .map(|(disk, name)| Member {
            disk_id: disk,
            name,
            address: String::new(),
        })
        .collect();
    ranked(CONFIG, &members)[0].name.clone()
}

/// A new machine joins, and is cut off with the leader from the two others before it is a member.
async fn cut_in_two_beside_a_new_machine() -> Rc<World> {
    let world = World::serving(terms(352, 3)).await;
    let leader = leader(&world);
    let new = world.add_core(ZONES[0]);
    sleep(Duration::from_millis(1_500)).await;
    let side = [leader.as_str(), new.as_str()];
    world.cut_off(&side, Some(Cut::Silent));
    sleep(Duration::from_secs(5)).await;
    let mut plan = first_plan();
    change(&world, &mut plan, "by-the-majority").await;
    world.cut_off(&side, None);
    sleep(Duration::from_secs(5)).await;
    change(&world, &mut plan, "by-all").await;
    world.operator.read_back().await;
    world
}

/// What a planted mistake breaks on a day, with the assertions of the program that failed.
fn breaches<F: Future<Output = Rc<World>>>(defect: Defect, day: impl FnOnce() -> F) -> Vec<String> {
    heed_panics();
    inject(Some(defect));
    let played = catch_unwind(AssertUnwindSafe(|| {
        play(async { day().await.judge.breaches() })
    }));
    inject(None);
    let mut found = panics();
    found.extend(played.unwrap_or_default());
    found
}

#[test]
fn given_a_new_disk_that_stalls_when_it_would_join_then_the_group_stands_until_it_holds_everything()
{
    run_judged(joined_by_a_stalled_disk);
    let found = breaches(Defect::UnconfirmedJoins, joined_by_a_stalled_disk);
    assert!(!found.is_empty(), "a join without a copy is found");
}

#[test]
fn given_the_only_copy_at_a_member_when_told_to_end_then_it_hands_over_first() {
    run_judged(leaving_with_the_only_copy);
    let found = breaches(Defect::LeavesWithoutHandover, leaving_with_the_only_copy);
    assert!(!found.is_empty(), "an end without a handover is found");
}

#[test]
fn given_a_swap_on_one_side_of_a_cut_then_the_old_group_is_asked() {
    run_judged(cut_in_two_beside_a_new_machine);
    let found = breaches(Defect::OldGroupNotAsked, cut_in_two_beside_a_new_machine);
    assert!(!found.is_empty(), "a swap without the old group is found");
}

#[test]
fn given_a_whole_group_when_a_member_is_told_to_end_then_the_handover_costs_no_time() {
    run_judged(|| async {
        let world = watched(terms(353, 3)).await;
        let began = Instant::now();
        world.term("core-0").await;
        assert!(!world.runs("core-0"));
        assert!(
            began.elapsed() < Duration::from_millis(2_900),
            "{:?}",
            began.elapsed()
        );
        world
    });
}

#[test]
fn given_no_quorum_when_a_member_is_told_to_end_then_it_ends_with_its_grace_period_and_says_so() {
    run_judged(|| async {
        let world = World::serving(terms(354, 3)).await;
        world.kill("core-1");
        world.kill("core-2");
        let began = Instant::now();
        world.term("core-0").await;
        let (took, grace) = (began.elapsed(), world.terms.bounds.grace);
        assert!(took > Duration::from_secs(7) && took < grace, "{took:?}");
        let written = world.written_by("core-0");
        assert!(written.contains("not handed over"), "{written}");
        for name in ["core-0", "core-1", "core-2"] {
            world.start(name, false);
        }
        sleep(Duration::from_secs(5)).await;
        change(&world, &mut first_plan(), "again").await;
        world
    });
}

/// The machine that orders these weights, once the first server has loaded them.
async fn holder_of(world: &World, version: u64) -> String {
    let began = Instant::now();
    let is_ordered = || {
        let loads = world.judge.load_counts();
        loads.keys().any(|(_, loaded)| *loaded == version)
    };
    while !is_ordered() {
        assert!(began.elapsed() < Duration::from_secs(12), "nobody orders");
        sleep(Duration::from_millis(1)).await;
    }
    let holder = world.judge.last_holder().expect("who ordered");
    holder.split('@').next().unwrap_or_default().to_owned()
}

#[test]
fn given_the_holder_of_a_lease_lost_as_it_orders_again_and_again_then_another_one_goes_on_in_time()
{
    for (seed, loss) in (360..).zip(LOSSES) {
        run_judged(|| async {
            let world = watched(Terms {
                servers: 6,
                ..terms(seed, 3)
            })
            .await;
            let mut plan = first_plan();
            for version in 2..5 {
                assert!(world.operator.name_version(version).await);
                let holder = holder_of(&world, version).await;
                match loss {
                    // New weights are a change of their own, acknowledged a moment ago.
                    Loss::WipedAfterAcknowledgement => wipe(&world, &holder).await,
                    _ => lose(&world, &mut plan, &holder, loss).await,
                }
                sleep(CATCH_UP).await;
                world.until_servers_have(version).await;
            }
            world.operator.read_back().await;
            world
        });
    }
}
