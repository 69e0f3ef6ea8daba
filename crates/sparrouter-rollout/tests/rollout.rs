//! Sound and bad changes of modelled fleets, killed at every point.
mod fleet;
use fleet::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sparrouter_rollout::SECOND;
use sparrouter_rollout::conduct::*;
use sparrouter_rollout::plan::Plan;
use sparrouter_rollout::record::{self, Log, RecordError};
use sparrouter_rollout::stages;

fn played(nodes: usize, bad: Bad, seed: u64) -> (How, Fleet) {
    let mut fleet = Fleet::new(plan(nodes, 2), bad, seed);
    (fleet.play(), fleet)
}

#[test]
fn a_sound_change_reaches_every_node_with_no_more_down_than_allowed() {
    let (how, fleet) = played(16, Bad::No, 1);
    assert_eq!((how, fleet.changed()), (How::Through, 16));
    assert!(fleet.most_down <= 2, "{}", fleet.most_down);
}

#[test]
fn planted_bad_versions_are_stopped_by_the_second_stage_and_taken_back() {
    for bad in [
        Bad::DiesAfter(3 * SECOND),
        Bad::DeadAfter(3 * SECOND),
        Bad::NeverReady,
        Bad::Slower(0.34),
        Bad::Errs(0.1),
        Bad::OneWorse(0.3),
        Bad::WhenWarm(10 * SECOND, 0.2),
    ] {
        let (how, fleet) = played(16, bad, 2);
        assert!(matches!(how, How::Back(_)), "{bad:?}: {how:?}");
        assert!(
            fleet.stage() <= 2 && fleet.changed() == 0,
            "{bad:?} in stage {}: {how:?}",
            fleet.stage()
        );
        assert!(
            fleet.lost / fleet.asked < 0.05,
            "{bad:?} lost {}",
            fleet.lost / fleet.asked
        );
    }
}

/// Nodes whose zones alternate were changed one after another, however many might be down at once.
#[test]
fn a_fleet_of_alternating_zones_is_changed_as_many_at_once_as_allowed() {
    let mut fleet = Fleet::new(plan(60, 3), Bad::No, 12);
    fleet.plan.down_at_once = 10;
    let began = fleet.now;
    assert_eq!(fleet.play(), How::Through);
    assert!(
        fleet.most_down <= 10 && fleet.most_down >= 8,
        "{}",
        fleet.most_down
    );
    // Four stages are held for 40 s, and the past learnt in as long; what is left is for 60 changes and 30 restarts.
    let took = (fleet.now - began) / SECOND;
    assert!(took < 260, "{took} s");
}

/// The conductor is cut off from half of the nodes: it waits, ends none of them, and goes on after.
#[test]
fn a_conductor_that_does_not_hear_half_of_the_nodes_takes_none_of_them_down() {
    for from in [150, 190] {
        let mut fleet = Fleet::new(plan(16, 2), Bad::No, 13);
        fleet.cut = Some((from * SECOND, (from + 30) * SECOND, 8));
        let how = fleet.play();
        // A changed node that is not heard is taken back: no news is not good news.
        assert!(
            matches!(&how, How::Through)
                || matches!(&how, How::Back(why) if why.contains("silent")),
            "{how:?}"
        );
        assert!(fleet.most_down <= 2, "{}", fleet.most_down);
    }
}

/// What harms all alike does not show between the two groups: the fleet's own past tells.
#[test]
fn what_is_bad_only_in_sum_is_stopped_by_the_fleets_past() {
    let (how, fleet) = played(16, Bad::InSum(0.6), 3);
    assert!(
        matches!(&how, How::Back(why) if why.contains("whole fleet")),
        "{how:?}"
    );
    assert_eq!(fleet.changed(), 0);
}

/// Old and new nodes that disagree on a key's cache server: refused at the first node, unless the plan allows it.
#[test]
fn a_change_of_placement_is_refused_unless_allowed() {
    let (how, fleet) = played(8, Bad::Places, 9);
    assert!(
        matches!(&how, How::Back(why) if why.contains("places keys otherwise")),
        "{how:?}"
    );
    assert_eq!((fleet.changed(), fleet.stage()), (0, 1));
    let mut allowed = plan(8, 2);
    // That they fetch more in the first half minute is what is allowed: only losses are looked at here.
    (allowed.placement, allowed.least) = (true, 0.2);
    assert_eq!(Fleet::new(allowed, Bad::Places, 9).play(), How::Through);
}

