//! Catch-up with large states over slow links: a member that is behind receives each body once, complete and checked,
//! at a bounded cost.
mod lagging_member;
mod narrow_links;

use lagging_member::{
    BODY_BYTES, CHUNK_BYTES, LaggingMember, chunk_of, fetched, member, proposed_slot, settings,
};
use narrow_links::Group;
use sparrouter_consensus::message::OutlinedMessage;
use sparrouter_consensus::{
    BodyReference, Chunk, Defects, MILLISECOND, Message, Nanos, Outcome, SECOND,
};

/// Bandwidth of each link. A body takes about 0.4 s, like 500 KB at 10 Mbit/s.
const BYTES_PER_SECOND: u64 = 300_000;
const TIMEOUT: Nanos = 10 * SECOND;
/// Maximum traffic in bytes of the transfer of one body, including all other messages.
const MAX_BYTES_FOR_ONE_BODY: u64 = BODY_BYTES as u64 * 11 / 10;

fn confirmed_group(members: usize, defects: Defects) -> Group {
    let mut group = Group::new(members, BODY_BYTES, BYTES_PER_SECOND, settings(defects));
    let all = |g: &Group| (0..members).all(|i| g.is_confirmed(i));
    assert!(
        group.run(20 * SECOND, all),
        "not all members read a confirmed state within 20 s"
    );
    group
}

/// A group whose third member was down during the last `missed` changes.
fn group_with_lagging_member(missed: u64, defects: Defects) -> Group {
    let mut group = confirmed_group(3, defects);
    group.kill(2);
    for _ in 0..missed {
        let outcome = group.change(0, TIMEOUT);
        assert!(matches!(outcome, Some(Outcome::Answered(_))), "{outcome:?}");
    }
    group.run_for(5 * SECOND);
    group.reset_traffic();
    group
}

fn has_caught_up(group: &Group) -> bool {
    group.is_confirmed(2) && group.count_on_disk(2) == group.count(0)
}

fn catches_up_with_one_body(missed: u64, defects: Defects) -> bool {
    let mut group = group_with_lagging_member(missed, defects);
    group.start(2);
    let end = group.now + 2 * SECOND;
    let is_caught_up = group.run(end, has_caught_up);
    // Counts chunks that were requested unnecessarily and are still in flight.
    group.run_for(2 * SECOND);
    is_caught_up
        && group.traffic.bytes <= MAX_BYTES_FOR_ONE_BODY
        && group.traffic.slowest_probe < 200 * MILLISECOND
}

#[test]
fn given_a_member_that_missed_1_to_100_changes_when_it_restarts_then_it_receives_one_copy_of_the_body()
 {
    for missed in [1, 10, 100] {
        assert!(
            catches_up_with_one_body(missed, Defects::default()),
            "{missed} missed changes"
        );
    }
}

#[test]
fn given_the_defect_that_always_inlines_bodies_when_a_member_catches_up_then_the_traffic_limit_is_exceeded()
 {
    let defects = Defects {
        always_inline_bodies: true,
        ..Defects::default()
    };
    assert!(!catches_up_with_one_body(10, defects));
}

#[test]
fn given_continuous_changes_when_a_member_restarts_then_it_catches_up() {
    let mut group = group_with_lagging_member(10, Defects::default());
    group.start(2);
    let start = group.now;
    let mut pending = group.propose(0, TIMEOUT);
    let mut completed = 0;
    while group.now < start + 20 * SECOND {
        group.run_for(10 * MILLISECOND);
        if let Some(outcome) = group.take_outcome(pending) {
            assert!(matches!(outcome, Outcome::Answered(_)), "{outcome:?}");
            completed += 1;
            pending = group.propose(0, TIMEOUT);
        }
        let must_have_caught_up = group.now > start + 4 * SECOND;
        assert!(
            !must_have_caught_up || group.count(0) - group.count(2) <= 3,
            "the restarted member has {} of {} changes",
            group.count(2),
            group.count(0)
        );
    }
    assert!(completed >= 10, "{completed} changes in 20 s");
    assert!(group.is_confirmed(2));
}

/// Traffic in bytes from the restart of a member until it has caught up, with a partition after most of the body has
/// arrived.
fn bytes_with_partition(defects: Defects) -> u64 {
    let mut group = group_with_lagging_member(5, defects);
    group.start(2);
    group.run_for(350 * MILLISECOND);
    group.isolate(2);
    group.run_for(1_500 * MILLISECOND);
    group.heal();
    let end = group.now + 20 * SECOND;
    assert!(
        group.run(end, has_caught_up),
        "the member did not catch up within 20 s after the partition"
    );
    group.traffic.bytes
}

#[test]
fn given_a_partition_during_a_fetch_when_it_heals_then_only_the_missing_chunks_are_requested() {
    let bytes = bytes_with_partition(Defects::default());
    assert!(
        bytes <= MAX_BYTES_FOR_ONE_BODY + 4 * CHUNK_BYTES as u64,
        "{bytes}"
    );
}

