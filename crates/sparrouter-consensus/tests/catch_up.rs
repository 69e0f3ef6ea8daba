//! Large states over narrow lines: what a member that is behind is sent, once, whole and checked, and what it may cost.
mod narrow_links;

use narrow_links::Group;
use sparrouter_consensus::message::{Outline, OutlinedMessage};
use sparrouter_consensus::{
    Action, BodyReference, Chunk, Defects, MILLISECOND, Member, Message, Nanos, Outcome, Record,
    Register, SECOND, Settings,
};

const BODY: usize = 120_000;
/// Of each line, bytes a second: a body takes some 0.4 s, as 500 KB do at 10 Mbit/s.
const LINE: u64 = 300_000;
const PATIENCE: Nanos = 10 * SECOND;
/// A body with the messages around it.
const ONE_COPY: u64 = BODY as u64 * 11 / 10;

fn settings(defects: Defects) -> Settings {
    Settings {
        chunk_bytes: 8 << 10,
        defects,
        ..Settings::default()
    }
}

fn settled(members: usize, defects: Defects) -> Group {
    let mut group = Group::new(members, BODY, LINE, settings(defects));
    let all = |g: &Group| (0..members).all(|i| g.is_confirmed(i));
    assert!(group.run_until(20 * SECOND, all), "the group starts");
    group
}

fn run_for(group: &mut Group, span: Nanos) {
    let until = group.now + span;
    group.run_until(until, |_| false);
}

/// A group whose third member was down while so many changes were made.
fn with_one_behind(missed: u64, defects: Defects) -> Group {
    let mut group = settled(3, defects);
    group.kill(2);
    for _ in 0..missed {
        let outcome = group.change(0, PATIENCE);
        assert!(matches!(outcome, Some(Outcome::Answered(_))), "{outcome:?}");
    }
    run_for(&mut group, 5 * SECOND);
    group.reset_traffic();
    group
}

fn caught_up(group: &Group) -> bool {
    group.is_confirmed(2) && group.count_on_disk(2) == group.count(0)
}

fn catches_up_with_one_copy(missed: u64, defects: Defects) -> bool {
    let mut group = with_one_behind(missed, defects);
    group.start(2);
    let until = group.now + 2 * SECOND;
    let done = group.run_until(until, caught_up);
    // What was asked for beyond it is under way still.
    run_for(&mut group, 2 * SECOND);
    done && group.traffic.bytes <= ONE_COPY && group.traffic.slowest_probe < 200 * MILLISECOND
}

#[test]
fn given_a_member_that_missed_any_number_of_changes_when_it_restarts_then_one_copy_suffices() {
    for missed in [1, 10, 100] {
        assert!(
            catches_up_with_one_copy(missed, Defects::default()),
            "{missed} missed"
        );
    }
}

#[test]
fn given_bodies_pushed_with_each_message_then_the_bound_on_copies_finds_it() {
    let defects = Defects {
        bodies_pushed: true,
        ..Defects::default()
    };
    assert!(!catches_up_with_one_copy(10, defects));
}

