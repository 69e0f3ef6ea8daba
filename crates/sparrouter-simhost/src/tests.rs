//! Tests of whole input lines: the orders that a batch returns, and its errors.
use crate::batch::{self, Instances};
use crate::error::HostError;
use crate::wire::Order;

fn process_line(line: &str) -> Result<Vec<Order>, HostError> {
    batch::process(&mut Instances::new(), line)
}

#[test]
fn given_an_invalid_batch_when_processed_then_the_error_names_the_field_or_value() {
    for (line, expected) in [
        ("not json", "malformed batch"),
        (r#"{"events":[]}"#, "AtTimeUs"),
        (
            r#"{"AtTimeUs":1,"events":[{"verb":"Vanished","I":1}]}"#,
            "Ticket",
        ),
        (r#"{"AtTimeUs":1,"events":[{"verb":"Sing","I":1}]}"#, "Sing"),
        (
            r#"{"AtTimeUs":1,"events":[{"verb":"Vanished","I":7,"Ticket":"a"}]}"#,
            "instance 7",
        ),
        (
            r#"{"AtTimeUs":1,"events":[{"verb":"Down","I":7}]}"#,
            "instance 7",
        ),
        (r#"{"AtTimeUs":-1,"events":[]}"#, "AtTimeUs"),
    ] {
        let text = process_line(line)
            .err()
            .map(|e| e.to_string())
            .unwrap_or_default();
        assert!(text.contains(expected), "{line}: {text}");
    }
}

#[test]
fn given_a_batch_without_events_when_processed_then_no_orders_are_returned() {
    assert!(
        process_line(r#"{"AtTimeUs":5,"events":[],"New":{"x":1}}"#)
            .unwrap()
            .is_empty()
    );
}

const ENLIST: &str = r#"{"AtTimeUs":1000,"events":[{"verb":"Enlist","I":3,"Nonce64":18446744073709551615,"Info":{
 "Areas":["x"],"Balancers":1,"Classes":[{"Name":"get","DeadlineUs":900000,"ObjectiveUs":300000,"Effect":"read_like"}],
 "Discovery":"automatic","FamilyInfo":{"Mode":"aside","OriginKind":1,"More":0},"Kinds":["box","origin"],
 "Limits":{"MaxAttempts":3,"Cancel":true},"Safety":{"AnswerSlackUs":20000,"StartCapacity":0.2,"ColdUs":1000000,
 "FallMultiple":3.0,"FallUs":1000000}}},{"verb":"PeersKnown","I":3,"Form":"SAVED","Epoch":1,"Rows":[
 {"Server":"a:1","Condition":"in_service","Campus":"x","Heft":1,"GenerationHw":"box","Group":0},
 {"Server":"o:1","Condition":"in_service","Campus":"x","Heft":1,"GenerationHw":"origin","Group":0}]},
 {"verb":"Ingress","I":3,"Ticket":"t","Object":"k","DueUs":901000,"Type":"get"}]}"#;

fn routes(orders: &[Order]) -> Vec<(&str, &str)> {
    let routed = orders.iter().filter_map(|o| match o {
        Order::Route { ticket, server, .. } => Some((ticket.as_str(), server.as_str())),
        _ => None,
    });
    routed.collect()
}

#[test]
fn given_a_cache_miss_when_the_origin_answers_then_the_invocation_is_removed() {
    let mut instances = Instances::new();
    let done_line = |copy: u8, server: &str, rc: &str, last: bool| {
        format!(
            r#"{{"AtTimeUs":{},"events":[{{"verb":"Done","I":3,"Ticket":"t","Copy":{copy},"Server":"{server}","Rc":"{rc}","LagUs":900,"Last":{last}}}]}}"#,
            2000 + u64::from(copy)
        )
    };
    let orders = batch::process(&mut instances, &ENLIST.replace('\n', "")).unwrap();
    assert_eq!(routes(&orders), [("t", "a:1")]);
    let orders = batch::process(&mut instances, &done_line(0, "a:1", "NOT_FOUND", false)).unwrap();
    assert_eq!(routes(&orders), [("t", "o:1")]);
    assert!(
        batch::process(&mut instances, &done_line(1, "o:1", "OK", true))
            .unwrap()
            .is_empty()
    );
    // A result for a completed invocation is ignored; an unknown outcome or server is an error.
    assert!(
        batch::process(&mut instances, &done_line(1, "o:1", "OK", true))
            .unwrap()
            .is_empty()
    );
    assert!(
        batch::process(&mut instances, &done_line(1, "o:1", "SO_SO", true))
            .err()
            .unwrap()
            .to_string()
            .contains("Rc")
    );
    assert!(
        batch::process(&mut instances, &done_line(1, "z:9", "OK", true))
            .err()
            .unwrap()
            .to_string()
            .contains("Server")
    );
}
