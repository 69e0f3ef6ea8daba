//! Encoding of the configuration's shard: a state in the format of an earlier release is converted, and one in the
//! format of a later release is refused.
use nanoserde::SerBin;
use sparrouter_codec::{Blob, Seq};
use sparrouter_consensus::{Applied, Machine};
use sparrouter_fleet::control::configuration_state::{
    Change, ConfigurationMachine, ConfigurationState, FORMAT_VERSION, NamedVersion,
    StateFormatError, Verdict,
};

/// State in format 1, which releases up to 2026-12-01 wrote.
#[derive(SerBin)]
struct FirstFormat {
    version: u64,
    text: String,
    taken: Seq<FirstFormatOrder>,
    models: Seq<NamedVersion>,
}

#[derive(SerBin)]
struct FirstFormatOrder {
    digest: u64,
    version: u64,
}

const TEXT: &str = "{\"version\":7,\"routes\":[],\"services\":[]}";

fn first_format() -> Vec<u8> {
    let taken = FirstFormatOrder {
        digest: 0x1234_5678_9abc_def0,
        version: 7,
    };
    let model = NamedVersion {
        model: "daka".to_owned(),
        version: 3,
    };
    let state = FirstFormat {
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
    (
        body,
        sparrouter_codec::read(&answer).expect("a decodable verdict"),
    )
}

#[test]
fn given_format_1_when_read_then_configuration_and_weights_are_kept_and_earlier_orders_are_unknown()
{
    let state = ConfigurationState::read(&first_format()).expect("a readable state in format 1");
    assert_eq!((state.version, state.text.as_str()), (7, TEXT));
    assert_eq!(
        (state.models[0].model.as_str(), state.models[0].version),
        ("daka", 3)
    );
    assert_eq!((state.orders.newest(), state.orders.known()), (7, 0));
    // The 64-bit digests prove nothing: the order is neither confirmed nor refused.
    assert_eq!(apply(&first_format(), &put(5, TEXT)).1.status, 504);
}

#[test]
fn given_format_1_when_a_change_is_applied_then_the_current_format_is_written() {
    let next = TEXT.replace('7', "9");
    let (body, verdict) = apply(&first_format(), &put(7, &next));
    assert_eq!(verdict.status, 200);
    let body = body.expect("a changed state");
    let state = ConfigurationState::read(&body).expect("a readable state");
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
fn given_a_newer_format_when_read_then_the_error_names_the_remedy_and_the_state_is_unchanged() {
    let mut body = ConfigurationState::default().encode();
    body[8..12].copy_from_slice(&(FORMAT_VERSION + 1).to_le_bytes());
    assert_eq!(
        ConfigurationState::read(&body),
        Err(StateFormatError::Newer {
            found: FORMAT_VERSION + 1
        })
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
fn given_damaged_bytes_when_read_then_decoding_does_not_panic() {
    let (body, _) = apply(&[], &put(0, TEXT));
    let body = body.expect("the first configuration is applied");
    for length in 1..body.len() {
        assert!(
            ConfigurationState::read(&body[..length]).is_err(),
            "{length}"
        );
    }
    // A state whose order history does not end at the version in force.
    let mut inconsistent = ConfigurationState::read(&body).expect("a readable state");
    inconsistent.version += 1;
    assert_eq!(
        ConfigurationState::read(&inconsistent.encode()),
        Err(StateFormatError::Unreadable)
    );
    let mut rng = fastrand::Rng::with_seed(7);
    for _ in 0..2_000 {
        let mut body = body.clone();
        for _ in 0..rng.usize(1..6) {
            let index = rng.usize(..body.len());
            body[index] = rng.u8(..);
        }
        // Any result is accepted, as long as decoding does not panic.
        let _ = ConfigurationState::read(&body);
    }
}
