//! The state machine of the configuration's shard: every member gets the same result, also for repeated changes.
use nanoserde::SerBin;
use sparrouter_codec::Blob;
use sparrouter_consensus::{Applied, Machine};
use sparrouter_fleet::control::configuration_state::{
    Change, ConfigurationMachine, ConfigurationState, MAX_KNOWN_ORDERS, Verdict,
};

/// The encoded state of the shard; each change that is applied replaces it.
#[derive(Default)]
struct Shard(Vec<u8>);

impl Shard {
    fn apply_bytes(&mut self, change: &[u8]) -> Verdict {
        match ConfigurationMachine.apply(&self.0, change) {
            Applied::Changed { body, answer } => {
                assert_ne!(
                    body, self.0,
                    "the state reported as changed differs from the previous state"
                );
                self.0 = body;
                sparrouter_codec::read(&answer).expect("a decodable verdict")
            }
            Applied::Unchanged { answer } => {
                sparrouter_codec::read(&answer).expect("a decodable verdict")
            }
        }
    }
    fn apply(&mut self, change: &Change) -> u16 {
        self.apply_bytes(&change.serialize_bin()).status
    }
    fn state(&self) -> ConfigurationState {
        ConfigurationState::read(&self.0).expect("a readable state")
    }
    fn version(&self) -> u64 {
        self.state().version
    }
}

fn put(base: u64, version: u64, note: &str) -> Change {
    let body =
        format!("{{\"version\":{version},\"routes\":[],\"services\":[],\"note\":\"{note}\"}}");
    Change::Put {
        if_match: Some(base),
        body: Blob(body.into_bytes()),
    }
}

fn patch(base: u64, text: &str) -> Change {
    Change::Patch {
        if_match: Some(base),
        body: Blob(text.as_bytes().to_vec()),
    }
}

fn name(model: &str, version: u64) -> Change {
    Change::Name {
        model: model.to_owned(),
        version,
    }
}

#[test]
fn given_no_configuration_when_read_then_the_answer_is_404_and_the_state_is_unchanged() {
    let mut shard = Shard::default();
    assert_eq!(shard.apply(&Change::Get), 404);
    assert!(shard.0.is_empty());
}

#[test]
fn given_the_first_configuration_when_put_then_a_read_returns_the_same_text() {
    let mut shard = Shard::default();
    assert_eq!(shard.apply(&put(0, 3, "a")), 200);
    let read = shard.apply_bytes(&Change::Get.serialize_bin());
    assert_eq!(read.status, 200);
    assert_eq!(
        read.text,
        "{\"version\":3,\"routes\":[],\"services\":[],\"note\":\"a\"}"
    );
}

#[test]
fn given_an_applied_configuration_when_put_again_then_the_answer_is_200_and_the_state_is_unchanged()
{
    let mut shard = Shard::default();
    shard.apply(&put(0, 3, "a"));
    let before = shard.0.clone();
    assert_eq!(shard.apply(&put(0, 3, "a")), 200);
    assert_eq!(shard.0, before);
}

#[test]
fn given_a_superseded_configuration_when_put_again_then_the_answer_is_200_and_the_newer_version_stays()
 {
    let mut shard = Shard::default();
    shard.apply(&put(0, 3, "a"));
    shard.apply(&put(3, 5, "b"));
    assert_eq!(shard.apply(&put(0, 3, "a")), 200);
    assert_eq!(shard.version(), 5);
}

#[test]
fn given_two_changes_with_the_same_base_when_put_then_the_second_is_always_rejected_with_412() {
    let mut shard = Shard::default();
    shard.apply(&put(0, 3, "a"));
    assert_eq!(shard.apply(&put(3, 5, "b")), 200);
    for _ in 0..3 {
        assert_eq!(shard.apply(&put(3, 7, "c")), 412);
    }
    assert_eq!(shard.version(), 5);
    // With the accepted version as its base, it is a different change.
    assert_eq!(shard.apply(&put(5, 7, "c")), 200);
}

#[test]
fn given_two_configurations_with_the_same_version_when_put_then_the_first_is_accepted() {
    let mut shard = Shard::default();
    shard.apply(&put(0, 3, "a"));
    assert_eq!(shard.apply(&put(3, 5, "b")), 200);
    assert_eq!(shard.apply(&put(3, 5, "c")), 412);
    assert!(shard.state().text.contains("\"b\""));
}

#[test]
fn given_puts_without_if_match_when_applied_then_only_the_first_configuration_is_accepted() {
    let mut shard = Shard::default();
    let put_without_base = |version: u64| {
        let body = format!("{{\"version\":{version},\"routes\":[],\"services\":[]}}");
        Change::Put {
            if_match: None,
            body: Blob(body.into_bytes()),
        }
    };
    assert_eq!(shard.apply(&put_without_base(1)), 200);
    assert_eq!(shard.apply(&put_without_base(2)), 412);
}

#[test]
fn given_invalid_bodies_when_put_then_the_answer_is_400_or_422_and_the_state_is_unchanged() {
    let mut shard = Shard::default();
    shard.apply(&put(0, 3, "a"));
    let before = shard.0.clone();
    let bodies: [&[u8]; 6] = [
        b"",
        b"{\"version\":4",
        b"\xff",
        b"{\"version\":3,\"routes\":[],\"services\":[]}",
        b"{\"version\":4,\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"path_prefix\":\"/a/\",\"service\":\"none\",\
          \"timeout_ms\":1}],\"services\":[]}",
        b"[]",
    ];
    for body in bodies {
        let change = Change::Put {
            if_match: Some(3),
            body: Blob(body.to_vec()),
        };
        let status = shard.apply(&change);
        assert!(matches!(status, 400 | 422), "{status}");
        assert_eq!(shard.0, before);
    }
}

