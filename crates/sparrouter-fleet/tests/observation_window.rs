//! Removal of unresponsive members from a consensus group: when a member that was frozen considers the others
//! unresponsive.
use sparrouter_consensus::reconfiguration::Reconfiguration;
use sparrouter_consensus::{MILLISECOND, Member, Nanos, NodeObservation, SECOND, Settings, State};
use sparrouter_fleet::control::observation_window::ObservationWindow;

const SHARD: u16 = 1;
const INTERVAL: Nanos = 200 * MILLISECOND;
const FREEZE_DURATION: Nanos = 20 * SECOND;
const CONTACT_TIMEOUT: Nanos = 3 * SECOND;

fn member(disk: u64) -> Member {
    Member {
        disk_id: disk,
        name: format!("core-{disk}"),
        address: format!("10.0.0.{disk}:7360"),
    }
}

/// A group of four members that initially had three.
fn grown_group() -> State {
    State {
        slot: 1,
        members: (1..=4).map(member).collect(),
        initial_size: 3,
        recent_proposals: Vec::new(),
        body: Vec::new(),
    }
}

/// How a member determines for how long another member has been unresponsive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DetectionBasis {
    /// Since both the last contact and the start of the observation window.
    ObservationWindow,
    /// Only since the last contact: the error that `ObservationWindow` prevents.
    LastContact,
}

/// A member observes the others while all respond, is frozen, and then continues to observe. `responsive_disks`: the
/// disk ids of the members that respond after the freeze. Returns the group that the member proposes after the freeze
/// and the delay until it does; `None` if it proposes none.
fn proposal_after_freeze(
    detection_basis: DetectionBasis,
    responsive_disks: &[u64],
) -> Option<(Nanos, Vec<Member>)> {
    let settings = Settings {
        contact_timeout: CONTACT_TIMEOUT,
        ..Settings::default()
    };
    let state = grown_group();
    let (mut reconfiguration, mut window) =
        (Reconfiguration::default(), ObservationWindow::default());
    let mut decide = |now: Nanos, contacted_at: [(u64, Nanos); 3]| {
        window.observe(CONTACT_TIMEOUT, now);
        let observation = |(disk, last_contact_at): (u64, Nanos)| NodeObservation {
            member: member(disk),
            counts_toward_quorum: true,
            since_last_contact: Some(match detection_basis {
                DetectionBasis::ObservationWindow => window.unresponsive_for(last_contact_at, now),
                DetectionBasis::LastContact => now - last_contact_at,
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
    let (frozen_at, resumed_at) = (now, now + FREEZE_DURATION);
    now = resumed_at;
    while now < resumed_at + 10 * SECOND {
        // The first messages are read only after the first observation.
        let contacted_at = |disk: u64| match responsive_disks.contains(&disk) && now > resumed_at {
            true => (disk, now),
            false => (disk, frozen_at),
        };
        if let Some(group) = decide(now, [2, 3, 4].map(contacted_at)) {
            return Some((now - resumed_at, group));
        }
        now += INTERVAL;
    }
    None
}

#[test]
fn given_a_member_that_was_frozen_when_all_others_respond_again_then_it_removes_no_member() {
    assert_eq!(
        proposal_after_freeze(DetectionBasis::ObservationWindow, &[2, 3, 4]),
        None
    );
    let faulty_proposal = proposal_after_freeze(DetectionBasis::LastContact, &[2, 3, 4]);
    let (delay, group) = faulty_proposal.expect("detection by the last contact proposes a removal");
    assert!(delay < SECOND && group.len() == 3, "{delay} {group:?}");
}

#[test]
fn given_a_member_that_was_frozen_when_one_other_stays_unresponsive_then_it_is_removed_after_the_timeout()
 {
    let proposal = proposal_after_freeze(DetectionBasis::ObservationWindow, &[2, 4]);
    let (delay, group) = proposal.expect("a proposal");
    assert!(
        (CONTACT_TIMEOUT..CONTACT_TIMEOUT + 2 * SECOND).contains(&delay),
        "{delay}"
    );
    assert!(
        group.iter().all(|m| m.disk_id != 3) && group.len() == 3,
        "{group:?}"
    );
}