/// Keys that move are misses at the origin: the change goes no faster than it can bear.
#[test]
fn a_change_of_placement_goes_as_fast_as_the_origin_bears() {
    let most = |bound: f64| {
        let mut allowed = plan(24, 1);
        (allowed.placement, allowed.least, allowed.fetches_per_s) = (true, 0.2, Some(bound));
        // 24 nodes with 68 a second each, a tenth of them fetched: some 165 a second without the change. One changed
        // node fetches 54 more at first: by so much the bound may be passed.
        (allowed.down_at_once, allowed.longest) = (6, 200 * SECOND);
        let mut fleet = Fleet::new(allowed, Bad::Places, 15);
        assert_eq!(fleet.play(), How::Through);
        fleet
            .seen
            .iter()
            .map(|s| s.fetches_per_s)
            .fold(0.0, f64::max)
    };
    let (free, bound) = (most(1e9), most(240.0));
    assert!(free > 340.0 && bound < 300.0, "{free}, {bound}");
}

/// While all suffer nobody more is changed, also before a stage is complete.
#[test]
fn nodes_are_not_changed_on_while_the_whole_fleet_suffers() {
    let (_, sound) = played(60, Bad::No, 14);
    let begins = sound
        .seen
        .iter()
        .position(|s| s.stage == 3 && s.phase == "moving")
        .unwrap() as u64;
    let mut fleet = Fleet::new(plan(60, 2), Bad::No, 14);
    // In the middle of the last stage's changes.
    fleet.trouble = Some(((104 + begins) * SECOND, (144 + begins) * SECOND, 0.4));
    assert_eq!(fleet.play(), How::Through, "{:?}", fleet.said);
    let hit: Vec<&Seen> = fleet
        .seen
        .iter()
        .filter(|s| s.all.is_some_and(|l| l > 0.3))
        .collect();
    assert!(
        hit.len() > 30 && hit.iter().any(|s| s.phase == "moving"),
        "{}",
        hit.len()
    );
    let (first, last) = (hit[3].new, hit[hit.len() - 1].new);
    assert!(last <= first + 2, "{first} to {last} changed meanwhile");
}

/// Trouble of the fleet in mid-stage is not blamed on the change: it waits, and goes on after.
#[test]
fn a_sound_change_waits_out_trouble_of_the_fleet() {
    for at in [140, 200, 260] {
        let mut fleet = Fleet::new(plan(16, 2), Bad::No, 4);
        fleet.trouble = Some((at * SECOND, (at + 40) * SECOND, 0.4));
        assert_eq!(fleet.play(), How::Through, "{:?}", fleet.said);
    }
}

/// No news is not good news.
#[test]
fn nobody_goes_on_while_nodes_are_silent() {
    let mut fleet = Fleet::new(plan(8, 1), Bad::No, 5);
    fleet.muted = vec![3];
    assert!(matches!(fleet.play(), How::Left(why) if why.contains("no report from n3")));
    assert_eq!(fleet.changed(), 0);
}

#[test]
fn a_node_that_would_not_do_as_told_is_named_and_the_rest_is_taken_back() {
    let mut fleet = Fleet::new(plan(8, 1), Bad::No, 6);
    let first = stages::order(&fleet.plan)[0];
    fleet.procs[first].stubborn = true;
    let (how, name) = (fleet.play(), fleet.plan.nodes[first].name.clone());
    assert!(
        matches!(&how, How::Left(why) if why.contains(&name)),
        "{how:?}"
    );
    assert_eq!(fleet.changed(), 0);
}

/// Somebody's hand: a node that says what nobody has told it.
#[test]
fn a_node_found_otherwise_stops_it_with_a_clear_line() {
    let mut fleet = Fleet::new(plan(8, 1), Bad::No, 7);
    let last = *stages::order(&fleet.plan).last().unwrap();
    fleet.procs[last].report.generation = "new".into();
    assert!(matches!(fleet.play(), How::Left(why) if why.contains("not changed yet")));
    assert_eq!(fleet.changed(), 0);
}

/// The conductor is killed before each of its actions in turn, and another goes on: it ends as it would have.
#[test]
fn killed_at_any_point_it_ends_as_it_would_have() {
    for bad in [Bad::No, Bad::Errs(0.2)] {
        let (whole, fleet) = played(6, bad, 8);
        for kill in 0..fleet.actions() {
            let mut fleet = Fleet::new(plan(6, 2), bad, 8);
            fleet.kill_after = Some(kill);
            let how = fleet.play();
            assert_eq!(
                std::mem::discriminant(&how),
                std::mem::discriminant(&whole),
                "killed at {kill}: {how:?}"
            );
            let wanted = if bad == Bad::No { 6 } else { 0 };
            assert_eq!(fleet.changed(), wanted, "killed at {kill}");
            assert!(
                fleet.most_down <= 2,
                "killed at {kill}: {} down",
                fleet.most_down
            );
        }
    }
}

/// A/A: the change changes nothing, the nodes differ for good. So many runs may be stopped, however often one looks.
#[test]
fn sound_changes_are_seldom_stopped() {
    let stopped: Vec<String> = (0..150)
        .filter_map(|seed| match played(8, Bad::No, 1000 + seed).0 {
            How::Through => None,
            how => Some(format!("{seed}: {how:?}")),
        })
        .collect();
    assert!(stopped.len() <= 3, "{stopped:?}");
}

