//! A server runs a request and its answer is lost, inside the fleet or on its way to the client: how often the request
//! runs over all nodes, and what its client is told. Whole nodes, servers and clients; TWICE, REFUSED, MIXED and ORDER are
//! judged by their checkers.
mod scripted;

use scripted::{Reaction, ScriptedRequest, Servers};
use sparrouter_fleet::platform::defects::{Defect, inject};
use sparrouter_simulation::client::{ClientRequest, RequestOutcome};
use sparrouter_simulation::cluster::{ClusterSettings, SimulatedCluster, request};
use sparrouter_simulation::configuration::RouteKind;
use sparrouter_simulation::runtime::play;
use sparrouter_simulation::server::ServerFaults;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

const SEEDS: std::ops::Range<u64> = 700..703;
/// Runs and answers that are still to come would come within this time.
const LATE_RUNS: Duration = Duration::from_secs(2);
const ONCE: [(RouteKind, &str); 2] = [
    (RouteKind::NonIdempotent, "b20"),
    (RouteKind::Streaming, "s4"),
];
const REPEATABLE: [(RouteKind, &str); 2] =
    [(RouteKind::Idempotent, "b20"), (RouteKind::Resumable, "s4")];
const RESETS: ServerFaults = ServerFaults {
    breaks: 0.0,
    resets: 1.0,
    surplus: 0.0,
    garbles: 0.0,
    hangs: 0.0,
    rots: 0.0,
    fails: 0.0,
};
const SILENCE: ServerFaults = ServerFaults {
    resets: 0.0,
    hangs: 1.0,
    ..RESETS
};
const BREAKS: ServerFaults = ServerFaults {
    resets: 0.0,
    breaks: 1.0,
    ..RESETS
};

/// One request of a client, as servers and the client saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Story {
    outcome: RequestOutcome,
    /// Runs over all servers, by the id of the attempt.
    runs: Vec<String>,
    /// Status of each attempt of the client; 0: no answer came.
    statuses: Vec<u16>,
}

impl Story {
    /// Reads the events of one request, whose outcome this is.
    fn read(events: &[String], outcome: RequestOutcome) -> Story {
        let runs = events.iter().filter(|e| e.contains(" runs at "));
        let runs = runs.map(|e| e.split_whitespace().nth(1).unwrap_or_default().to_owned());
        let ends = events.iter().filter_map(|e| e.split_once(" ends: "));
        let statuses = ends.filter_map(|(_, end)| end.split(' ').next()?.parse().ok());
        Story {
            outcome,
            runs: runs.collect(),
            statuses: statuses.collect(),
        }
    }

    /// It ran once, and the client's only attempt ended with one of these statuses.
    fn ran_once_ending(&self, statuses: &[u16]) -> bool {
        self.runs.len() == 1 && self.statuses.len() == 1 && statuses.contains(&self.statuses[0])
    }
}

/// A fleet in whose budget retries are possible, with a trace of each request.
async fn fleet(seed: u64) -> Rc<SimulatedCluster> {
    let cluster = SimulatedCluster::serving(ClusterSettings::with_seed(seed)).await;
    // A process sends nothing again in its first window of the retry budget.
    sleep(cluster.settings.bounds.budget_window).await;
    cluster.monitor.trace.verbose.set(true);
    cluster
}

/// Whether an event of the trace after the first `from` ones has this text.
fn has_happened(cluster: &SimulatedCluster, from: usize, text: &str) -> bool {
    let events = cluster.monitor.event_trace();
    events[from..].iter().any(|event| event.contains(text))
}

/// Waits until a run begins, which has its faults by then.
async fn run_begins(cluster: &SimulatedCluster, from: usize) {
    while !has_happened(cluster, from, " runs at ") {
        sleep(Duration::from_millis(1)).await;
    }
}

/// Lets the first run of the next request go wrong, and no other.
fn spoil_first_run(cluster: &Rc<SimulatedCluster>, faults: ServerFaults) {
    let (cluster, from) = (cluster.clone(), cluster.monitor.event_trace().len());
    cluster.set_server_faults(faults);
    spawn_local(async move {
        run_begins(&cluster, from).await;
        cluster.set_server_faults(ServerFaults::default());
    });
}

/// Sends a request to a node, or to one of the load balancer's choice, and waits for what comes late.
async fn tell(cluster: &SimulatedCluster, request: &ClientRequest, node: Option<&str>) -> Story {
    let from = cluster.monitor.event_trace().len();
    let outcome = match node {
        Some(node) => cluster.send_to_node(request, node).await,
        None => cluster.client(false).send(request).await,
    };
    sleep(LATE_RUNS).await;
    Story::read(&cluster.monitor.event_trace()[from..], outcome)
}

