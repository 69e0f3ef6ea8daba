//! The longest recent request duration of each route.
use sparrouter_routing::RouteDurations;

const SECOND: u64 = 1_000_000_000;

#[test]
fn given_no_recorded_duration_then_the_longest_duration_is_none() {
    assert_eq!(RouteDurations::default().longest("route"), None);
}

#[test]
fn given_several_durations_then_the_longest_of_each_route_is_returned() {
    let mut durations = RouteDurations::default();
    durations.record("slow", 3 * SECOND, SECOND);
    durations.record("slow", SECOND, 2 * SECOND);
    durations.record("fast", 2, 2 * SECOND);
    assert_eq!(durations.longest("slow"), Some(3 * SECOND));
    assert_eq!(durations.longest("fast"), Some(2));
}

#[test]
fn given_a_long_duration_when_two_windows_have_passed_then_it_is_dropped() {
    let mut durations = RouteDurations::default();
    durations.record("route", 9 * SECOND, SECOND);
    durations.record("route", SECOND, 31 * SECOND);
    assert_eq!(durations.longest("route"), Some(9 * SECOND));
    durations.record("route", SECOND, 62 * SECOND);
    assert_eq!(durations.longest("route"), Some(SECOND));
}

#[test]
fn given_no_request_for_two_windows_then_all_earlier_durations_are_dropped() {
    let mut durations = RouteDurations::default();
    durations.record("old", 9 * SECOND, SECOND);
    durations.record("new", SECOND, 120 * SECOND);
    assert_eq!(durations.longest("old"), None);
}
