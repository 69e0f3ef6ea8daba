//! Bytes of the configuration's shard: the form of an earlier release is converted, that of a later one refused.
use nanoserde::SerBin;
use sparrouter_codec::{Blob, Seq};
use sparrouter_consensus::{Applied, Machine};
use sparrouter_fleet::control::configuration_state::{
    Change, ConfigurationMachine, ConfigurationState, FORM, NamedVersion, StateFormatError, Verdict,
};

/// Form 1, as releases up to 2026-12-01 wrote it.
#[derive(SerBin)]
struct FirstForm {
    version: u64,
    text: String,
    taken: Seq<FirstFormOrder>,
    models: Seq<NamedVersion>,
}

#[derive(SerBin)]
struct FirstFormOrder {
    digest: u64,
    version: u64,
}

const TEXT: &str = "{\"version\":7,\"routes\":[],\"services\":[]}";

fn first_form() -> Vec<u8> {
    let taken = FirstFormOrder {
        digest: 0x1234_5678_9abc_def0,
        version: 7,
    };
    let model = NamedVersion {
        model: "daka".to_owned(),
        version: 3,
    };
    let state = FirstForm {
        version: 7,
        text: TEXT.to_owned(),
        taken: vec![taken].into(),
        models: vec![model].into(),
    };
    state.serialize_bin()
}

fn put(base: u64, body: &str) -> Change {
    Change::Put {
        if_match: Some(base),
        body: Blob(body.as_bytes().to_vec()),
    }
}

fn apply(body: &[u8], change: &Change) -> (Option<Vec<u8>>, Verdict) {
    let (body, answer) = match ConfigurationMachine.apply(body, &change.serialize_bin()) {
        Applied::Changed { body, answer } => (Some(body), answer),
        Applied::Unchanged { answer } => (None, answer),
    };
    (body, sparrouter_codec::read(&answer).expect("a verdict"))
}

#[test]
fn given_the_first_form_when_read_then_configuration_and_weights_stay_and_old_orders_are_unknown() {
    let state = ConfigurationState::read(&first_form()).expect("form 1 is read");
    assert_eq!((state.version, state.text.as_str()), (7, TEXT));
    assert_eq!(
        (state.models[0].model.as_str(), state.models[0].version),
        ("daka", 3)
    );
    assert_eq!((state.orders.newest(), state.orders.known()), (7, 0));
    // The 64-bit digests prove nothing: neither confirmed nor refused.
    assert_eq!(apply(&first_form(), &put(5, TEXT)).1.status, 504);
}

#[test]
fn given_the_first_form_when_a_change_is_taken_then_the_new_form_is_written() {
    let next = TEXT.replace('7', "9");
    let (body, verdict) = apply(&first_form(), &put(7, &next));
    assert_eq!(verdict.status, 200);
    let body = body.expect("a new state");
    let state = ConfigurationState::read(&body).expect("what was written is read");
    assert_eq!(
        (state.version, state.models.len(), state.orders.known()),
        (9, 1, 1)
    );
    assert_eq!(apply(&body, &put(7, &next)).1.status, 200);
    assert_eq!(
        apply(&body, &put(7, &next.replace("[]", "[ ]"))).1.status,
        200
    );
    assert_eq!(
        apply(&body, &put(7, &TEXT.replace('7', "11"))).1.status,
        412
    );
}

#[test]
fn given_a_newer_form_when_read_then_it_is_refused_with_its_remedy_and_nothing_is_written() {
    let mut body = ConfigurationState::default().encode();
    body[8..12].copy_from_slice(&(FORM + 1).to_le_bytes());
    assert_eq!(
        ConfigurationState::read(&body),
        Err(StateFormatError::Newer { found: FORM + 1 })
    );
    let (written, verdict) = apply(&body, &put(0, TEXT));
    assert_eq!((written, verdict.status), (None, 500));
    assert!(
        verdict.text.contains("bring all nodes to one release"),
        "{}",
        verdict.text
    );
}

#[test]
fn given_damaged_bytes_when_read_then_they_are_refused_without_a_panic() {
    let (body, _) = apply(&[], &put(0, TEXT));
    let body = body.expect("the first configuration is taken");
    for length in 1..body.len() {
        assert!(
            ConfigurationState::read(&body[..length]).is_err(),
            "{length}"
        );
    }
    // A chain that does not end at the version in force.
    let mut other = ConfigurationState::read(&body).expect("what was written is read");
    other.version += 1;
    assert_eq!(
        ConfigurationState::read(&other.encode()),
        Err(StateFormatError::Unreadable)
    );
    let mut rng = fastrand::Rng::with_seed(7);
    for _ in 0..2_000 {
        let mut body = body.clone();
        for _ in 0..rng.usize(1..6) {
            let index = rng.usize(..body.len());
            body[index] = rng.u8(..);
        }
        // Any result will do, a panic will not.
        let _ = ConfigurationState::read(&body);
    }
}
