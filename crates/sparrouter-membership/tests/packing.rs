//! Encoding and decoding of membership deltas.
use nanoserde::SerBin;
use sparrouter_membership::{
    LifecycleState, LoadedModel, MembershipDelta, NodeRecord, ServerDirective, ServerRecord,
};

/// Edge cases for the compact encodings of names and addresses.
const TEXTS: [&str; 8] = [
    "",
    "lekh",
    "ü",
    "10.0.0.1:80",
    "010.0.0.1:80",
    "10.0.0.1:080",
    "[::1]:80",
    "9.9.9.9:65535",
];

fn random_text(rng: &mut fastrand::Rng) -> String {
    TEXTS[rng.usize(..TEXTS.len())].to_owned()
}

/// A random number whose length in bits is also random.
fn random_number(rng: &mut fastrand::Rng) -> u64 {
    rng.u64(..) >> rng.u32(..64)
}

fn random_state(rng: &mut fastrand::Rng) -> LifecycleState {
    [
        LifecycleState::Ready,
        LifecycleState::Draining,
        LifecycleState::Left,
    ][rng.usize(..3)]
}

fn random_model(rng: &mut fastrand::Rng) -> LoadedModel {
    LoadedModel {
        name: random_text(rng),
        version: random_number(rng),
    }
}

fn random_server(rng: &mut fastrand::Rng) -> ServerRecord {
    ServerRecord {
        id: random_text(rng),
        service: random_text(rng),
        address: random_text(rng),
        zone: random_text(rng),
        slot_count: rng.u32(..),
        state: random_state(rng),
        call_sequence: random_number(rng),
        models: (0..rng.usize(..3)).map(|_| random_model(rng)).collect(),
        registrar: random_text(rng),
        unresponsive: rng.bool(),
    }
}

fn random_node(rng: &mut fastrand::Rng) -> NodeRecord {
    NodeRecord {
        name: random_text(rng),
        internal_address: random_text(rng),
        control_address: random_text(rng),
        zone: random_text(rng),
        region: random_text(rng),
        counts_toward_quorum: rng.bool(),
        serves_clients: rng.bool(),
        disk_id: random_number(rng),
        incarnation: random_number(rng),
        nonce: random_number(rng),
        leaving: rng.bool(),
        unresponsive: rng.bool(),
    }
}

fn random_directive(rng: &mut fastrand::Rng) -> ServerDirective {
    ServerDirective {
        key: random_text(rng),
        fencing_token: random_number(rng),
        sequence: random_number(rng),
        version: random_number(rng),
        withdrawn: rng.bool(),
    }
}

fn random_delta(rng: &mut fastrand::Rng) -> MembershipDelta {
    let servers = (0..rng.usize(..9)).map(|_| random_server(rng)).collect();
    let nodes = (0..rng.usize(..9)).map(|_| random_node(rng)).collect();
    let directives = (0..rng.usize(..9)).map(|_| random_directive(rng)).collect();
    MembershipDelta {
        epoch: rng.u64(..),
        revision: random_number(rng),
        servers,
        nodes,
        directives,
    }
}

#[test]
fn given_random_records_when_packed_and_unpacked_then_the_delta_is_unchanged() {
    let mut rng = fastrand::Rng::with_seed(5);
    for _ in 0..2_000 {
        let delta = random_delta(&mut rng);
        assert_eq!(MembershipDelta::unpack(&delta.pack()), Some(delta));
    }
}

#[test]
fn given_truncated_or_corrupted_bytes_when_unpacked_then_no_panic_and_truncation_is_rejected() {
    let mut rng = fastrand::Rng::with_seed(6);
    for _ in 0..500 {
        let packed = random_delta(&mut rng).pack();
        for end in 0..packed.len() {
            assert_eq!(
                MembershipDelta::unpack(&packed[..end]),
                None,
                "a truncated delta is malformed"
            );
        }
        let mut corrupted = packed.clone();
        let index = rng.usize(..corrupted.len());
        corrupted[index] = rng.u8(..);
        let _ = MembershipDelta::unpack(&corrupted);
    }
}

#[test]
fn given_a_long_name_referenced_20000_times_when_unpacked_then_it_is_rejected_to_bound_memory() {
    let service = "x".repeat(100_000);
    let record = ServerRecord {
        service,
        ..ServerRecord::default()
    };
    let delta = MembershipDelta {
        servers: vec![record; 20_000].into(),
        ..MembershipDelta::default()
    };
    let packed = delta.pack();
    assert!(packed.len() < 500_000);
    assert_eq!(
        MembershipDelta::unpack(&packed),
        None,
        "half a megabyte of input must not allocate two gigabytes of text"
    );
}

#[test]
fn given_1000_servers_of_one_service_when_packed_then_each_takes_less_than_30_bytes() {
    let server = |i: usize| ServerRecord {
        id: format!("i-{i:010x}"),
        service: "huvo11a".into(),
        address: format!("10.{}.64.{}:8749", i % 3 + 1, i / 3 % 250),
        zone: ["lalitpur-hall", "bhaktapur-hall", "kirtipur-hall"][i % 3].into(),
        slot_count: 64,
        call_sequence: 3,
        models: vec![LoadedModel {
            name: "daka510000".into(),
            version: 1,
        }]
        .into(),
        registrar: ["frontend-lalitpur-hall-1", "frontend-kirtipur-hall-1"][i % 2].into(),
        ..ServerRecord::default()
    };
    let delta = MembershipDelta {
        servers: (0..1_000).map(server).collect(),
        ..MembershipDelta::default()
    };
    let (packed_length, plain_length) = (delta.pack().len(), delta.serialize_bin().len());
    assert!(
        packed_length < 30_000 && plain_length > 130_000,
        "{packed_length} and {plain_length} bytes"
    );
}