#[test]
fn stages_are_nested_spread_over_zones_and_end_with_all() {
    let plan = plan(40, 4);
    let order = stages::order(&plan);
    let sizes = stages::sizes(&plan.parts, 40);
    assert_eq!((sizes.last(), order.len()), (Some(&40), 40));
    for size in sizes {
        let mut zones = [0; 4];
        order[..size].iter().for_each(|n| zones[n % 4] += 1);
        let (most, least) = (zones.iter().max().unwrap(), zones.iter().min().unwrap());
        assert!(most - least <= 1, "{size}: {zones:?}");
    }
}

#[test]
fn errors_of_a_plan_name_line_and_field() {
    let sound = "name = \"a\"\nchange = { generation = \"new\", from = \"old\" }\n[stages]\nparts = [0.5, 1.0]\nhold_s = 5\nlongest_s = 9\n".to_string();
    let node = |n| {
        format!(
            "[[node]]\nname = \"{n}\"\nchange = [\"x\"]\nback = [\"x\"]\nrestart = [\"x\"]\nreport = \"r\"\n"
        )
    };
    let nodes = node("a") + &node("b");
    assert!(Plan::read(&(sound.clone() + &nodes)).is_ok());
    for (text, part) in [
        (
            sound.replace("parts = [0.5, 1.0]", "parts = [0.5, 0.2]") + &nodes,
            "line 4, stages.parts",
        ),
        (
            sound.replace("longest_s = 9", "longest_s = 2") + &nodes,
            "line 6, stages.longest_s",
        ),
        (
            sound.replace("hold_s = 5", "hold_s = -5") + &nodes,
            "line 5, stages.hold_s",
        ),
        (sound.replace("hold_s = 5", "held_s = 5") + &nodes, "held_s"),
        (
            sound.replace("\"new\"", "\"old\"") + &nodes,
            "line 2, change.generation",
        ),
        (
            sound.clone() + &node("a") + &node("a"),
            "line 14, node.name",
        ),
        (
            sound.replace("\"old\" }", "\"old\", placement = true }") + &nodes,
            "line 2, change.placement",
        ),
        (
            sound.clone() + "[bounds]\nfetches_per_s = -3\n" + &nodes,
            "line 8, bounds.fetches_per_s",
        ),
        (sound.clone() + &node("a"), "at least two"),
        (
            sound + &nodes.replace("back = [\"x\"]", "back = []"),
            "node.back",
        ),
    ] {
        let error = Plan::read(&text).unwrap_err().to_string();
        assert!(error.contains(part), "{error}");
    }
}

fn entries() -> Vec<Entry> {
    let (doing, node) = (Doing::Change, "n0".to_string());
    vec![
        Entry::Plan {
            name: "p".into(),
            digest: 7,
        },
        Entry::Stage { stage: 0 },
        Entry::Begin {
            node: node.clone(),
            doing,
        },
        Entry::End {
            node,
            doing,
            ok: true,
        },
    ]
}

/// Cut at every byte: what is whole is read, the torn end is cut off, and writing goes on behind it.
#[test]
fn a_log_cut_at_any_byte_is_recovered() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("log");
    let (all, bytes) = (
        entries(),
        entries()
            .iter()
            .flat_map(record::written)
            .collect::<Vec<u8>>(),
    );
    for cut in 0..=bytes.len() {
        for tail in [0, 40] {
            let mut torn = bytes[..cut].to_vec();
            torn.resize(cut + tail, 0);
            std::fs::write(&path, &torn).unwrap();
            // A length that was torn and filled with zeros can't be told from a spoilt one: refused, never half.
            let Ok((mut log, read)) = Log::open(&path) else {
                continue;
            };
            assert_eq!(read, all[..read.len()]);
            log.append(&Entry::Passed { stage: 9 }).unwrap();
            drop(log);
            let (_, again) = Log::open(&path).unwrap();
            assert_eq!(
                (again.len(), again.last()),
                (read.len() + 1, Some(&Entry::Passed { stage: 9 }))
            );
        }
    }
}

#[test]
fn two_conductors_at_once_and_a_spoilt_log_are_refused() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("log");
    let (mut one, _) = Log::open(&path).unwrap();
    entries().iter().for_each(|e| one.append(e).unwrap());
    assert!(matches!(Log::open(&path), Err(RecordError::Busy { .. })));
    drop(one);
    let sound = std::fs::read(&path).unwrap();
    let first = record::written(&entries()[0]).len();
    for at in 0..first {
        let mut spoilt = sound.clone();
        spoilt[at] ^= 0x20;
        std::fs::write(&path, spoilt).unwrap();
        assert!(
            matches!(Log::open(&path), Err(RecordError::Spoilt { at: 0, .. })),
            "byte {at}"
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(30),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_log_of_rubbish_never_panics(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = record::read(&bytes, "x");
    }
}
