//! What an operator is answered, by what became of the order: taken, overtaken, lost or unknown; for PUT, PATCH and
//! version-put. The rows of docs/design/control-state/orders.md; "no quorum" is in the simulation's `operator_orders`.
use nanoserde::SerBin;
use sparrouter_codec::Blob;
use sparrouter_consensus::{Applied, Machine};
use sparrouter_fleet::control::configuration_state::{
    Change, ConfigurationMachine, ConfigurationState, MAX_KNOWN_ORDERS, Verdict,
};

#[derive(Clone, Copy, Debug)]
enum Method {
    Put,
    Patch,
}

const METHODS: [Method; 2] = [Method::Put, Method::Patch];

/// An order on `base` that makes `number`; `service` makes it differ from others.
fn order(method: Method, base: u64, number: u64, service: &str) -> Change {
    let items = format!("\"services\":[{{\"name\":\"{service}\"}}]");
    let if_match = Some(base);
    match method {
        Method::Put => Change::Put {
            if_match,
            body: Blob(format!("{{\"version\":{number},\"routes\":[],{items}}}").into_bytes()),
        },
        Method::Patch => Change::Patch {
            if_match,
            body: Blob(
                format!("{{\"version\":{number},\"upsert_items\":{{{items}}}}}").into_bytes(),
            ),
        },
    }
}

fn spaced(change: &Change) -> Change {
    let widen = |body: &Blob| {
        let text = String::from_utf8_lossy(&body.0).replace(',', " ,\n ");
        Blob(text.into_bytes())
    };
    match change {
        Change::Put { if_match, body } => Change::Put {
            if_match: *if_match,
            body: widen(body),
        },
        Change::Patch { if_match, body } => Change::Patch {
            if_match: *if_match,
            body: widen(body),
        },
        other => other.clone(),
    }
}

#[derive(Default)]
struct Shard(Vec<u8>);

impl Shard {
    /// With version 5 in force.
    fn begun() -> Shard {
        let mut shard = Shard::default();
        assert_eq!(shard.submit(&order(Method::Put, 0, 5, "first")), 200);
        shard
    }

    fn judge(&mut self, change: &Change) -> Verdict {
        let answer = match ConfigurationMachine.apply(&self.0, &change.serialize_bin()) {
            Applied::Changed { body, answer } => {
                self.0 = body;
                answer
            }
            Applied::Unchanged { answer } => answer,
        };
        sparrouter_codec::read(&answer).expect("a verdict")
    }

    fn submit(&mut self, change: &Change) -> u16 {
        self.judge(change).status
    }

    /// The status of an order that must change nothing.
    fn unchanged(&mut self, change: &Change) -> u16 {
        let before = self.0.clone();
        let status = self.submit(change);
        assert_eq!(self.0, before, "{change:?}");
        status
    }

    fn version(&self) -> u64 {
        ConfigurationState::read(&self.0).expect("a state").version
    }

    fn overtake(&mut self, changes: usize) {
        for _ in 0..changes {
            let base = self.version();
            assert_eq!(
                self.submit(&order(Method::Put, base, base + 3, "later")),
                200
            );
        }
    }
}

#[test]
fn given_an_order_in_force_when_it_is_sent_again_then_it_is_acknowledged() {
    for method in METHODS {
        let mut shard = Shard::begun();
        let sent = order(method, 5, 8, "a");
        assert_eq!(shard.submit(&sent), 200, "{method:?}");
        assert_eq!(shard.unchanged(&sent), 200, "{method:?}");
    }
}

#[test]
fn given_an_order_overtaken_by_hundreds_when_it_is_sent_again_then_it_is_acknowledged_and_stays_overtaken()
 {
    for method in METHODS {
        let mut shard = Shard::begun();
        let sent = order(method, 5, 8, "a");
        shard.submit(&sent);
        for changes in [1, 255, 256, MAX_KNOWN_ORDERS - 513] {
            shard.overtake(changes);
            assert_eq!(
                shard.unchanged(&sent),
                200,
                "{method:?} after {changes} more"
            );
        }
    }
}

