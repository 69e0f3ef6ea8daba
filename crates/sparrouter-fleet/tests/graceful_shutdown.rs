//! The schedule of a graceful shutdown: which requests a process still admits after SIGTERM.
use sparrouter_fleet::node::shutdown::GracefulShutdown;
use std::time::Duration;
use tokio::time::Instant;

const MS: u64 = 1_000_000;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[test]
fn given_a_grace_period_then_the_notice_ends_in_its_first_half_and_the_process_shortly_before_its_end()
 {
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
fn given_shutdown_not_yet_detected_by_the_platform_then_every_request_is_admitted() {
    let began = Instant::now();
    let shutdown = GracefulShutdown::new(began, ms(8_000));
    let just_before = shutdown.notice_ends() - ms(1);
    assert!(shutdown.admits(just_before, began + ms(60_000), None));
}

#[test]
fn given_shutdown_detected_by_the_platform_then_only_requests_that_can_end_in_time_are_admitted() {
    let began = Instant::now();
    let shutdown = GracefulShutdown::new(began, ms(8_000));
    let now = began + ms(4_000);
    let ends = shutdown.process_ends();
    assert!(
        shutdown.admits(now, ends, None),
        "the request's deadline is not after the end of the process"
    );
    assert!(
        !shutdown.admits(now, ends + ms(1), None),
        "no duration of the route was measured, and the deadline is too late"
    );
    assert!(shutdown.admits(now, began + ms(60_000), Some(1_000 * MS)));
    assert!(
        !shutdown.admits(now, began + ms(60_000), Some(2_000 * MS)),
        "twice 2 s ends after the process"
    );
    assert!(
        shutdown.admits(now, ends - ms(100), Some(9_000 * MS)),
        "the request's deadline is not after the end of the process"
    );
}
