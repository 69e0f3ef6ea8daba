//! The operators' client: retries of a call to scripted nodes until the reply is definite, in virtual time.
mod common;

use common::{Behavior, ScriptedNet, replies};
use sparrouter_fleet::client::ClientError;
use sparrouter_fleet::client::call::Call;
use sparrouter_fleet::client::fleet::Fleet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::LocalSet;
use tokio::time::Instant;

const A: &str = "10.0.0.1:80";
const B: &str = "10.0.0.2:80";

fn addresses(texts: &[&str]) -> Vec<SocketAddr> {
    texts
        .iter()
        .map(|a| a.parse().expect("an address"))
        .collect()
}

fn change() -> Call {
    let body = Some(b"{\"version\":8}".to_vec());
    Call {
        method: "PUT",
        path: "/api/config".into(),
        if_match: Some(7),
        body,
    }
}

/// Submits a call with a retry time-out of ten seconds; returns the answer and the calls that the nodes received.
async fn submit(
    net: ScriptedNet,
    at: &[&str],
    call: Call,
) -> (Result<String, ClientError>, Vec<(SocketAddr, String)>) {
    let calls = net.calls.clone();
    let fleet =
        Fleet::new(Rc::new(net), addresses(at), Duration::from_secs(10)).expect("addresses");
    let local = LocalSet::new();
    let submitted = local
        .run_until(async { fleet.submit(&call).await.map(|(_, reply)| reply.body) })
        .await;
    let calls = calls.borrow().clone();
    (submitted, calls)
}

