//! Large states over slow links: a member that is behind receives each body once, complete and checked, at a bounded cost.
mod lagging_member;
mod narrow_links;

use lagging_member::{
    BODY, CHUNK, LaggingMember, chunk_of, fetched, member, proposed_slot, settings,
};
use narrow_links::Group;
use sparrouter_consensus::message::OutlinedMessage;
use sparrouter_consensus::{
    BodyReference, Chunk, Defects, MILLISECOND, Message, Nanos, Outcome, SECOND,
};

/// Of each link: a body takes some 0.4 s, as 500 KB do at 10 Mbit/s.
const BYTES_PER_SECOND: u64 = 300_000;
const TIMEOUT: Nanos = 10 * SECOND;
/// A body with the messages around it.
const MAX_BYTES_FOR_ONE_BODY: u64 = BODY as u64 * 11 / 10;

fn confirmed_group(members: usize, defects: Defects) -> Group {
    let mut group = Group::new(members, BODY, BYTES_PER_SECOND, settings(defects));
    let all = |g: &Group| (0..members).all(|i| g.is_confirmed(i));
    assert!(group.run(20 * SECOND, all), "the group starts");
    group
}

/// A group whose third member was down while so many changes were made.
fn with_one_behind(missed: u64, defects: Defects) -> Group {
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

fn caught_up(group: &Group) -> bool {
    group.is_confirmed(2) && group.count_on_disk(2) == group.count(0)
}

fn catches_up_with_one_body(missed: u64, defects: Defects) -> bool {
    let mut group = with_one_behind(missed, defects);
    group.start(2);
    let end = group.now + 2 * SECOND;
    let is_caught_up = group.run(end, caught_up);
    // What was requested beyond it is still in flight.
    group.run_for(2 * SECOND);
    is_caught_up
        && group.traffic.bytes <= MAX_BYTES_FOR_ONE_BODY
        && group.traffic.slowest_probe < 200 * MILLISECOND
}

#[test]
fn given_a_member_that_missed_any_number_of_changes_when_it_restarts_then_one_copy_suffices() {
    for missed in [1, 10, 100] {
        assert!(
            catches_up_with_one_body(missed, Defects::default()),
            "{missed} missed"
        );
    }
}

#[test]
fn given_bodies_pushed_with_each_message_then_the_bound_on_copies_finds_it() {
    let defects = Defects {
        always_inline_bodies: true,
        ..Defects::default()
    };
    assert!(!catches_up_with_one_body(10, defects));
}

#[test]
fn given_changes_without_a_pause_when_a_member_restarts_then_it_catches_up_beside_them() {
    let mut group = with_one_behind(10, Defects::default());
    group.start(2);
    let start = group.now;
    let mut open = group.propose(0, TIMEOUT);
    let mut made = 0;
    while group.now < start + 20 * SECOND {
        group.run_for(10 * MILLISECOND);
        if let Some(outcome) = group.take_outcome(open) {
            assert!(matches!(outcome, Outcome::Answered(_)), "{outcome:?}");
            made += 1;
            open = group.propose(0, TIMEOUT);
        }
        let is_late = group.now > start + 4 * SECOND;
        assert!(
            !is_late || group.count(0) - group.count(2) <= 3,
            "{} of {}",
            group.count(2),
            group.count(0)
        );
    }
    assert!(made >= 10, "{made} changes in 20 s");
    assert!(group.is_confirmed(2));
}

/// Bytes from the restart of a member to its end, with the connection broken after most of the body came.
fn bytes_with_a_break(defects: Defects) -> u64 {
    let mut group = with_one_behind(5, defects);
    group.start(2);
    group.run_for(350 * MILLISECOND);
    group.isolate(2);
    group.run_for(1_500 * MILLISECOND);
    group.heal();
    let end = group.now + 20 * SECOND;
    assert!(group.run(end, caught_up), "it ends after the break");
    group.traffic.bytes
}

#[test]
fn given_a_break_in_a_fetch_when_it_heals_then_it_goes_on_where_it_stopped() {
    let bytes = bytes_with_a_break(Defects::default());
    assert!(
        bytes <= MAX_BYTES_FOR_ONE_BODY + 4 * CHUNK as u64,
        "{bytes}"
    );
}

#[test]
fn given_fetches_that_begin_anew_after_a_break_then_the_bound_on_bytes_finds_it() {
    let bytes = bytes_with_a_break(Defects {
        fetch_from_start: true,
        ..Defects::default()
    });
    assert!(bytes > MAX_BYTES_FOR_ONE_BODY + 4 * CHUNK as u64, "{bytes}");
}

#[test]
fn given_three_five_and_seven_members_when_a_change_is_made_then_each_gets_one_copy() {
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
fn given_an_older_and_a_newer_state_offered_by_two_when_fetched_then_the_newest_wins() {
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
fn given_the_same_state_offered_by_two_when_fetched_then_each_piece_is_asked_for_once() {
    let mut lagging = LaggingMember::new(Defects::default());
    let outline = lagging.outlines[1].clone();
    lagging.register.handle(member(2), outline.clone(), 0);
    lagging.register.handle(member(3), outline.clone(), 0);
    lagging.register.handle(member(3), outline, 0);
    assert_eq!(lagging.serve(|_| ()), BODY.div_ceil(CHUNK));
    assert_eq!(lagging.slot(), Some(9));
}

#[test]
fn given_garbled_pieces_when_the_last_has_come_then_the_body_is_not_taken() {
    let mut lagging = LaggingMember::new(Defects::default());
    let outline = lagging.outlines[1].clone();
    lagging.register.handle(member(2), outline.clone(), 0);
    lagging.serve(|bytes| bytes[0] ^= 1);
    assert_eq!(lagging.slot(), None);
    let counts = lagging.register.transfer_counts();
    assert_eq!((counts.fetched, counts.damaged), (0, 1));
    // Offered again, it is fetched anew.
    lagging.register.handle(member(2), outline, 0);
    lagging.serve(|_| ());
    assert_eq!(lagging.slot(), Some(9));
}

#[test]
fn given_bodies_that_are_not_checked_then_a_garbled_one_is_found() {
    let mut lagging = LaggingMember::new(Defects {
        skip_digest_check: true,
        ..Defects::default()
    });
    let outline = lagging.outlines[1].clone();
    lagging.register.handle(member(2), outline, 0);
    lagging.serve(|bytes| bytes[0] ^= 1);
    let state = lagging.register.chosen().expect("it is taken");
    assert_ne!(state.body, lagging.bodies[1]);
}

#[test]
fn given_pieces_that_were_not_asked_for_or_are_no_pieces_then_nothing_is_kept() {
    let mut lagging = LaggingMember::new(Defects::default());
    let body = BodyReference::of(&lagging.bodies[1]);
    let chunk = |offset: u32, length: usize| Message::BodyChunk {
        body,
        offset,
        chunk: Chunk(vec![2; length]),
    };
    lagging.register.handle(member(2), chunk(0, CHUNK), 0);
    lagging
        .register
        .handle(member(2), lagging.outlines[1].clone(), 0);
    for (offset, length) in [(0, 1), (1, CHUNK), (BODY as u32, CHUNK), (u32::MAX, 0)] {
        lagging.register.handle(member(2), chunk(offset, length), 0);
    }
    assert_eq!(lagging.serve(|_| ()), BODY.div_ceil(CHUNK));
    assert_eq!(lagging.slot(), Some(9));
}

#[test]
fn given_a_holder_that_has_the_body_no_more_when_another_offered_it_then_that_one_is_asked() {
    let mut lagging = LaggingMember::new(Defects::default());
    let outline = lagging.outlines[1].clone();
    let body = BodyReference::of(&lagging.bodies[1]);
    lagging.register.handle(member(2), outline.clone(), 0);
    lagging.register.handle(member(3), outline, 0);
    lagging.register.take_actions();
    lagging
        .register
        .handle(member(2), Message::BodyUnavailable { body }, 0);
    // The answer comes once for each chunk of the window; one of them counts.
    lagging
        .register
        .handle(member(2), Message::BodyUnavailable { body }, 0);
    assert_eq!(lagging.serve(|_| ()), BODY.div_ceil(CHUNK));
    assert_eq!(lagging.slot(), Some(9));
}

#[test]
fn given_a_body_that_was_offered_when_it_is_longer_than_any_may_be_then_it_is_not_asked_for() {
    let mut lagging = LaggingMember::new(Defects::default());
    let Message::Outline(mut outline) = lagging.outlines[1].clone() else {
        panic!("an outline");
    };
    outline.body.length = u32::MAX;
    lagging
        .register
        .handle(member(2), Message::Outline(outline), 0);
    assert_eq!(lagging.serve(|_| ()), 0);
}

/// Slots that a member with an old state proposes once a majority promised, where one of the promises reports a newer
/// state.
struct ProposedSlots {
    /// Before the body of that newer state is here.
    before_the_body: Vec<u64>,
    after_the_body: Vec<u64>,
}

fn proposed_slots(defects: Defects) -> ProposedSlots {
    let mut lagging = LaggingMember::new(defects);
    lagging.register.propose(1, vec![1], TIMEOUT, 0);
    let number = lagging.prepare_and_store();
    let Message::Outline(mut promise) = lagging.outlines[0].clone() else {
        panic!("an outline");
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
fn given_a_promise_of_a_newer_state_when_its_body_is_not_here_then_nothing_is_proposed() {
    let slots = proposed_slots(Defects::default());
    assert_eq!(slots.before_the_body, []);
    let after = slots.after_the_body;
    assert!(
        !after.is_empty() && after.iter().all(|slot| *slot == 5),
        "the newer state is proposed again first: {after:?}"
    );
}

#[test]
fn given_promises_that_count_without_the_body_then_a_vote_for_the_old_state_is_found() {
    let slots = proposed_slots(Defects {
        promise_without_body: true,
        ..Defects::default()
    });
    assert!(!slots.before_the_body.is_empty());
}

/// What happens when a newer body is offered in the middle of a fetch.
struct OfferMidway {
    /// Bodies requested for that offer.
    requested: Vec<BodyReference>,
    /// The slot reached when all chunks of the first body have come.
    slot: Option<u64>,
}

fn offer_midway(defects: Defects) -> OfferMidway {
    let mut lagging = LaggingMember::new(defects);
    let [older, newer] = lagging.outlines.clone();
    let first = BodyReference::of(&lagging.bodies[0]);
    lagging.register.handle(member(2), older, 0);
    lagging.register.take_actions();
    lagging.register.handle(member(3), newer, 0);
    let actions = lagging.register.take_actions();
    let requested = actions.iter().filter_map(fetched).map(|(body, _)| body);
    let requested = requested.collect();
    for offset in (0..BODY).step_by(CHUNK) {
        let chunk = chunk_of(&lagging.bodies[0], first, offset as u32);
        lagging.register.handle(member(2), chunk, 1);
    }
    OfferMidway {
        requested,
        slot: lagging.slot(),
    }
}

#[test]
fn given_a_newer_state_offered_in_the_middle_of_a_fetch_then_the_fetch_is_finished_first() {
    let offer = offer_midway(Defects::default());
    assert!(offer.requested.is_empty(), "{:?}", offer.requested);
    assert_eq!(offer.slot, Some(5));
}

#[test]
fn given_fetches_given_up_for_each_newer_state_then_it_is_found() {
    let offer = offer_midway(Defects {
        abandon_active_fetch: true,
        ..Defects::default()
    });
    assert!(!offer.requested.is_empty() && offer.slot.is_none());
}