/// The story of a request of each kind at each node, where the first run of each goes wrong, and the violated rules.
fn stories(
    seed: u64,
    kinds: &[(RouteKind, &str)],
    faults: ServerFaults,
) -> (Vec<Story>, Vec<String>) {
    play(async {
        let cluster = fleet(seed).await;
        let mut stories = Vec::new();
        for (n, node) in cluster.names().iter().enumerate() {
            for (kind, response_spec) in kinds {
                let request = ClientRequest {
                    deadline: Duration::from_secs(3),
                    prompt_id: format!("{n:08x}"),
                    ..request(*kind, response_spec)
                };
                spoil_first_run(&cluster, faults);
                stories.push(tell(&cluster, &request, Some(node)).await);
            }
        }
        cluster.monitor.check_history();
        (stories, cluster.monitor.violations())
    })
}

/// Rules that are violated where the first answer of each request is lost.
fn violated(kinds: &[(RouteKind, &str)], faults: ServerFaults, defect: Defect) -> Vec<String> {
    inject(Some(defect));
    let (_, violations) = stories(SEEDS.start, kinds, faults);
    inject(None);
    violations
}

fn names_rule(violations: &[String], rule: &str) -> bool {
    violations.iter().any(|v| v.starts_with(rule))
}

/// Guards against TWICE and REFUSED: a verdict that reaches its server twice because the first answer was lost.
#[test]
fn given_an_answer_that_is_lost_when_not_repeatable_then_it_ran_once_and_nothing_denies_it() {
    for seed in SEEDS {
        // At the deadline the client may leave before the node's answer comes.
        for (faults, statuses) in [(RESETS, &[502][..]), (SILENCE, &[504, 0])] {
            let (stories, violations) = stories(seed, &ONCE, faults);
            assert_eq!(violations, Vec::<String>::new(), "{seed} {faults:?}");
            for story in &stories {
                assert!(
                    story.ran_once_ending(statuses),
                    "{seed} {faults:?} {story:?}"
                );
            }
        }
    }
    let twice = violated(&ONCE, RESETS, Defect::NonIdempotentRetried);
    assert!(names_rule(&twice, "TWICE"), "{twice:?}");
    let refused = violated(&ONCE, RESETS, Defect::NeverRunPromiseBroken);
    assert!(names_rule(&refused, "REFUSED"), "{refused:?}");
}

/// Guards against a lost answer where the route allows another run, and against an answer joined from two runs.
#[test]
fn given_an_answer_that_is_reset_when_repeatable_then_the_next_server_runs_it_and_one_answer_comes()
{
    for seed in SEEDS {
        let (stories, violations) = stories(seed, &REPEATABLE, RESETS);
        assert_eq!(violations, Vec::<String>::new(), "{seed}");
        for story in &stories {
            assert_eq!(story.outcome, RequestOutcome::Served, "{seed} {story:?}");
            assert_eq!(
                (story.runs.len(), &story.statuses[..]),
                (2, &[200][..]),
                "{seed} {story:?}"
            );
        }
    }
}

/// Guards against ORDER: a stream that is taken up elsewhere repeats a piece or leaves one out.
#[test]
fn given_a_resumable_stream_that_breaks_off_then_it_goes_on_behind_its_last_event() {
    let kinds = [(RouteKind::Resumable, "s15")];
    let mut resumed = 0;
    for seed in SEEDS {
        let (stories, violations) = stories(seed, &kinds, BREAKS);
        assert_eq!(violations, Vec::<String>::new(), "{seed}");
        for story in &stories {
            assert_eq!(story.outcome, RequestOutcome::Served, "{seed} {story:?}");
            assert_eq!(story.statuses, [200], "{seed} {story:?}");
            resumed += usize::from(story.runs.len() == 2);
        }
    }
    // A draw may put the break behind the last event.
    assert!(resumed > 10, "{resumed} streams were taken up");
    let restarted = violated(&kinds, BREAKS, Defect::ResumedFromStart);
    assert!(names_rule(&restarted, "ORDER"), "{restarted:?}");
}

/// Sends a request and kills the node that has it once a server runs it.
async fn with_node_killed(cluster: &Rc<SimulatedCluster>, request: &ClientRequest) -> Story {
    let (killer, from) = (cluster.clone(), cluster.monitor.event_trace().len());
    spawn_local(async move {
        run_begins(&killer, from).await;
        let events = killer.monitor.event_trace();
        let sent = events[from..]
            .iter()
            .find_map(|e| e.split_once(" goes to "));
        let ip: Option<IpAddr> = sent.and_then(|(_, to)| to.split(' ').next()?.parse().ok());
        let node = ip.and_then(|ip| killer.name_of(ip)).expect("a node");
        killer.kill(&node);
    });
    tell(cluster, request, None).await
}

