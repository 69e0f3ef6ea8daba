//! Which member is removed from a group, and when: how a member that was frozen judges the others.
use sparrouter_consensus::reconfiguration::Reconfiguration;
use sparrouter_consensus::{MILLISECOND, Member, Nanos, NodeObservation, SECOND, Settings, State};
use sparrouter_fleet::control::observation_window::ObservationWindow;

const SHARD: u16 = 1;
const INTERVAL: Nanos = 200 * MILLISECOND;
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

/// By which time a member judges that others are unresponsive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum JudgedBy {
    /// Since it could have heard from them.
    ObservationWindow,
    /// Since it last heard from them: the mistake that `ObservationWindow` guards against.
    LastContact,
}

/// A member observes the others while all respond, is frozen, and observes on. `responds_again`: the disks of those that
/// respond after that. Returns how long after the thaw it proposes a group, and which.
fn proposal_after_a_freeze(
    judged_by: JudgedBy,
    responds_again: &[u64],
) -> Option<(Nanos, Vec<Member>)> {
    let settings = Settings {
        contact_timeout: CONTACT,
        ..Settings::default()
    };
    let state = grown_group();
    let (mut reconfiguration, mut window) =
        (Reconfiguration::default(), ObservationWindow::default());
    let mut decide = |now: Nanos, contacted_at: [(u64, Nanos); 3]| {
        window.observe(CONTACT, now);
        let observation = |(disk, at): (u64, Nanos)| NodeObservation {
            member: member(disk),
            counts_toward_quorum: true,
            since_last_contact: Some(match judged_by {
                JudgedBy::ObservationWindow => window.unresponsive_for(at, now),
                JudgedBy::LastContact => now - at,
            }),
            leaving: false,
        };
        let observations = contacted_at.map(observation);
        reconfiguration.decide(SHARD, &member(1), &state, &observations, &settings, now)
    };
    let mut now = SECOND;
    while now < 6 * SECOND {
        assert_eq!(decide(now, [2, 3, 4].map(|disk| (disk, now))), None);
        now += INTERVAL;
    }
    let (frozen_at, thawed_at) = (now, now + FROZEN);
    now = thawed_at;
    while now < thawed_at + 10 * SECOND {
        // The first frames are read only after the first observation.
        let contacted_at = |disk: u64| match responds_again.contains(&disk) && now > thawed_at {
            true => (disk, now),
            false => (disk, frozen_at),
        };
        if let Some(group) = decide(now, [2, 3, 4].map(contacted_at)) {
            return Some((now - thawed_at, group));
        }
        now += INTERVAL;
    }
    None
}

#[test]
fn given_a_member_that_was_frozen_when_all_others_respond_again_then_it_removes_none() {
    assert_eq!(
        proposal_after_a_freeze(JudgedBy::ObservationWindow, &[2, 3, 4]),
        None
    );
    let injected = proposal_after_a_freeze(JudgedBy::LastContact, &[2, 3, 4]);
    let (delay, group) = injected.expect("the mistake is found");
    assert!(delay < SECOND && group.len() == 3, "{delay} {group:?}");
}

#[test]
fn given_a_member_that_was_frozen_when_one_stays_unresponsive_then_that_one_is_removed_after_the_time_out()
 {
    let proposal = proposal_after_a_freeze(JudgedBy::ObservationWindow, &[2, 4]);
    let (delay, group) = proposal.expect("a proposal");
    assert!((CONTACT..CONTACT + 2 * SECOND).contains(&delay), "{delay}");
    assert!(
        group.iter().all(|m| m.disk_id != 3) && group.len() == 3,
        "{group:?}"
    );
}
