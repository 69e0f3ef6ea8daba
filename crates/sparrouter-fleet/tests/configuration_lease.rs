//! When the lease on the configuration lets a node forward requests with API keys.
use sparrouter_fleet::node::configuration_lease::ConfigurationLease;
use sparrouter_fleet::settings::ProcessSettings;
use std::path::Path;
use std::time::Duration;

const MS: u64 = 1_000_000;

fn lease(strict: bool, revoke_timeout_ms: u32) -> ConfigurationLease {
    let text = format!(
        "node_name=n1\nip_address=10.1.0.21\ninternal_port_range=7360,7375\n\
         bounds.strict_revocation={strict}\nbounds.revoke_timeout_ms={revoke_timeout_ms}\n"
    );
    let settings = ProcessSettings::parse(Path::new("boot.conf"), &text).expect("valid settings");
    ConfigurationLease::new(&settings.bounds)
}

fn at(ms: i64) -> i64 {
    ms * 1_000_000
}

#[test]
fn given_no_strict_revocation_then_the_lease_is_always_valid() {
    let lease = lease(false, 5_000);
    assert!(!lease.is_needed());
    assert!(lease.is_valid(0) && lease.is_valid(u64::MAX));
    assert_eq!(
        lease.poll_wait(Duration::from_secs(9)),
        Duration::from_secs(9)
    );
}

#[test]
fn given_strict_revocation_when_no_read_is_confirmed_then_the_lease_is_not_valid() {
    assert!(!lease(true, 5_000).is_valid(0));
}

#[test]
fn given_a_confirmed_read_then_the_lease_expires_within_the_revoke_timeout_after_the_read_began() {
    let mut lease = lease(true, 5_000);
    lease.confirm(at(1_000), 4_000 * MS);
    assert!(lease.is_valid(5_499 * MS));
    assert!(!lease.is_valid(5_500 * MS));
    assert!(!lease.is_valid(u64::MAX));
}

#[test]
fn given_an_older_read_that_is_confirmed_later_then_the_lease_runs_from_the_newer_read() {
    let mut lease = lease(true, 5_000);
    lease.confirm(at(1_000), 1_000 * MS);
    lease.confirm(at(-2_000), 1_100 * MS);
    assert!(lease.is_valid(5_499 * MS));
    lease.confirm(at(2_000), 6_000 * MS);
    assert!(lease.is_valid(6_499 * MS));
}

#[test]
fn given_a_read_that_began_before_the_process_started_then_the_lease_is_valid_for_its_remaining_time()
 {
    let mut lease = lease(true, 5_000);
    lease.confirm(at(-4_000), 0);
    assert!(lease.is_valid(499 * MS));
    assert!(!lease.is_valid(500 * MS));
}

#[test]
fn given_a_short_revoke_timeout_then_several_reads_and_polls_fit_into_the_lease() {
    let lease = lease(true, 1_000);
    assert!(lease.renewal_interval(Duration::from_millis(500)) * 8 <= Duration::from_millis(900));
    assert!(lease.poll_wait(Duration::from_millis(1_200)) * 4 <= Duration::from_millis(900));
}
