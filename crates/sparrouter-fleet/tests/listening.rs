//! Who is taken out of a group, and when: what a member that was frozen makes of the others.
use sparrouter_consensus::reconfiguration::Reconfiguration;
use sparrouter_consensus::{MILLISECOND, Member, Nanos, NodeObservation, SECOND, Settings, State};
use sparrouter_fleet::control::listening::Listening;

const SHARD: u16 = 1;
const LOOK: Nanos = 200 * MILLISECOND;
const FROZEN: Nanos = 20 * SECOND;
const CONTACT: Nanos = 3 * SECOND;

fn member(disk: u64) -> Member {
    Member {
        disk_id: disk,
        name: format!("core-{disk}"),
        address: format!("10.0.0.{disk}:7360"),
    }
}

/// A group of four that was founded with three.
fn grown_group() -> State {
    State {
        slot: 1,
        members: (1..=4).map(member).collect(),
        initial_size: 3,
        recent_proposals: Vec::new(),
        body: Vec::new(),
    }
}

/// How a member judges the silence of others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Judges {
    /// From when it could have heard them on.
    ByListening,
    /// From when it last heard them on: the mistake that `Listening` guards against.
    ByLastWord,
}

/// Looks for a while with all others speaking, is frozen, and looks on; `speaks_again`: who is heard of after that. Returns
/// how long after the thaw it proposes a group, and which.
fn proposal_after_a_freeze(judges: Judges, speaks_again: &[u64]) -> Option<(Nanos, Vec<Member>)> {
    let settings = Settings {
        contact_timeout: CONTACT,
        ..Settings::default()
    };
    let state = grown_group();
    let (mut reconfiguration, mut listening) = (Reconfiguration::default(), Listening::default());
    let mut decide = |now: Nanos, heard_at: [(u64, Nanos); 3]| {
        listening.observe(CONTACT, now);
        let observation = |(disk, at): (u64, Nanos)| NodeObservation {
            member: member(disk),
            counts_toward_quorum: true,
            since_last_contact: Some(match judges {
                Judges::ByListening => listening.unresponsive_for(at, now),
                Judges::ByLastWord => now - at,
            }),
            leaving: false,
        };
        let seen = heard_at.map(observation);
        reconfiguration.decide(SHARD, &member(1), &state, &seen, &settings, now)
    };
    let mut now = SECOND;
    while now < 6 * SECOND {
        assert_eq!(decide(now, [2, 3, 4].map(|disk| (disk, now))), None);
        now += LOOK;
    }
    let (frozen_at, thawed) = (now, now + FROZEN);
    now = thawed;
    while now < thawed + 10 * SECOND {
        // The first frames are read only after the first look.
        let heard_at = |disk: u64| match speaks_again.contains(&disk) && now > thawed {
            true => (disk, now),
            false => (disk, frozen_at),
        };
        if let Some(to) = decide(now, [2, 3, 4].map(heard_at)) {
            return Some((now - thawed, to));
        }
        now += LOOK;
    }
    None
}

#[test]
fn given_a_member_that_was_frozen_when_all_others_speak_again_then_it_takes_out_none() {
    assert_eq!(
        proposal_after_a_freeze(Judges::ByListening, &[2, 3, 4]),
        None
    );
    let planted = proposal_after_a_freeze(Judges::ByLastWord, &[2, 3, 4]);
    let (after, to) = planted.expect("the mistake is found");
    assert!(after < SECOND && to.len() == 3, "{after} {to:?}");
}

#[test]
fn given_a_member_that_was_frozen_when_one_stays_silent_then_that_one_is_taken_out_after_contact() {
    let proposal = proposal_after_a_freeze(Judges::ByListening, &[2, 4]);
    let (after, to) = proposal.expect("a proposal");
    assert!((CONTACT..CONTACT + 2 * SECOND).contains(&after), "{after}");
    assert!(to.iter().all(|m| m.disk_id != 3) && to.len() == 3, "{to:?}");
}