#[test]
fn given_changes_without_a_pause_when_a_member_restarts_then_it_catches_up_beside_them() {
    let mut group = with_one_behind(10, Defects::default());
    group.start(2);
    let began = group.now;
    let mut open = group.propose(0, PATIENCE);
    let (mut made, mut behind) = (0, 0);
    while group.now < began + 20 * SECOND {
        run_for(&mut group, 10 * MILLISECOND);
        if let Some(outcome) = group.take_outcome(open) {
            assert!(matches!(outcome, Outcome::Answered(_)), "{outcome:?}");
            made += 1;
            behind = behind.max(group.count(0) - group.count(2));
            open = group.propose(0, PATIENCE);
        }
        let late = group.now > began + 4 * SECOND;
        assert!(
            !late || group.count(0) - group.count(2) <= 3,
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
    run_for(&mut group, 350 * MILLISECOND);
    group.cut(Some(2));
    run_for(&mut group, 1_500 * MILLISECOND);
    group.cut(None);
    let until = group.now + 20 * SECOND;
    assert!(group.run_until(until, caught_up), "it ends after the break");
    group.traffic.bytes
}

#[test]
fn given_a_break_in_a_fetch_when_it_heals_then_it_goes_on_where_it_stopped() {
    let bytes = bytes_with_a_break(Defects::default());
    assert!(bytes <= ONE_COPY + 4 * (8 << 10), "{bytes}");
}

#[test]
fn given_fetches_that_begin_anew_after_a_break_then_the_bound_on_bytes_finds_it() {
    let bytes = bytes_with_a_break(Defects {
        fetch_from_start: true,
        ..Defects::default()
    });
    assert!(bytes > ONE_COPY + 4 * (8 << 10), "{bytes}");
}

#[test]
fn given_three_five_and_seven_members_when_a_change_is_made_then_each_gets_one_copy() {
    for members in [3, 5, 7] {
        let mut group = settled(members, Defects::default());
        group.reset_traffic();
        let outcome = group.change(0, PATIENCE);
        assert!(matches!(outcome, Some(Outcome::Answered(_))), "{outcome:?}");
        run_for(&mut group, 4 * SECOND);
        let traffic = group.traffic;
        let most = ONE_COPY * (members as u64 - 1);
        assert!(traffic.bytes <= most, "{members} members: {traffic:?}");
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

fn member(disk: u64) -> Member {
    Member {
        disk_id: disk,
        name: format!("node-{disk}"),
        address: format!("10.0.0.{disk}:8689"),
    }
}

/// A register, and the outlines of two votes after its own: an older and a newer one.
struct Behind {
    register: Register<narrow_links::Counter>,
    bodies: [Vec<u8>; 2],
    outlines: [Message; 2],
}

impl Behind {
    fn new(defects: Defects) -> Behind {
        let all: Vec<Member> = (1..=3).map(member).collect();
        let record = Record::bootstrap(all, vec![0; BODY]);
        let bodies = [1u8, 2].map(|fill| vec![fill; BODY]);
        let outline = |seq: u64, body: &[u8]| {
            let mut vote = record
                .accepted
                .as_ref()
                .expect("a first vote")
                .0
                .as_ref()
                .clone();
            vote.state.slot = seq;
            vote.state.recent_proposals = vec![seq];
            vote.number.term = seq;
            vote.state.body = Vec::new();
            Message::Outline(Outline {
                message: OutlinedMessage::Learn,
                vote: vote.into(),
                body: BodyReference::of(body),
            })
        };
        let outlines = [outline(5, &bodies[0]), outline(9, &bodies[1])];
        let register = Register::new(
            0,
            member(1),
            Some(&record.encode()),
            narrow_links::Counter,
            fastrand::Rng::with_seed(1),
            settings(defects),
            0,
        );
        Behind {
            register: register.expect("a good record"),
            bodies,
            outlines,
        }
    }

    /// Answers what the register fetches, garbled by `garble`, until it fetches nothing more.
    fn serve(&mut self, garble: impl Fn(&mut Vec<u8>)) -> usize {
        let mut served = 0;
        for _ in 0..1_000 {
            let actions = self.register.take_actions();
            let mut fetched = false;
            for action in actions {
                let Action::Send {
                    to,
                    message: Message::FetchChunk { body, offset },
                } = action
                else {
                    continue;
                };
                let whole = self.bodies.iter().find(|b| BodyReference::of(b) == body);
                let whole = whole.expect("a body that was offered");
                let end = (offset as usize + (8 << 10)).min(whole.len());
                let mut bytes = whole[offset as usize..end].to_vec();
                garble(&mut bytes);
                let piece = Message::BodyChunk {
                    body,
                    offset,
                    chunk: Chunk(bytes),
                };
                self.register.handle(to, piece, 1);
                (fetched, served) = (true, served + 1);
            }
            if !fetched {
                break;
            }
        }
        served
    }

    fn seq(&self) -> Option<u64> {
        self.register.chosen().map(|s| s.slot)
    }
}

#[test]
fn given_an_older_and_a_newer_state_offered_by_two_when_fetched_then_the_newest_wins() {
    for first in [0, 1] {
        let mut behind = Behind::new(Defects::default());
        let outlines = behind.outlines.clone();
        behind
            .register
            .handle(member(2), outlines[first].clone(), 0);
        behind
            .register
            .handle(member(3), outlines[1 - first].clone(), 0);
        behind.serve(|_| ());
        assert_eq!(behind.seq(), Some(9));
        let state = behind.register.chosen().expect("a state");
        assert_eq!(state.body, behind.bodies[1]);
    }
}

#[test]
fn given_the_same_state_offered_by_two_when_fetched_then_each_piece_is_asked_for_once() {
    let mut behind = Behind::new(Defects::default());
    let outline = behind.outlines[1].clone();
    behind.register.handle(member(2), outline.clone(), 0);
    behind.register.handle(member(3), outline.clone(), 0);
    behind.register.handle(member(3), outline, 0);
    assert_eq!(behind.serve(|_| ()), BODY.div_ceil(8 << 10));
    assert_eq!(behind.seq(), Some(9));
}

#[test]
fn given_garbled_pieces_when_the_last_has_come_then_the_body_is_not_taken() {
    let mut behind = Behind::new(Defects::default());
    let outline = behind.outlines[1].clone();
    behind.register.handle(member(2), outline.clone(), 0);
    behind.serve(|bytes| bytes[0] ^= 1);
    assert_eq!(behind.seq(), None);
    let counts = behind.register.transfer_counts();
    assert_eq!((counts.fetched, counts.damaged), (0, 1));
    // Offered again, it is fetched anew.
    behind.register.handle(member(2), outline, 0);
    behind.serve(|_| ());
    assert_eq!(behind.seq(), Some(9));
}

#[test]
fn given_bodies_that_are_not_checked_then_a_garbled_one_is_found() {
    let mut behind = Behind::new(Defects {
        body_unchecked: true,
        ..Defects::default()
    });
    let outline = behind.outlines[1].clone();
    behind.register.handle(member(2), outline, 0);
    behind.serve(|bytes| bytes[0] ^= 1);
    let state = behind.register.chosen().expect("it is taken");
    assert_ne!(state.body, behind.bodies[1]);
}

#[test]
fn given_pieces_that_were_not_asked_for_or_are_no_pieces_then_nothing_is_kept() {
    let mut behind = Behind::new(Defects::default());
    let body = BodyReference::of(&behind.bodies[1]);
    let piece = |offset: u32, length: usize| Message::BodyChunk {
        body,
        offset,
        chunk: Chunk(vec![2; length]),
    };
    behind.register.handle(member(2), piece(0, 8 << 10), 0);
    behind
        .register
        .handle(member(2), behind.outlines[1].clone(), 0);
    for (offset, length) in [(0, 1), (1, 8 << 10), (BODY as u32, 8 << 10), (u32::MAX, 0)] {
        behind.register.handle(member(2), piece(offset, length), 0);
    }
    assert_eq!(behind.serve(|_| ()), BODY.div_ceil(8 << 10));
    assert_eq!(behind.seq(), Some(9));
}

#[test]
fn given_a_holder_that_has_the_body_no_more_when_another_offered_it_then_that_one_is_asked() {
    let mut behind = Behind::new(Defects::default());
    let outline = behind.outlines[1].clone();
    let body = BodyReference::of(&behind.bodies[1]);
    behind.register.handle(member(2), outline.clone(), 0);
    behind.register.handle(member(3), outline, 0);
    behind.register.take_actions();
    behind
        .register
        .handle(member(2), Message::BodyUnavailable { body }, 0);
    // To each piece of the window it says so: one answer counts.
    behind
        .register
        .handle(member(2), Message::BodyUnavailable { body }, 0);
    assert_eq!(behind.serve(|_| ()), BODY.div_ceil(8 << 10));
    assert_eq!(behind.seq(), Some(9));
}

#[test]
fn given_a_body_that_was_offered_when_it_is_longer_than_any_may_be_then_it_is_not_asked_for() {
    let mut behind = Behind::new(Defects::default());
    let Message::Outline(mut outline) = behind.outlines[1].clone() else {
        panic!("an outline");
    };
    outline.body.length = u32::MAX;
    behind
        .register
        .handle(member(2), Message::Outline(outline), 0);
    assert_eq!(behind.serve(|_| ()), 0);
}

/// The votes that a member with an old state asks for once a majority promised, before it has the newer state that one
/// of the promises tells of; and after.
fn proposed_before_and_after_the_body(defects: Defects) -> (usize, Vec<u64>) {
    let mut behind = Behind::new(defects);
    behind.register.propose(1, vec![1], PATIENCE, 0);
    let mut ballot = None;
    for action in behind.register.take_actions() {
        match action {
            Action::Send {
                message: Message::Prepare { number: b, .. },
                ..
            } => ballot = Some(b),
            Action::Store { token, .. } => behind.register.stored(token, true, 1),
            _ => {}
        }
    }
    let ballot = ballot.expect("a ballot");
    let Message::Outline(mut promise) = behind.outlines[0].clone() else {
        panic!("an outline");
    };
    promise.message = OutlinedMessage::Promise { number: ballot };
    behind
        .register
        .handle(member(2), Message::Outline(promise), 1);
    let is_vote = |a: &Action| {
        let Action::Send { message, .. } = a else {
            return None;
        };
        match message {
            Message::Accept { vote } => Some(vote.state.slot),
            Message::Outline(outline) if outline.message == OutlinedMessage::Accept => {
                Some(outline.vote.state.slot)
            }
            _ => None,
        }
    };
    let actions = behind.register.take_actions();
    let early = actions.iter().filter_map(is_vote).count();
    let fetches = actions.into_iter().filter_map(|a| match a {
        Action::Send {
            message: Message::FetchChunk { body, offset },
            ..
        } => Some((body, offset)),
        _ => None,
    });
    let mut fetches: Vec<(BodyReference, u32)> = fetches.collect();
    let mut later = Vec::new();
    while let Some((body, offset)) = fetches.pop() {
        let end = (offset as usize + (8 << 10)).min(BODY);
        let chunk = Chunk(behind.bodies[0][offset as usize..end].to_vec());
        let piece = Message::BodyChunk {
            body,
            offset,
            chunk,
        };
        behind.register.handle(member(2), piece, 1);
        for action in behind.register.take_actions() {
            later.extend(is_vote(&action));
            if let Action::Send {
                message: Message::FetchChunk { body, offset },
                ..
            } = action
            {
                fetches.push((body, offset));
            }
        }
    }
    (early, later)
}

#[test]
fn given_a_promise_of_a_newer_state_when_its_body_is_not_here_then_nothing_is_proposed() {
    let (early, later) = proposed_before_and_after_the_body(Defects::default());
    assert_eq!(early, 0);
    assert!(
        !later.is_empty() && later.iter().all(|seq| *seq == 5),
        "the newer state is proposed again first: {later:?}"
    );
}

#[test]
fn given_promises_that_count_without_the_body_then_a_vote_for_the_old_state_is_found() {
    let (early, _) = proposed_before_and_after_the_body(Defects {
        promise_without_body: true,
        ..Defects::default()
    });
    assert!(early > 0);
}

/// The bodies that are asked for when another one is offered in the middle of a fetch, and the slot reached when all
/// pieces of the first one have come.
fn asked_after_an_offer_midway(defects: Defects) -> (Vec<BodyReference>, Option<u64>) {
    let mut behind = Behind::new(defects);
    let [older, newer] = behind.outlines.clone();
    let first = BodyReference::of(&behind.bodies[0]);
    behind.register.handle(member(2), older, 0);
    behind.register.take_actions();
    behind.register.handle(member(3), newer, 0);
    let asked = behind
        .register
        .take_actions()
        .into_iter()
        .filter_map(|a| match a {
            Action::Send {
                message: Message::FetchChunk { body, .. },
                ..
            } => Some(body),
            _ => None,
        });
    let asked = asked.collect();
    for offset in (0..BODY).step_by(8 << 10) {
        let end = (offset + (8 << 10)).min(BODY);
        let piece = Message::BodyChunk {
            body: first,
            offset: offset as u32,
            chunk: Chunk(behind.bodies[0][offset..end].to_vec()),
        };
        behind.register.handle(member(2), piece, 1);
    }
    (asked, behind.seq())
}

#[test]
fn given_a_newer_state_offered_in_the_middle_of_a_fetch_then_the_fetch_is_finished_first() {
    let (asked, seq) = asked_after_an_offer_midway(Defects::default());
    assert!(asked.is_empty(), "{asked:?}");
    assert_eq!(seq, Some(5));
}

#[test]
fn given_fetches_given_up_for_each_newer_state_then_it_is_found() {
    let (asked, seq) = asked_after_an_offer_midway(Defects {
        fetch_overtaken: true,
        ..Defects::default()
    });
    assert!(!asked.is_empty() && seq.is_none());
}
