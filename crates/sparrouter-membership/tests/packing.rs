//! Rows to bytes and back.
use nanoserde::SerBin;
use sparrouter_membership::{
    LifecycleState, LoadedModel, MembershipDelta, NodeRecord, ServerDirective, ServerRecord,
};

fn any(rng: &mut fastrand::Rng) -> MembershipDelta {
    let word = |rng: &mut fastrand::Rng| {
        let words = [
            "",
            "lekh",
            "ü",
            "10.0.0.1:80",
            "010.0.0.1:80",
            "10.0.0.1:080",
            "[::1]:80",
            "9.9.9.9:65535",
        ];
        words[rng.usize(..words.len())].to_owned()
    };
    let number = |rng: &mut fastrand::Rng| rng.u64(..) >> rng.u32(..64);
    let standing = |rng: &mut fastrand::Rng| {
        [
            LifecycleState::Ready,
            LifecycleState::Draining,
            LifecycleState::Left,
        ][rng.usize(..3)]
    };
    let servers = (0..rng.usize(..9)).map(|_| ServerRecord {
        id: word(rng),
        service: word(rng),
        address: word(rng),
        zone: word(rng),
        slot_count: rng.u32(..),
        state: standing(rng),
        call_sequence: number(rng),
        models: (0..rng.usize(..3))
            .map(|_| LoadedModel {
                name: word(rng),
                version: number(rng),
            })
            .collect(),
        registrar: word(rng),
        unresponsive: rng.bool(),
    });
    let servers = servers.collect();
    let nodes = (0..rng.usize(..9)).map(|_| NodeRecord {
        name: word(rng),
        internal_address: word(rng),
        control_address: word(rng),
        zone: word(rng),
        region: word(rng),
        counts_toward_quorum: rng.bool(),
        serves_clients: rng.bool(),
        disk_id: number(rng),
        incarnation: number(rng),
        nonce: number(rng),
        leaving: rng.bool(),
        unresponsive: rng.bool(),
    });
    let nodes = nodes.collect();
    let notes = (0..rng.usize(..9)).map(|_| ServerDirective {
        key: word(rng),
        fencing_token: number(rng),
        sequence: number(rng),
        version: number(rng),
        withdrawn: rng.bool(),
    });
    let notes = notes.collect();
    MembershipDelta {
        epoch: rng.u64(..),
        revision: number(rng),
        servers,
        nodes,
        directives: notes,
    }
}

#[test]
fn given_any_rows_when_packed_and_unpacked_then_they_are_the_same() {
    let mut rng = fastrand::Rng::with_seed(5);
    for _ in 0..2_000 {
        let delta = any(&mut rng);
        assert_eq!(MembershipDelta::unpack(&delta.pack()), Some(delta));
    }
}

#[test]
fn given_cut_or_changed_bytes_when_unpacked_then_they_are_refused_or_read_without_a_panic() {
    let mut rng = fastrand::Rng::with_seed(6);
    for _ in 0..500 {
        let packed = any(&mut rng).pack();
        for end in 0..packed.len() {
            assert_eq!(
                MembershipDelta::unpack(&packed[..end]),
                None,
                "a part is not the whole"
            );
        }
        let mut changed = packed.clone();
        let at = rng.usize(..changed.len());
        changed[at] = rng.u8(..);
        let _ = MembershipDelta::unpack(&changed);
    }
}

#[test]
fn given_a_long_text_named_many_times_when_unpacked_then_memory_stays_bounded() {
    let service = "x".repeat(100_000);
    let row = ServerRecord {
        service,
        ..ServerRecord::default()
    };
    let delta = MembershipDelta {
        servers: vec![row; 20_000].into(),
        ..MembershipDelta::default()
    };
    let packed = delta.pack();
    assert!(packed.len() < 500_000);
    assert_eq!(
        MembershipDelta::unpack(&packed),
        None,
        "two gigabytes of text from half a megabyte"
    );
}

#[test]
fn given_a_thousand_servers_of_one_service_when_packed_then_each_takes_few_bytes() {
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
    let (packed, plain) = (delta.pack().len(), delta.serialize_bin().len());
    assert!(packed < 30_000 && plain > 130_000, "{packed} and {plain}");
}