#[test]
fn given_the_defect_that_restarts_interrupted_fetches_when_a_partition_heals_then_the_traffic_limit_is_exceeded()
 {
    let bytes = bytes_with_partition(Defects {
        fetch_from_start: true,
        ..Defects::default()
    });
    assert!(
        bytes > MAX_BYTES_FOR_ONE_BODY + 4 * CHUNK_BYTES as u64,
        "{bytes}"
    );
}

#[test]
fn given_groups_of_3_5_and_7_when_a_change_is_made_then_each_other_member_receives_one_copy_of_the_body()
 {
    for members in [3, 5, 7] {
        let mut group = confirmed_group(members, Defects::default());
        group.reset_traffic();
        let outcome = group.change(0, TIMEOUT);
        assert!(matches!(outcome, Some(Outcome::Answered(_))), "{outcome:?}");
        group.run_for(4 * SECOND);
        let traffic = group.traffic;
        let max_bytes = MAX_BYTES_FOR_ONE_BODY * (members as u64 - 1);
        assert!(traffic.bytes <= max_bytes, "{members} members: {traffic:?}");
        assert!(
            traffic.slowest_probe < 500 * MILLISECOND,
            "{members} members: {traffic:?}"
        );
        assert!(
            traffic.longest <= 10 << 10,
            "{members} members: {traffic:?}"
        );
        assert!((0..members).all(|i| group.count_on_disk(i) == 1));
    }
}

#[test]
fn given_two_members_that_offer_different_states_when_fetched_then_the_newer_state_is_learned() {
    for first in [0, 1] {
        let mut lagging = LaggingMember::new(Defects::default());
        let outlines = lagging.outlines.clone();
        lagging
            .register
            .handle(member(2), outlines[first].clone(), 0);
        lagging
            .register
            .handle(member(3), outlines[1 - first].clone(), 0);
        lagging.serve(|_| ());
        assert_eq!(lagging.slot(), Some(9));
        let state = lagging.register.chosen().expect("a state");
        assert_eq!(state.body, lagging.bodies[1]);
    }
}

#[test]
fn given_two_members_that_offer_the_same_state_when_fetched_then_each_chunk_is_requested_once() {
    let mut lagging = LaggingMember::new(Defects::default());
    let outline = lagging.outlines[1].clone();
    lagging.register.handle(member(2), outline.clone(), 0);
    lagging.register.handle(member(3), outline.clone(), 0);
    lagging.register.handle(member(3), outline, 0);
    assert_eq!(lagging.serve(|_| ()), BODY_BYTES.div_ceil(CHUNK_BYTES));
    assert_eq!(lagging.slot(), Some(9));
}

#[test]
fn given_corrupted_chunks_when_all_chunks_have_arrived_then_the_body_is_discarded() {
    let mut lagging = LaggingMember::new(Defects::default());
    let outline = lagging.outlines[1].clone();
    lagging.register.handle(member(2), outline.clone(), 0);
    lagging.serve(|bytes| bytes[0] ^= 1);
    assert_eq!(lagging.slot(), None);
    let counts = lagging.register.transfer_counts();
    assert_eq!((counts.fetched, counts.damaged), (0, 1));
    // The body is fetched again when it is offered again.
    lagging.register.handle(member(2), outline, 0);
    lagging.serve(|_| ());
    assert_eq!(lagging.slot(), Some(9));
}

#[test]
fn given_the_defect_that_skips_the_digest_check_when_chunks_are_corrupted_then_a_wrong_body_is_learned()
 {
    let mut lagging = LaggingMember::new(Defects {
        skip_digest_check: true,
        ..Defects::default()
    });
    let outline = lagging.outlines[1].clone();
    lagging.register.handle(member(2), outline, 0);
    lagging.serve(|bytes| bytes[0] ^= 1);
    let state = lagging.register.chosen().expect("a learned state");
    assert_ne!(state.body, lagging.bodies[1]);
}

#[test]
fn given_unrequested_or_malformed_chunks_when_received_then_they_are_ignored() {
    let mut lagging = LaggingMember::new(Defects::default());
    let body = BodyReference::of(&lagging.bodies[1]);
    let chunk = |offset: u32, length: usize| Message::BodyChunk {
        body,
        offset,
        chunk: Chunk(vec![2; length]),
    };
    lagging.register.handle(member(2), chunk(0, CHUNK_BYTES), 0);
    lagging
        .register
        .handle(member(2), lagging.outlines[1].clone(), 0);
    for (offset, length) in [
        (0, 1),
        (1, CHUNK_BYTES),
        (BODY_BYTES as u32, CHUNK_BYTES),
        (u32::MAX, 0),
    ] {
        lagging.register.handle(member(2), chunk(offset, length), 0);
    }
    assert_eq!(lagging.serve(|_| ()), BODY_BYTES.div_ceil(CHUNK_BYTES));
    assert_eq!(lagging.slot(), Some(9));
}