#[test]
fn given_a_patch_when_applied_then_items_are_added_and_removed_and_its_retry_answers_200() {
    let mut shard = Shard::default();
    let complete = "{\"version\":1,\"routes\":[],\"services\":[{\"name\":\"s\"},{\"name\":\"t\"}],\"tenants\":[]}";
    shard.apply(&Change::Put {
        if_match: Some(0),
        body: Blob(complete.as_bytes().to_vec()),
    });
    let text = "{\"version\":4,\"upsert_items\":{\"services\":[{\"name\":\"u\"}]},\
                \"remove_names\":{\"services\":[\"s\"]}}";
    assert_eq!(shard.apply(&patch(1, text)), 200);
    let after = shard.state();
    assert_eq!(after.version, 4);
    assert!(
        !after.text.contains("\"s\"") && after.text.contains("\"u\""),
        "{}",
        after.text
    );
    assert_eq!(shard.apply(&patch(1, text)), 200);
    assert_eq!(shard.version(), 4);
    // The same bytes sent as a complete configuration are a different change.
    assert_eq!(
        shard.apply(&Change::Put {
            if_match: Some(1),
            body: Blob(text.as_bytes().to_vec())
        }),
        412
    );
}

#[test]
fn given_no_configuration_when_patched_then_the_answer_is_422() {
    let mut shard = Shard::default();
    assert_eq!(
        shard.apply(&patch(0, "{\"version\":1,\"upsert_items\":{}}")),
        422
    );
}

#[test]
fn given_named_versions_of_weights_when_an_older_one_is_named_then_the_newest_stays() {
    let mut shard = Shard::default();
    assert_eq!(shard.apply(&name("m", 2)), 200);
    assert_eq!(shard.apply(&name("m", 1)), 200);
    assert_eq!(shard.apply(&name("n", 1)), 200);
    let named: Vec<(String, u64)> = shard
        .state()
        .models
        .iter()
        .map(|m| (m.model.clone(), m.version))
        .collect();
    assert_eq!(named, [("m".to_owned(), 2), ("n".to_owned(), 1)]);
    assert_eq!(shard.apply(&name("", 1)), 400);
    assert_eq!(shard.apply(&name("m", 0)), 400);
    assert_eq!(shard.apply(&name(&"m".repeat(300), 1)), 400);
}

#[test]
fn given_a_configuration_when_a_version_of_weights_is_named_then_the_configuration_is_unchanged() {
    let mut shard = Shard::default();
    shard.apply(&put(0, 3, "a"));
    let text = shard.state().text;
    shard.apply(&name("m", 2));
    assert_eq!((shard.version(), shard.state().text), (3, text));
    assert_eq!(shard.apply(&put(3, 4, "b")), 200);
}

#[test]
fn given_many_changes_when_applied_then_the_order_history_is_bounded_and_no_change_is_rejected() {
    const CHANGES: u64 = 3 * MAX_KNOWN_ORDERS as u64;
    let mut shard = Shard::default();
    for version in 1..=CHANGES {
        assert_eq!(shard.apply(&put(version - 1, version, "a")), 200);
    }
    let state = shard.state();
    assert_eq!(state.orders.known(), MAX_KNOWN_ORDERS);
    let max_bytes = 40 * MAX_KNOWN_ORDERS + state.text.len() + 64;
    assert!(
        shard.0.len() <= max_bytes,
        "{} of {max_bytes}",
        shard.0.len()
    );
    let oldest_known = CHANGES - MAX_KNOWN_ORDERS as u64 + 1;
    for version in 1..=CHANGES {
        let applied = shard.apply(&put(version - 1, version, "a"));
        let conflicting = shard.apply(&put(version - 1, version, "b"));
        let expected = if version >= oldest_known {
            (200, 412)
        } else {
            (504, 504)
        };
        assert_eq!((applied, conflicting), expected, "{version}");
    }
}

#[test]
fn given_an_unknown_base_when_the_new_version_is_newer_than_the_history_base_then_the_answer_is_412()
 {
    const CHANGES: u64 = MAX_KNOWN_ORDERS as u64 + 10;
    let mut shard = Shard::default();
    for version in 1..=CHANGES {
        shard.apply(&put(version - 1, version, "a"));
    }
    assert_eq!(shard.apply(&put(4, 10, "b")), 504);
    assert_eq!(shard.apply(&put(4, 11, "b")), 412);
    assert_eq!(shard.apply(&put(4, CHANGES + 1, "b")), 412);
}

#[test]
fn given_bytes_in_an_unknown_format_when_applied_then_an_error_is_reported_and_the_state_is_unchanged()
 {
    let mut shard = Shard::default();
    assert_eq!(shard.apply_bytes(b"\xff\xff").status, 400);
    let mut unreadable = Shard(vec![1, 2, 3]);
    let reported = unreadable.apply_bytes(&Change::Get.serialize_bin());
    assert_eq!(
        (reported.status, unreadable.0.as_slice()),
        (500, &[1, 2, 3][..])
    );
    assert!(reported.text.contains("bring all nodes to one"));
}