/// Guards against TWICE: another node, or the next life of the killed one, sends on what the killed one had sent.
#[test]
fn given_a_node_killed_before_the_answer_then_only_a_repeatable_request_runs_again_under_another_id()
 {
    for seed in SEEDS {
        for (kind, response_spec) in ONCE.into_iter().chain(REPEATABLE) {
            let (story, violations) = play(async {
                let cluster = fleet(seed).await;
                let request = ClientRequest {
                    // Half of its connections go to the killed node until the load balancer misses it.
                    retries: 20,
                    ..request(kind, response_spec)
                };
                let story = with_node_killed(&cluster, &request).await;
                (story, cluster.monitor.violations())
            });
            assert_eq!(violations, Vec::<String>::new(), "{seed}");
            if kind.is_retryable() {
                assert_eq!(story.outcome, RequestOutcome::Served, "{seed} {story:?}");
                assert_eq!(story.runs.len(), 2, "{seed} {story:?}");
                assert_ne!(story.runs[0], story.runs[1], "{seed} {story:?}");
            } else {
                assert!(story.ran_once_ending(&[0]), "{seed} {story:?}");
            }
        }
    }
}

/// Guards against a claim of more than the wire allows: no field says that two attempts are one request.
#[test]
fn given_a_client_that_asks_again_under_another_id_then_each_attempt_runs_once() {
    for (kind, response_spec) in ONCE {
        let (stories, violations) = play(async {
            let cluster = fleet(SEEDS.start).await;
            let request = request(kind, response_spec);
            spoil_first_run(&cluster, RESETS);
            let lost = tell(&cluster, &request, Some("edge-0")).await;
            let again = tell(&cluster, &request, Some("edge-1")).await;
            ([lost, again], cluster.monitor.violations())
        });
        assert_eq!(violations, Vec::<String>::new());
        let [lost, again] = &stories;
        assert!(lost.ran_once_ending(&[502]), "{lost:?}");
        assert_eq!((again.runs.len(), &again.statuses[..]), (1, &[200][..]));
        assert_ne!(lost.runs, again.runs);
    }
}

/// The events of these numbers as a server sends them; `last`: the stream is complete.
fn stream(numbers: std::ops::RangeInclusive<u32>, last: bool) -> String {
    let mut text =
        "HTTP/1.1 200 OK\r\nSparrouter-Attempt-Id: {id}\r\nSparrouter-Response-Seal: seal\r\n\
         Transfer-Encoding: chunked\r\n\r\n"
            .to_owned();
    for number in numbers {
        let event = event(number);
        text.push_str(&format!("{:x}\r\n{event}\r\n", event.len()));
    }
    text.push_str(if last { "0\r\n\r\n" } else { "" });
    text
}

fn event(number: u32) -> String {
    format!("id: {number}\ndata: event {number}\n\n")
}

/// Guards against ORDER: a client takes a stream up at another node, and each server that fails it sends it back to the start.
#[test]
fn given_a_client_that_takes_a_stream_up_when_servers_fail_it_then_each_goes_on_behind_the_last_event()
 {
    for seed in SEEDS {
        play(async {
            let cluster = scripted::cluster(seed).await;
            let servers = Servers::start(&cluster, 3, |_, n| match n {
                0 => Reaction::Reset,
                1 => Reaction::RespondAndReset(stream(3..=4, false)),
                _ => Reaction::Respond(stream(5..=6, true)),
            })
            .await;
            let request = ScriptedRequest {
                fields: "Sparrouter-Deadline-Ms: 3000\r\nLast-Event-Id: 2\r\n",
                ..ScriptedRequest::new("/resume/a", "a2")
            };
            let response = request.send_to(&cluster, "edge-1").await;
            assert!(response.is_complete && response.is_sealed, "{response:?}");
            let events: String = (3..=6).map(event).collect();
            assert_eq!(response.text, events, "{seed}");
            let received = servers.received.borrow();
            let of_client = received.iter().filter(|r| !r.path().starts_with("/api/"));
            let resumed: Vec<_> = of_client.map(|r| r.text("last-event-id")).collect();
            assert_eq!(resumed, [Some("2"), Some("2"), Some("4")], "{seed}");
        });
    }
}
