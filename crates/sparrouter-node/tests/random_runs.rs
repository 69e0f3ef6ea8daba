//! Random runs of one node: the rules are checked after every invocation.
mod harness;

use harness::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use sparrouter_lab::scripted::{Act, ReceivedForward, Server, until};
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::thread::{self, sleep};
use std::time::Instant;

fn act() -> impl Strategy<Value = Act> {
    let plain = [
        Act::Hit,
        Act::Hit,
        Act::Miss,
        Act::Miss,
        Act::NotRun,
        Act::Broken,
        Act::Reset,
        Act::Half,
    ];
    let plain = prop::sample::select([&plain[..], &[Act::Hit, Act::Hit, Act::NoAnswer]].concat());
    prop_oneof![6 => plain, 1 => (1u32..500).prop_map(Act::Late)]
}

/// One invocation of a run: its operation, whether its client leaves, and its key.
type Call = (&'static str, bool, u8);

/// Runs invocations against three servers and the origin, each with its own sequence of acts. Some invocations are
/// writes, and some clients disconnect. Each invocation is checked as soon as it is complete.
fn play(acts: [Vec<Act>; 4], calls: Vec<Call>) {
    let servers = acts.map(|acts| {
        let next = AtomicUsize::new(0);
        Server::start(move |_| acts[next.fetch_add(1, SeqCst) % acts.len()])
    });
    let [a, b, c, origin] = &servers;
    let w = start_node(&[a, b, c], origin.at, 256);
    thread::scope(|scope| {
        for (n, call) in calls.into_iter().enumerate() {
            let (w, servers) = (&w, &servers);
            scope.spawn(move || invoke(w, servers, &format!("i{n}"), call));
            sleep(10 * MS);
        }
    });
}

fn invoke(w: &TestNode, servers: &[Server], id: &str, (operation, client_leaves, key): Call) {
    let mut stream = w.client();
    let (method, body) = if operation == "get" {
        ("GET", "")
    } else {
        ("PUT", "new")
    };
    let start = Instant::now();
    let path = format!("/api/{key}");
    send_request(&mut stream, method, &path, id, operation, body);
    if client_leaves {
        sleep(20 * MS);
        return;
    }
    let (status, _, body) = read_answer(&mut stream).expect("one answer");
    // Slack of the settings and of a loaded machine.
    assert!(start.elapsed() < 1200 * MS, "answered in time");
    let received = || {
        servers
            .iter()
            .flat_map(|s| s.seen())
            .filter(|s| s.id() == id)
            .collect::<Vec<_>>()
    };
    // Includes cancelled forwards, which the scripted servers notice with a delay.
    until("the end of all forwards", || {
        received().iter().all(|s| s.until.is_some())
    });
    check(&received(), status, &body, operation, id);
    // Nothing is sent after the answer, and no second answer follows. On a loaded machine a forward that was sent
    // before may be read late; a forward that is sent afterwards violates an invariant of the program.
    sleep(100 * MS);
    let count = received().len();
    sleep(100 * MS);
    stream.set_nonblocking(true).unwrap();
    assert!(received().len() == count && !is_closed(&stream));
}

fn check(requests: &[ReceivedForward], status: u16, body: &str, operation: &str, id: &str) {
    assert!(matches!(status, 200 | 502 | 503) && requests.len() <= 4);
    let ran = |s: &ReceivedForward| !matches!(s.act, Act::NotRun | Act::Miss);
    if status == 200 {
        assert_eq!(body, format!("value of {id}"));
        assert!(
            requests
                .iter()
                .any(|s| matches!(s.act, Act::Hit | Act::Late(_)))
        );
    }
    let mut requests = requests.to_vec();
    requests.sort_by_key(|s| s.from);
    let may_have_run: Vec<Instant> = requests.iter().filter(|s| ran(s)).map(|s| s.from).collect();
    if operation == "pay" {
        assert!(
            may_have_run.len() <= 1 && (status != 503 || may_have_run.is_empty()),
            "{status} {requests:?}"
        );
    }
    if let (Some(first), Some(last), "mark") = (may_have_run.first(), requests.last(), operation) {
        // The window of the settings, plus the transmission time.
        assert!(last.from < *first + 350 * MS, "{requests:?}");
    }
    for pair in requests.windows(2) {
        // The scripted server notices a cancelled forward with a delay, which is longer on a loaded machine.
        let over = pair[0]
            .until
            .is_some_and(|until| until <= pair[1].from + 150 * MS);
        assert!(over, "two forwards in flight at once: {pair:?}");
    }
}

#[test]
fn random_runs_keep_the_rules() {
    let config = Config {
        cases: 12,
        max_shrink_iters: 0,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let acts = || prop::collection::vec(act(), 1..12);
    let operation = prop::sample::select(vec!["get", "get", "get", "get", "pay", "mark"]);
    let calls = prop::collection::vec((operation, prop::bool::weighted(0.1), 0u8..9), 1..40);
    let all = ([acts(), acts(), acts(), acts()], calls);
    TestRunner::new_with_rng(config, rng)
        .run(&all, |(acts, calls)| {
            play(acts, calls);
            Ok(())
        })
        .unwrap();
}