#[test]
fn given_a_source_that_no_longer_has_the_body_when_another_member_offered_it_then_that_member_is_asked()
 {
    let mut lagging = LaggingMember::new(Defects::default());
    let outline = lagging.outlines[1].clone();
    let body = BodyReference::of(&lagging.bodies[1]);
    lagging.register.handle(member(2), outline.clone(), 0);
    lagging.register.handle(member(3), outline, 0);
    lagging.register.take_actions();
    lagging
        .register
        .handle(member(2), Message::BodyUnavailable { body }, 0);
    // The source answers once for each chunk in flight; only the first answer has an effect.
    lagging
        .register
        .handle(member(2), Message::BodyUnavailable { body }, 0);
    assert_eq!(lagging.serve(|_| ()), BODY_BYTES.div_ceil(CHUNK_BYTES));
    assert_eq!(lagging.slot(), Some(9));
}

#[test]
fn given_an_offered_body_when_its_length_exceeds_the_limit_then_it_is_not_fetched() {
    let mut lagging = LaggingMember::new(Defects::default());
    let Message::Outline(mut outline) = lagging.outlines[1].clone() else {
        panic!("expected an outline");
    };
    outline.body.length = u32::MAX;
    lagging
        .register
        .handle(member(2), Message::Outline(outline), 0);
    assert_eq!(lagging.serve(|_| ()), 0);
}

/// The slots that a member with an old state proposes after promises of a majority, one of which reports a newer state.
struct ProposedSlots {
    /// Slots proposed before the body of the newer state has arrived.
    before_the_body: Vec<u64>,
    /// Slots proposed after the body of the newer state has arrived.
    after_the_body: Vec<u64>,
}

fn proposed_slots(defects: Defects) -> ProposedSlots {
    let mut lagging = LaggingMember::new(defects);
    lagging.register.propose(1, vec![1], TIMEOUT, 0);
    let number = lagging.prepare_and_store();
    let Message::Outline(mut promise) = lagging.outlines[0].clone() else {
        panic!("expected an outline");
    };
    promise.message = OutlinedMessage::Promise { number };
    lagging
        .register
        .handle(member(2), Message::Outline(promise), 1);
    let actions = lagging.register.take_actions();
    let before_the_body = actions.iter().filter_map(proposed_slot).collect();
    let mut fetches: Vec<(BodyReference, u32)> = actions.iter().filter_map(fetched).collect();
    let mut after_the_body = Vec::new();
    while let Some((body, offset)) = fetches.pop() {
        let chunk = chunk_of(&lagging.bodies[0], body, offset);
        lagging.register.handle(member(2), chunk, 1);
        let actions = lagging.register.take_actions();
        after_the_body.extend(actions.iter().filter_map(proposed_slot));
        fetches.extend(actions.iter().filter_map(fetched));
    }
    ProposedSlots {
        before_the_body,
        after_the_body,
    }
}

#[test]
fn given_a_promise_that_reports_a_newer_state_when_its_body_has_not_arrived_then_nothing_is_proposed()
 {
    let slots = proposed_slots(Defects::default());
    assert_eq!(slots.before_the_body, []);
    let after = slots.after_the_body;
    assert!(
        !after.is_empty() && after.iter().all(|slot| *slot == 5),
        "expected only proposals of the newer state's slot 5, got slots {after:?}"
    );
}

#[test]
fn given_the_defect_that_counts_promises_without_bodies_when_promised_then_a_slot_is_proposed_too_early()
 {
    let slots = proposed_slots(Defects {
        promise_without_body: true,
        ..Defects::default()
    });
    assert!(!slots.before_the_body.is_empty());
}

/// The effect of a newer body that is offered during a fetch.
struct OfferDuringFetch {
    /// Bodies requested because of the offer.
    requested: Vec<BodyReference>,
    /// The newest chosen slot known after all chunks of the first body have arrived.
    slot: Option<u64>,
}

fn offer_during_fetch(defects: Defects) -> OfferDuringFetch {
    let mut lagging = LaggingMember::new(defects);
    let [older, newer] = lagging.outlines.clone();
    let first = BodyReference::of(&lagging.bodies[0]);
    lagging.register.handle(member(2), older, 0);
    lagging.register.take_actions();
    lagging.register.handle(member(3), newer, 0);
    let actions = lagging.register.take_actions();
    let requested = actions.iter().filter_map(fetched).map(|(body, _)| body);
    let requested = requested.collect();
    for offset in (0..BODY_BYTES).step_by(CHUNK_BYTES) {
        let chunk = chunk_of(&lagging.bodies[0], first, offset as u32);
        lagging.register.handle(member(2), chunk, 1);
    }
    OfferDuringFetch {
        requested,
        slot: lagging.slot(),
    }
}

#[test]
fn given_an_active_fetch_when_a_newer_state_is_offered_then_the_fetch_is_completed_first() {
    let offer = offer_during_fetch(Defects::default());
    assert!(offer.requested.is_empty(), "{:?}", offer.requested);
    assert_eq!(offer.slot, Some(5));
}

#[test]
fn given_the_defect_that_abandons_active_fetches_when_a_newer_state_is_offered_then_the_fetch_never_completes()
 {
    let offer = offer_during_fetch(Defects {
        abandon_active_fetch: true,
        ..Defects::default()
    });
    assert!(!offer.requested.is_empty() && offer.slot.is_none());
}
