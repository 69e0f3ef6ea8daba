//! The endpoint list: requested or pushed, lost subscriptions, wrong lists, and replaced servers.
mod harness;

use harness::*;
use sparrouter_lab::scripted::{Act, Server, target, until};
use std::io::BufRead;
use std::net::SocketAddr;
use std::sync::atomic::Ordering::SeqCst;
use std::thread::sleep;
use std::time::Instant;

#[test]
fn draining_and_removed_servers_get_nothing_and_a_lost_subscription_is_reopened() {
    let (a, b) = (Server::always(Act::Hit), Server::always(Act::Hit));
    let w = start_node(&[&a, &b], unused_address(), 256);
    until("the subscription", || w.discovery.calls() == 1);
    assert!(w.discovery.calls.lock().unwrap()[0].contains("watch=1&after=41"));
    let change = |rev: u32, state: &str| {
        format!(
            r#"{{"rev":{rev},"all":false,"targets":[{}],"new":{{"x":[1]}}}}"#,
            target("c0", a.at, "box", state)
        )
    };
    // The subscription is lost by its end here, and by an invalid line below. Each time the node opens a new one from
    // the known version.
    w.list(42, &change(42, "terminating"));
    let before = a.seen().len();
    w.reads("d", 20);
    assert!(a.seen().len() == before && !b.seen().is_empty());
    let calls = w.discovery.calls();
    w.discovery.say("{\"rev\":oops}");
    until("a new subscription", || w.discovery.calls() == calls + 1);
    assert!(w.discovery.calls.lock().unwrap()[calls].contains("after=42"));
    w.list(43, &change(43, "in_service"));
    w.reads_until("reads at the server that is in service again", "e", || {
        a.seen().len() > before
    });
    // A server that is missing in a full list has left.
    let all = format!(
        r#"{{"rev":44,"all":true,"targets":[{}]}}"#,
        target("c1", b.at, "box", "in_service")
    );
    w.list(44, &all);
    let before = a.seen().len();
    w.reads("f", 20);
    assert_eq!(a.seen().len(), before);
    // Discovery is partitioned: the connection stays open without traffic.
    let calls = w.discovery.calls();
    w.discovery.mute.store(1, SeqCst);
    until("a subscription after the timeout", || {
        w.discovery.calls() > calls
    });
}

/// Guards against wrong lists: if removals are advisory, running servers that are listed as terminated or not listed
/// still get forwards; a server that was draining before gets none.
#[test]
fn if_removals_are_advisory_only_draining_is_binding() {
    let (a, b) = (Server::always(Act::Hit), Server::always(Act::Hit));
    let settings = SETTINGS.replace(
        "\"FallUs\":1000000",
        "\"FallUs\":1000000,\"GoneIsAdvice\":true",
    );
    let w = start_node_with(&settings, &[&a, &b], unused_address(), 256);
    until("the subscription", || w.discovery.calls() == 1);
    let mut rev = 41;
    // Servers that must get reads eventually get some, even if a loaded machine delays one of them. Servers that must
    // not get reads get none of them.
    let mut reads = |all: bool, states: &[(usize, &str)], expected: (bool, bool)| {
        let addresses = [a.at, b.at];
        let target =
            |&(n, state): &(usize, &str)| target(&format!("c{n}"), addresses[n], "box", state);
        let targets: Vec<String> = states.iter().map(target).collect();
        rev += 1;
        let line = format!(
            r#"{{"rev":{rev},"all":{all},"targets":[{}]}}"#,
            targets.join(",")
        );
        w.list(rev, &line);
        let before = (a.seen().len(), b.seen().len());
        let got = || (a.seen().len() > before.0, b.seen().len() > before.1);
        w.reads(&format!("r{rev}-"), 30);
        w.reads_until("reads at each", &format!("s{rev}-"), || {
            let (a, b) = got();
            (a || !expected.0) && (b || !expected.1)
        });
        assert_eq!(got(), expected, "{line}");
    };
    let (both, only_second) = ((true, true), (false, true));
    reads(true, &[], both);
    reads(false, &[(0, "terminated"), (1, "terminated")], both);
    reads(false, &[(0, "in_service"), (1, "in_service")], both);
    reads(false, &[(0, "terminating")], only_second);
    reads(false, &[(0, "terminated")], only_second);
    reads(true, &[], only_second);
    reads(false, &[(0, "in_service")], both);
}

/// If the list is pushed, the policy requests nothing and the node maintains the subscription itself.
#[test]
fn a_pushed_list_is_subscribed_to_without_a_request() {
    let (a, b) = (Server::always(Act::Hit), Server::always(Act::Hit));
    let w = start_node_with(
        &SETTINGS.replace("subscribe", "automatic"),
        &[&a],
        unused_address(),
        256,
    );
    until("the subscription", || w.discovery.calls() == 1);
    let full_list = |rev: u32, uid: &str, address: SocketAddr| {
        format!(
            r#"{{"rev":{rev},"all":true,"targets":[{}]}}"#,
            target(uid, address, "box", "in_service")
        )
    };
    // A lost subscription is reopened immediately, from the known version.
    let start = Instant::now();
    w.discovery.say("end");
    until("a new subscription", || w.discovery.calls() == 2);
    assert!(start.elapsed() < 500 * MS, "{:?}", start.elapsed());
    assert!(w.discovery.calls.lock().unwrap()[1].contains("after=41"));
    w.list(42, &full_list(42, "c1", b.at));
    w.reads("n", 5);
    assert!(a.seen().is_empty());
    w.list(43, &full_list(43, "c0", a.at));
    let before = b.seen().len();
    w.reads("m", 5);
    assert!(!a.seen().is_empty() && b.seen().len() == before);
}

/// Guards against names, indices and actors that accumulate while cache servers are replaced.
#[test]
fn names_of_departed_cache_servers_are_released() {
    let cache = Server::always(Act::Hit);
    let mut w = start_node(&[&cache], unused_address(), 256);
    until("the subscription", || w.discovery.calls() == 1);
    let mut rev = 42;
    let mut say = |w: &TestNode, uid: &str, state: &str| {
        let entry = target(uid, cache.at, "box", state);
        w.discovery.say(&format!(
            r#"{{"rev":{rev},"all":false,"targets":[{entry}]}}"#
        ));
        rev += 1;
        until("the line", || w.discovery.feed.lock().unwrap().is_empty());
        sleep(20 * MS);
    };
    // Each server replaces the previous one at its address.
    for n in 0..5 {
        say(&w, &format!("n{n}"), "in_service");
        say(
            &w,
            &if n == 0 {
                "c0".to_string()
            } else {
                format!("n{}", n - 1)
            },
            "terminated",
        );
    }
    // Twice the longest client timeout later, the five departed servers are released, and a new server reuses one of
    // their indices.
    sleep(1900 * MS);
    say(&w, "unheard-of", "terminated");
    say(&w, "late", "in_service");
    say(&w, "n4", "terminated");
    w.reads("z", 10);
    let log = std::io::BufReader::new(w.node.stderr.take().unwrap());
    let mut lines = log.lines().map_while(Result::ok);
    assert!(lines.any(|l| l.contains("5 names of gone cache servers let go")));
}
