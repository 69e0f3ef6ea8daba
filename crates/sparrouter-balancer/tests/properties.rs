//! The safety rules under random legal traffic. The harness checks them after every step.
mod harness;
use harness::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sparrouter_balancer::types::*;

/// Index of the origin among eight servers.
const ORIGIN: CacheIndex = 7;

fn effects() -> impl Strategy<Value = Effect> {
    let group = prop_oneof![Just(Group::All), Just(Group::Zone), Just(Group::Cell)];
    let deduplicated = |(group, window_ms)| Effect::Deduplicated {
        group,
        window: window_ms * MS,
    };
    prop_oneof![
        Just(Effect::Idempotent),
        (group, 100u64..3000).prop_map(deduplicated),
        Just(Effect::NonIdempotent),
    ]
}

fn operations() -> impl Strategy<Value = Operation> {
    let late_value_fraction = prop_oneof![Just(0.0), Just(0.5)];
    let fields = (
        effects(),
        50u64..900,
        0.0..5.0,
        late_value_fraction,
        any::<bool>(),
    );
    fields.prop_map(
        |(effect, target_ms, billed_value, late_value_fraction, stream)| Operation {
            latency_target: target_ms * MS,
            billed_value,
            late_value_fraction,
            stream: stream && late_value_fraction > 0.0,
            ..operation(effect)
        },
    )
}

fn node_counts() -> impl Strategy<Value = usize> {
    prop_oneof![1usize..6, 400usize..1000]
}

/// Optional features of a setup.
#[derive(Debug)]
struct Flags {
    allows_hedging: bool,
    withdraw: bool,
    allows_health_checks: bool,
    list_is_polled: bool,
    is_through: bool,
    has_advice_and_gossip: bool,
    removal_is_advisory: bool,
}

fn flags() -> impl Strategy<Value = Flags> {
    prop::array::uniform7(any::<bool>()).prop_map(|flags| Flags {
        allows_hedging: flags[0],
        withdraw: flags[1],
        allows_health_checks: flags[2],
        list_is_polled: flags[3],
        is_through: flags[4],
        has_advice_and_gossip: flags[5],
        removal_is_advisory: flags[6],
    })
}

fn setups() -> impl Strategy<Value = Setup> {
    let fields = (
        prop::collection::vec(operations(), 1..4),
        flags(),
        1usize..7,
        node_counts(),
        0usize..3,
        any::<u64>(),
    );
    fields.prop_map(|(operations, flags, max_forwards, nodes, tenants, seed)| {
        let mut setup = setup()
            .max_forwards(max_forwards)
            .nodes(nodes)
            .seed(seed)
            .quotas(&vec![20.0; tenants])
            .advisory_removal(flags.removal_is_advisory);
        setup.operations = operations;
        setup.limits.allows_hedging = flags.allows_hedging;
        setup.limits.withdraw = flags.withdraw;
        setup.limits.max_retry_after = flags.has_advice_and_gossip.then_some(SECOND);
        setup.environment.allows_health_checks = flags.allows_health_checks;
        setup.environment.list_is_polled = flags.list_is_polled;
        setup.environment.peers = flags.has_advice_and_gossip;
        if flags.is_through {
            setup.mode = OriginMode::Through;
        }
        setup
    })
}

const OUTCOMES: [Outcome; 10] = [
    Outcome::Succeeded,
    Outcome::Miss,
    Outcome::Full,
    Outcome::Unavailable,
    Outcome::Reset,
    Outcome::Error,
    Outcome::TimedOut,
    Outcome::NotSent,
    Outcome::Broken,
    Outcome::Succeeded,
];

/// The list entry of one of eight servers; the last is the origin.
fn server(index: CacheIndex) -> CacheRecord {
    record(index, if index == ORIGIN { ORIGIN_KIND } else { 0 })
}