#[test]
fn given_an_order_overtaken_by_thousands_when_it_is_sent_again_then_it_is_left_without_a_clear_answer()
 {
    for method in METHODS {
        let mut shard = Shard::begun();
        let (taken, lost) = (order(method, 5, 8, "a"), order(method, 5, 8, "b"));
        shard.submit(&taken);
        shard.overtake(MAX_KNOWN_ORDERS);
        for sent in [&taken, &lost] {
            let before = shard.0.clone();
            let verdict = shard.judge(sent);
            assert_eq!((verdict.status, &shard.0), (504, &before), "{method:?}");
            assert!(
                verdict.text.contains("read the configuration"),
                "{}",
                verdict.text
            );
        }
    }
}

#[test]
fn given_an_order_that_lost_when_it_is_sent_again_then_it_is_refused_for_ever() {
    for method in METHODS {
        let mut shard = Shard::begun();
        let lost = [
            order(method, 5, 8, "the same number"),
            order(method, 5, 9, "another number"),
        ];
        assert_eq!(shard.submit(&order(method, 5, 8, "winner")), 200);
        for _ in 0..3 {
            for sent in &lost {
                assert_eq!(shard.unchanged(sent), 412, "{method:?}");
                assert!(shard.judge(sent).binding);
            }
            shard.overtake(300);
        }
    }
}

#[test]
fn given_the_same_text_by_the_other_method_or_on_another_base_when_it_is_sent_then_it_is_another_order()
 {
    for (method, other) in [(Method::Put, Method::Patch), (Method::Patch, Method::Put)] {
        let mut shard = Shard::begun();
        let sent = order(method, 5, 8, "a");
        shard.submit(&sent);
        let same_text = match (&sent, other) {
            (Change::Put { if_match, body } | Change::Patch { if_match, body }, Method::Put) => {
                Change::Put {
                    if_match: *if_match,
                    body: body.clone(),
                }
            }
            (Change::Put { if_match, body } | Change::Patch { if_match, body }, Method::Patch) => {
                Change::Patch {
                    if_match: *if_match,
                    body: body.clone(),
                }
            }
            _ => unreachable!("orders are PUT or PATCH"),
        };
        assert_eq!(shard.unchanged(&same_text), 412, "{method:?}");
        for base in [0, 3, 4, 6, 7] {
            assert_eq!(
                shard.unchanged(&order(method, base, 8, "a")),
                412,
                "on {base}"
            );
        }
    }
}

#[test]
fn given_a_body_that_differs_in_spaces_only_when_it_is_sent_then_it_is_that_very_configuration() {
    for method in METHODS {
        let mut shard = Shard::begun();
        let sent = order(method, 5, 8, "a");
        assert_eq!(shard.submit(&spaced(&sent)), 200);
        assert_eq!(shard.unchanged(&sent), 200, "{method:?}");
        shard.overtake(3);
        assert_eq!(shard.unchanged(&spaced(&sent)), 200, "{method:?}");
        assert_eq!(shard.unchanged(&sent), 200, "{method:?}");
        // Within a name a space counts.
        assert_eq!(
            shard.unchanged(&order(method, 5, 8, "a ")),
            412,
            "{method:?}"
        );
    }
}

#[test]
fn given_an_order_that_could_not_be_taken_when_it_is_sent_again_then_it_is_refused_for_ever() {
    for method in METHODS {
        let mut shard = Shard::begun();
        let low = order(method, 5, 5, "a");
        let torn = Change::Put {
            if_match: Some(5),
            body: Blob(b"{\"version\":8".to_vec()),
        };
        assert_eq!(shard.unchanged(&low), 422, "{method:?}");
        assert_eq!(shard.unchanged(&torn), 400);
        shard.overtake(1);
        assert_eq!(shard.unchanged(&low), 412, "{method:?}");
        assert_eq!(shard.unchanged(&torn), 412);
    }
}

