//! Orders to servers: whom they are for, and what happens where their answers are lost.
mod scripted;

use scripted::{Reaction, ReceivedRequest, Servers, answer, id_of};
use sparrouter_fleet::platform::defects::{Defect, inject};
use sparrouter_http::head::RequestHead;
use sparrouter_simulation::runtime::play;
use sparrouter_simulation::server::MODEL;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

fn report(version: u64, is_busy: bool, call_sequence: u64) -> Reaction {
    let body = format!(
        "{{\"serving_stage\":\"both\",\"models\":[{{\"name\":\"{MODEL}\",\"version\":{version},\"adapters\":[]}}],\
         \"is_busy\":{is_busy},\"call_sequence\":{call_sequence},\"queued\":0,\"running\":0,\"kv_used_tokens\":0,\
         \"kv_capacity\":1000,\"handle_count\":0}}"
    );
    Reaction::Respond(answer(200, "", &body))
}

fn is_order(head: &RequestHead) -> bool {
    &head.target[..] == b"/api/order"
}

/// The orders that servers saw after a second version of the weights was named.
async fn orders(
    seed: u64,
    count: usize,
    script: impl Fn(&RequestHead) -> Reaction + 'static,
) -> Vec<ReceivedRequest> {
    let cluster = scripted::cluster(seed).await;
    let servers = Servers::start(&cluster, count, move |head, _| script(head)).await;
    assert!(cluster.operator.name_version(2).await);
    sleep(Duration::from_secs(6)).await;
    let received = servers.received.borrow();
    received
        .iter()
        .filter(|h| is_order(&h.head))
        .cloned()
        .collect()
}

fn body(order: &ReceivedRequest) -> String {
    let body = order.body.as_deref().expect("a complete order");
    String::from_utf8_lossy(body).into_owned()
}

fn orders_name_their_server() -> bool {
    let orders = play(orders(240, 2, |head| match is_order(head) {
        true => Reaction::Respond(answer(202, "", "")),
        false => report(2, false, 1),
    }));
    assert!(!orders.is_empty());
    orders
        .iter()
        .all(|o| o.text("sparrouter-expected-instance") == Some(&id_of(o.server)))
}

#[test]
fn given_new_weights_then_each_order_names_the_server_that_it_is_for() {
    assert!(orders_name_their_server());
    inject(Some(Defect::OrderInstanceOmitted));
    let named = orders_name_their_server();
    inject(None);
    assert!(!named);
}

#[test]
fn given_an_order_whose_answer_is_lost_when_the_server_is_at_it_then_it_is_not_ordered_again() {
    let ordered = Rc::new(Cell::new(0u64));
    let orders = play(orders(241, 1, move |head| {
        if is_order(head) {
            ordered.set(ordered.get() + 1);
            return Reaction::NoResponse;
        }
        report(1, ordered.get() > 0, ordered.get())
    }));
    assert_eq!(orders.len(), 1);
}

#[test]
fn given_an_order_that_was_lost_when_it_is_sent_again_then_it_is_for_the_count_that_was_seen() {
    let ordered = Rc::new(Cell::new(0u64));
    let orders = play(orders(242, 1, move |head| {
        if !is_order(head) {
            return report(if ordered.get() > 1 { 2 } else { 1 }, false, 7);
        }
        ordered.set(ordered.get() + 1);
        match ordered.get() {
            1 => Reaction::NoResponse,
            _ => Reaction::Respond(answer(202, "", "")),
        }
    }));
    assert_eq!(orders.len(), 2);
    assert!(!body(&orders[0]).contains("expected_count"));
    assert!(body(&orders[1]).contains("\"expected_count\":7"));
}

#[test]
fn given_another_server_at_the_address_when_it_says_so_then_the_order_is_not_sent_again() {
    let orders = play(orders(243, 1, |head| match is_order(head) {
        true => Reaction::Respond(answer(421, "Sparrouter-Instance-Id: another\r\n", "")),
        false => report(1, false, 0),
    }));
    // The old id still sends heartbeats here, with each of which it counts as there again: every 0.8 s for 6 s.
    assert!((1..=9).contains(&orders.len()), "{}", orders.len());
}
