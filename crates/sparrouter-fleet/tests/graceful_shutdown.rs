//! Which requests a process still admits after SIGTERM.
use sparrouter_fleet::node::shutdown::GracefulShutdown;
use std::time::Duration;
use tokio::time::Instant;

const MS: u64 = 1_000_000;

fn ms(of: u64) -> Duration {
    Duration::from_millis(of)
}

#[test]
fn given_a_grace_period_then_both_moments_of_the_schedule_follow_from_it() {
    let began = Instant::now();
    for grace_ms in [500, 1_000, 2_000, 4_000, 8_000, 30_000] {
        let shutdown = GracefulShutdown::new(began, ms(grace_ms));
        assert!(
            shutdown.notice_ends() - began <= ms(grace_ms) / 2,
            "{grace_ms}"
        );
        assert!(shutdown.process_ends() - began < ms(grace_ms), "{grace_ms}");
        assert!(
            shutdown.process_ends() - began >= ms(grace_ms * 95 / 100),
            "{grace_ms}"
        );
    }
}

#[test]
fn given_the_platform_has_not_noticed_yet_then_every_request_is_admitted() {
    let began = Instant::now();
    let shutdown = GracefulShutdown::new(began, ms(8_000));
    let just_before = shutdown.notice_ends() - ms(1);
    assert!(shutdown.admits(just_before, began + ms(60_000), None));
}

#[test]
fn given_the_platform_has_noticed_then_a_request_is_admitted_only_if_it_can_end() {
    let began = Instant::now();
    let shutdown = GracefulShutdown::new(began, ms(8_000));
    let now = began + ms(4_000);
    let ends = shutdown.process_ends();
    assert!(shutdown.admits(now, ends, None), "its deadline comes first");
    assert!(
        !shutdown.admits(now, ends + ms(1), None),
        "nothing is known of its route"
    );
    assert!(shutdown.admits(now, began + ms(60_000), Some(1_000 * MS)));
    assert!(
        !shutdown.admits(now, began + ms(60_000), Some(2_000 * MS)),
        "twice 2 s is over the end"
    );
    assert!(
        shutdown.admits(now, ends - ms(100), Some(9_000 * MS)),
        "its deadline comes first"
    );
}
