//! Gossip with peers: the number of messages, and the effect of received messages.
mod harness;
use harness::*;
use sparrouter_balancer::gossip::GossipMessage;
use sparrouter_balancer::types::*;

struct SentGossip {
    peer: usize,
    message: Vec<u8>,
}

fn sent_gossip(node: &Harness) -> Vec<SentGossip> {
    let message = |action: &Action| match action {
        Action::SendGossip { peer, message } => Some(SentGossip {
            peer: *peer,
            message: message.clone(),
        }),
        _ => None,
    };
    node.log.iter().filter_map(message).collect()
}

/// Encodes a message of a peer that sheds this fraction of its load.
fn shed_report(shed_fraction: f64) -> Vec<u8> {
    GossipMessage {
        arrivals_by_tenant: vec![4],
        shed_fraction,
        ..GossipMessage::default()
    }
    .encode()
}

/// Messages to every peer would grow with the square of the number of nodes.
#[test]
fn each_message_is_sent_to_a_fixed_number_of_peers() {
    let mut node = Harness::new(gossiping_setup(700, 3), servers(4));
    node.advance(10 * SECOND);
    let sent = sent_gossip(&node).len();
    assert!((10..=20).contains(&sent), "{sent}");
}

/// A long queue stays full if no single node sends enough forwards to notice it: the outcomes that one node reports
/// reduce the number of keys that another node sends to the server.
#[test]
fn a_node_sends_fewer_keys_to_a_cache_server_that_a_peer_reports_as_full() {
    let keys_at_winner = |has_report: bool| {
        let mut reporter = Harness::new(gossiping_setup(2, 0), servers(6));
        let mut node = Harness::new(gossiping_setup(2, 1), servers(6));
        let overloaded = node.winner(key_hash(1));
        reporter.receive_gossip(1, vec![0; 10]);
        for n in 0..120 {
            let index = reporter.read(key_hash(n));
            reporter.advance(50 * MS);
            let is_full = reporter.targets(index).first() == Some(&overloaded);
            let outcome = if is_full {
                Outcome::Full
            } else {
                Outcome::Succeeded
            };
            reporter.end(index, 0, outcome);
            reporter.end_all();
        }
        if has_report {
            node.advance(reporter.now - node.now);
            for gossip in sent_gossip(&reporter) {
                assert_eq!(gossip.peer, 1);
                node.receive_gossip(0, gossip.message);
            }
        }
        let keys = 1000..1400;
        keys.filter(|&key| node.winner(key_hash(key)) == overloaded)
            .count()
    };
    let (with_report, without) = (keys_at_winner(true), keys_at_winner(false));
    assert!(with_report * 10 < without * 9, "{with_report} {without}");
}

/// Results of reads while some peers send false overload reports.
struct FalseReportRun {
    throttled: usize,
    shed_fraction: f64,
}

/// Plays 400 reads at 20 per second at one of 16 nodes. The first `false_reporters` peers report twenty times per second that
/// they shed nine tenths of their load, the others report once per second that they shed nothing. If `is_answered`,
/// reads succeed; otherwise their clients disconnect.
fn run_with_false_reports(false_reporters: usize, is_answered: bool) -> FalseReportRun {
    let mut node = Harness::new(gossiping_setup(16, 0), servers(6));
    let mut throttled = 0;
    for n in 0..400 {
        for peer in 1..16 {
            let reports_falsely = peer <= false_reporters;
            if reports_falsely || n % 20 == peer {
                node.receive_gossip(peer, shed_report(if reports_falsely { 0.9 } else { 0.0 }));
            }
        }
        let index = node.read(n as u64);
        node.advance(25 * MS);
        if node.targets(index).is_empty() {
            throttled += 1;
        } else if is_answered {
            node.end(index, 0, Outcome::Succeeded);
        } else {
            node.close_client(index);
        }
        node.advance(25 * MS);
    }
    FalseReportRun {
        throttled,
        shed_fraction: node.policy.counts().shed_fraction,
    }
}

/// A few peers can't outweigh the others. If most peers report an overload, a node follows them as long as it has no
/// evidence of its own.
#[test]
fn a_minority_of_false_reports_does_not_make_a_node_shed_load() {
    let one = run_with_false_reports(1, true).throttled;
    let three = run_with_false_reports(3, true).throttled;
    let twelve = run_with_false_reports(12, true);
    assert!(one < 8 && three < 8, "{one} {three}");
    // A node without any answers follows the reports.
    let without_answers = run_with_false_reports(12, false).throttled;
    assert!(without_answers > 100, "{without_answers}");
    // The node follows the majority of peers. Its own answers in time limit the shedding, but at first it has none.
    assert!(
        twelve.shed_fraction > 0.5 && (8..100).contains(&twelve.throttled),
        "{} {}",
        twelve.throttled,
        twelve.shed_fraction
    );
}

/// A false report is the first one after a change of settings: the earlier reports of other peers still outweigh it.
#[test]
fn a_false_report_right_after_a_change_of_settings_is_outweighed_by_earlier_reports() {
    let mut node = Harness::new(gossiping_setup(16, 0), servers(6));
    for peer in 1..8 {
        node.receive_gossip(peer, shed_report(0.0));
    }
    node.apply_settings(setup().operations, setup().limits, 16);
    node.receive_gossip(9, shed_report(0.9));
    let shed_fraction = node.policy.counts().shed_fraction;
    assert!(shed_fraction < 0.1, "{shed_fraction}");
}