#[tokio::test(start_paused = true)]
async fn given_a_node_that_answers_when_a_call_is_submitted_then_one_complete_request_is_sent() {
    let net = ScriptedNet::default().node(A, &[replies(200, "taken")]);
    let (submitted, calls) = submit(net, &[A, B], change()).await;
    assert_eq!(submitted.expect("taken"), "taken");
    insta::assert_snapshot!(calls[0].1.replace("\r\n", "|"), @r#"PUT /api/config HTTP/1.1|Host: 10.0.0.1:80|Connection: close|If-Match: 7|Content-Type: application/json|Content-Length: 13||{"version":8}"#);
    assert_eq!(calls.len(), 1);
}

#[tokio::test(start_paused = true)]
async fn given_a_node_that_fails_when_a_call_is_submitted_then_it_is_retried_unchanged_at_the_next_node()
 {
    for behavior in [
        Behavior::Refuse,
        Behavior::NoReply,
        Behavior::Disconnect,
        Behavior::Reply("no answer at all\r\n\r\n".into()),
        replies(500, ""),
        replies(503, ""),
        replies(504, "unknown"),
        replies(408, ""),
        replies(429, ""),
    ] {
        let refused = matches!(behavior, Behavior::Refuse);
        let net = ScriptedNet::default()
            .node(A, std::slice::from_ref(&behavior))
            .node(B, &[replies(200, "taken")]);
        let (submitted, calls) = submit(net, &[A, B], change()).await;
        assert_eq!(submitted.expect("taken"), "taken", "{behavior:?}");
        if !refused {
            assert_eq!(calls[0].1.replace(A, B), calls[1].1, "{behavior:?}");
        }
    }
}

#[tokio::test(start_paused = true)]
async fn given_an_unresponsive_node_when_a_call_is_submitted_then_the_next_node_is_tried_after_one_second()
 {
    let net = ScriptedNet::default()
        .node(A, &[Behavior::NoReply])
        .node(B, &[replies(200, "taken")]);
    let started_at = Instant::now();
    submit(net, &[A, B], change()).await.0.expect("taken");
    assert!((Duration::from_secs(1)..Duration::from_millis(1_300)).contains(&started_at.elapsed()));
}

#[tokio::test(start_paused = true)]
async fn given_a_final_refusal_when_a_call_is_submitted_then_it_is_not_retried() {
    for status in [400, 409, 412, 413, 422] {
        let net = ScriptedNet::default().node(A, &[replies(status, "why and what to do")]);
        let (submitted, calls) = submit(net, &[A, B], change()).await;
        let error = submitted.expect_err("refused");
        assert_eq!((calls.len(), error.exit_code()), (1, 1));
        assert!(error.to_string().contains("why and what to do"), "{error}");
    }
}

#[tokio::test(start_paused = true)]
async fn given_404_or_405_replies_when_a_call_is_submitted_then_the_third_one_is_final() {
    let net = ScriptedNet::default()
        .node(A, &[replies(405, "")])
        .node(B, &[replies(404, "")]);
    let (submitted, calls) = submit(net, &[A, B], change()).await;
    assert!(matches!(
        submitted,
        Err(ClientError::Refused { status: 405, .. })
    ));
    assert_eq!(calls.len(), 3);
}

#[tokio::test(start_paused = true)]
async fn given_redirects_when_a_call_is_submitted_then_an_attempt_follows_at_most_two() {
    let redirect_to = |address: &str| {
        Behavior::Reply(format!(
            "HTTP/1.1 307 Word\r\nLocation: http://{address}/api/config\r\nContent-Length: 0\r\n\r\n"
        ))
    };
    let c = "10.0.0.3:80";
    let net = ScriptedNet::default()
        .node(A, &[redirect_to(B)])
        .node(B, &[redirect_to(c)])
        .node(c, &[replies(200, "taken")]);
    assert_eq!(submit(net, &[A], change()).await.0.expect("taken"), "taken");
    let net = ScriptedNet::default().node(A, &[redirect_to(A)]);
    let (submitted, calls) = submit(net, &[A], change()).await;
    assert!(matches!(submitted, Err(ClientError::NotApplied { .. })));
    assert!(calls.len() % 3 == 0, "{}", calls.len());
}

#[tokio::test(start_paused = true)]
async fn given_no_definite_reply_when_the_deadline_passes_then_the_possible_effect_is_reported_with_exit_code_3()
 {
    let cases = [
        (Behavior::Refuse, "nothing was sent"),
        (replies(503, "no quorum"), "nothing was changed"),
        (replies(504, "no quorum"), "may be in force or not"),
        (Behavior::NoReply, "may be in force or not"),
        (Behavior::Disconnect, "may be in force or not"),
    ];
    for (behavior, expected) in cases {
        let started_at = Instant::now();
        let net = ScriptedNet::default().node(A, std::slice::from_ref(&behavior));
        let error = submit(net, &[A], change())
            .await
            .0
            .expect_err("no clear answer");
        assert_eq!(error.exit_code(), 3);
        assert!(
            error.to_string().contains(expected),
            "{behavior:?}: {error}"
        );
        assert!(
            started_at.elapsed() <= Duration::from_secs(10),
            "{:?}",
            started_at.elapsed()
        );
    }
}

#[tokio::test(start_paused = true)]
async fn given_a_lost_reply_and_later_refusals_when_the_deadline_passes_then_the_effect_is_unclear()
{
    let net = ScriptedNet::default().node(A, &[Behavior::Disconnect, replies(503, "no quorum")]);
    assert!(matches!(
        submit(net, &[A], change()).await.0,
        Err(ClientError::Unclear { .. })
    ));
}

/// Guards against a request for one tenant's status that loses its query string at a retry or a redirect.
#[tokio::test(start_paused = true)]
async fn given_a_call_with_a_query_string_when_nodes_fail_or_redirect_then_the_query_string_is_kept()
 {
    let path = "/api/status?tenant=kaje%2080";
    let redirect =
        format!("HTTP/1.1 307 Word\r\nLocation: http://{A}{path}\r\nContent-Length: 0\r\n\r\n");
    let net = ScriptedNet::default()
        .node(A, &[replies(503, "later"), replies(200, "{}")])
        .node(B, &[Behavior::Reply(redirect)]);
    let (submitted, calls) = submit(net, &[A, B], Call::get(path)).await;
    assert_eq!(submitted.expect("answered"), "{}");
    let called: Vec<_> = calls.iter().map(|(to, _)| to.to_string()).collect();
    assert_eq!(called, [A, B, A]);
    let line = format!("GET {path} HTTP/1.1\r\n");
    assert!(
        calls.iter().all(|(_, text)| text.starts_with(&line)),
        "{calls:?}"
    );
}