/// Executes one legal step, derived from a random number.
fn step(node: &mut Harness, draw: u32) {
    let choice = (draw / 16) as usize;
    match draw % 16 {
        0..=6 => arrive(node, draw, choice),
        7..=11 => {
            if let Some((index, forward_index)) = any_in_flight(node, choice) {
                let outcome = OUTCOMES[(draw >> 20) as usize % OUTCOMES.len()];
                node.end(index, forward_index, outcome);
            }
        }
        12 => {
            if let Some((index, forward_index)) = any_in_flight(node, choice) {
                if draw & 0x100000 == 0 {
                    node.start_response(index, forward_index);
                } else {
                    node.close_client(index);
                }
            }
        }
        13 => change_one_server(node, draw, choice),
        14 if node.has_requested_list && draw & 0x1000 == 0 => node.list(ListKind::Lost, vec![]),
        14 => {
            let listed = (0..8).filter(|server| choice >> server & 1 == 0);
            node.list(ListKind::Full, listed.map(server).collect());
        }
        _ if choice % 8 == 7 => change_settings(node, draw),
        _ => node.receive_gossip(1 + choice % 4, vec![choice as u8; choice % 9]),
    }
    node.advance(u64::from(draw >> 24) % 40 * MS);
}

fn arrive(node: &mut Harness, draw: u32, choice: usize) {
    let operations = &node.setup.operations;
    let operation = node.first_operation + choice % (operations.len() - node.first_operation);
    let has_effect = operations[operation].effect != Effect::Idempotent;
    node.arrive(Request {
        operation,
        key: (draw & 0x2000 == 0).then_some(u64::from(draw >> 14) % 12),
        is_write: has_effect && draw & 0x1000 != 0,
        timeout: (u64::from(draw) >> 8) % 2500 * MS,
    });
}

fn any_in_flight(node: &Harness, choice: usize) -> Option<(InvocationIndex, usize)> {
    let in_flight = node.in_flight();
    in_flight.get(choice % in_flight.len().max(1)).copied()
}

fn change_one_server(node: &mut Harness, draw: u32, choice: usize) {
    let states = [
        LifecycleState::Ready,
        LifecycleState::Draining,
        LifecycleState::Left,
        LifecycleState::Ready,
    ];
    let has_started = draw & 0x100000 == 0;
    let changed = CacheRecord {
        state: states[choice / 8 % 4],
        ready_at: if has_started { node.now } else { 0 },
        ..server(choice % 8)
    };
    node.list(ListKind::Changes, vec![changed]);
}

/// Changes the settings while invocations are open.
fn change_settings(node: &mut Harness, draw: u32) {
    let mut operations = node.setup.operations[node.first_operation..].to_vec();
    let last = operations.len() - 1;
    let group = [Group::All, Group::Zone, Group::Cell][(draw >> 12) as usize % 3];
    operations[last].effect = match draw >> 14 & 3 {
        0 => Effect::Idempotent,
        1 => Effect::NonIdempotent,
        _ => Effect::Deduplicated {
            group,
            window: 200 * MS,
        },
    };
    operations[0].latency_target = (100 + u64::from(draw >> 24)) * MS;
    let limits = ForwardLimits {
        max_forwards: 1 + (draw >> 20) as usize % 4,
        allows_hedging: draw & 0x10000 != 0,
        withdraw: draw & 0x20000 != 0,
        ..node.setup.limits
    };
    node.apply_settings(operations, limits, 1 + (draw >> 24) as usize % 5);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(20),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_legal_traffic_breaks_the_safety_rules(
        setup in setups(),
        steps in prop::collection::vec(any::<u32>(), 50..250),
    ) {
        let mut node = Harness::new(setup, (0..8).map(server).collect());
        for draw in steps {
            step(&mut node, draw);
        }
        node.finish();
    }

    #[test]
    fn the_same_events_lead_to_the_same_actions(steps in prop::collection::vec(any::<u32>(), 50..150)) {
        let run = || {
            let mut node = Harness::new(setup(), (0..8).map(server).collect());
            steps.iter().for_each(|&draw| step(&mut node, draw));
            node.log
        };
        prop_assert_eq!(run(), run());
    }
}