#[test]
fn given_a_base_that_is_not_in_force_yet_when_refused_then_the_refusal_does_not_bind_other_copies()
{
    for method in METHODS {
        let mut shard = Shard::begun();
        let early = order(method, 8, 11, "early");
        let verdict = shard.judge(&early);
        assert_eq!(
            (verdict.status, verdict.binding),
            (412, false),
            "{method:?}"
        );
        shard.submit(&order(method, 5, 8, "a"));
        assert_eq!(shard.submit(&early), 200, "{method:?}");
    }
}

#[test]
fn given_no_configuration_yet_when_a_first_one_is_sent_without_a_base_then_its_repeat_is_known() {
    let mut shard = Shard::default();
    let Change::Put { body, .. } = order(Method::Put, 0, 5, "a") else {
        unreachable!("a PUT")
    };
    let bare = Change::Put {
        if_match: None,
        body: body.clone(),
    };
    assert_eq!(shard.submit(&bare), 200);
    assert_eq!(shard.unchanged(&bare), 200);
    let named = Change::Put {
        if_match: Some(0),
        body,
    };
    assert_eq!(shard.unchanged(&named), 200, "a missing base is 0");
    shard.overtake(2);
    assert_eq!(shard.unchanged(&bare), 200);
}

#[test]
fn given_versions_of_weights_when_taken_overtaken_or_late_then_each_is_acknowledged_and_the_highest_holds()
 {
    let name = |version| Change::Name {
        model: "daka".to_owned(),
        version,
    };
    let mut shard = Shard::begun();
    assert_eq!(shard.submit(&name(2)), 200);
    assert_eq!(shard.unchanged(&name(2)), 200, "in force");
    assert_eq!(shard.submit(&name(4)), 200);
    assert_eq!(shard.unchanged(&name(2)), 200, "overtaken");
    assert_eq!(
        shard.unchanged(&name(3)),
        200,
        "overtaken before it was heard of"
    );
    shard.overtake(300);
    assert_eq!(shard.unchanged(&name(2)), 200, "after hundreds of changes");
    let state = ConfigurationState::read(&shard.0).expect("a state");
    assert_eq!(state.models[0].version, 4);
}

/// Two bodies for which 64-bit FNV-1a, by which orders were known before, gives one value. Found in a minute on two
/// cores by Pollard's rho with distinguished points.
#[test]
fn given_two_bodies_that_collide_in_a_weak_hash_when_one_was_taken_then_the_other_is_refused() {
    let body = |filler: &str| {
        format!("{{\"version\":8,\"routes\":[],\"services\":[],\"note\":\"{filler}\"}}")
    };
    let bodies = [body("vGJJrf/weLP"), body("51bOSnk4+FB")];
    let weak = bodies
        .each_ref()
        .map(|b| sparrouter_rendezvous::hash(b.as_bytes()));
    assert_eq!(weak[0], weak[1]);
    let [taken, other] = bodies.map(|body| Change::Put {
        if_match: Some(5),
        body: Blob(body.into_bytes()),
    });
    let mut shard = Shard::begun();
    assert_eq!(shard.submit(&taken), 200);
    assert_eq!(shard.unchanged(&other), 412);
    assert_eq!(shard.unchanged(&taken), 200);
}

#[test]
fn given_a_change_that_makes_the_state_too_large_when_sent_then_it_is_refused_clearly_and_not_left_open()
 {
    let max_bytes = sparrouter_consensus::Settings::default().max_body_bytes;
    let filler = "n".repeat(max_bytes - 200);
    let mut shard = Shard::default();
    let large = Change::Put {
        if_match: Some(0),
        body: Blob(
            format!("{{\"version\":5,\"routes\":[],\"services\":[],\"note\":\"{filler}\"}}")
                .into_bytes(),
        ),
    };
    assert_eq!(shard.submit(&large), 200);
    assert!(shard.0.len() <= max_bytes);
    let longer_name = "s".repeat(200);
    assert_eq!(
        shard.unchanged(&order(Method::Patch, 5, 8, &longer_name)),
        413
    );
    // A smaller one is taken.
    assert_eq!(shard.submit(&order(Method::Put, 5, 8, &longer_name)), 200);
}
