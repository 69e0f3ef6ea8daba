//! Rows to bytes and back.
use nanoserde::SerBin;
use sparrouter_membership::{Delta, ModelAt, NodeRow, Note, ServerRow, Standing};

fn any(rng: &mut fastrand::Rng) -> Delta {
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
        [Standing::Ready, Standing::Draining, Standing::Gone][rng.usize(..3)]
    };
    let servers = (0..rng.usize(..9)).map(|_| ServerRow {
        id: word(rng),
        service: word(rng),
        address: word(rng),
        zone: word(rng),
        slot_count: rng.u32(..),
        standing: standing(rng),
        call_sequence: number(rng),
        models: (0..rng.usize(..3))
            .map(|_| ModelAt {
                name: word(rng),
                version: number(rng),
            })
            .collect(),
        registrar: word(rng),
        silent: rng.bool(),
    });
    let servers = servers.collect();
    let nodes = (0..rng.usize(..9)).map(|_| NodeRow {
        name: word(rng),
        internal: word(rng),
        control: word(rng),
        zone: word(rng),
        region: word(rng),
        counted: rng.bool(),
        front: rng.bool(),
        disk: number(rng),
        life: number(rng),
        nonce: number(rng),
        leaving: rng.bool(),
        silent: rng.bool(),
    });
    let nodes = nodes.collect();
    let notes = (0..rng.usize(..9)).map(|_| Note {
        key: word(rng),
        fence: number(rng),
        number: number(rng),
        value: number(rng),
        over: rng.bool(),
    });
    let notes = notes.collect();
    Delta {
        epoch: rng.u64(..),
        revision: number(rng),
        servers,
        nodes,
        notes,
    }
}

#[test]
fn given_any_rows_when_packed_and_unpacked_then_they_are_the_same() {
    let mut rng = fastrand::Rng::with_seed(5);
    for _ in 0..2_000 {
        let delta = any(&mut rng);
        assert_eq!(Delta::unpack(&delta.pack()), Some(delta));
    }
}

#[test]
fn given_cut_or_changed_bytes_when_unpacked_then_they_are_refused_or_read_without_a_panic() {
    let mut rng = fastrand::Rng::with_seed(6);
    for _ in 0..500 {
        let packed = any(&mut rng).pack();
        for end in 0..packed.len() {
            assert_eq!(
                Delta::unpack(&packed[..end]),
                None,
                "a part is not the whole"
            );
        }
        let mut changed = packed.clone();
        let at = rng.usize(..changed.len());
        changed[at] = rng.u8(..);
        let _ = Delta::unpack(&changed);
    }
}

#[test]
fn given_a_long_text_named_many_times_when_unpacked_then_memory_stays_bounded() {
    let service = "x".repeat(100_000);
    let row = ServerRow {
        service,
        ..ServerRow::default()
    };
    let delta = Delta {
        servers: vec![row; 20_000].into(),
        ..Delta::default()
    };
    let packed = delta.pack();
    assert!(packed.len() < 500_000);
    assert_eq!(
        Delta::unpack(&packed),
        None,
        "two gigabytes of text from half a megabyte"
    );
}

#[test]
fn given_a_thousand_servers_of_one_service_when_packed_then_each_takes_few_bytes() {
    let server = |i: usize| ServerRow {
        id: format!("i-{i:010x}"),
        service: "huvo11a".into(),
        address: format!("10.{}.64.{}:8749", i % 3 + 1, i / 3 % 250),
        zone: ["lalitpur-hall", "bhaktapur-hall", "kirtipur-hall"][i % 3].into(),
        slot_count: 64,
        call_sequence: 3,
        models: vec![ModelAt {
            name: "daka510000".into(),
            version: 1,
        }]
        .into(),
        registrar: ["frontend-lalitpur-hall-1", "frontend-kirtipur-hall-1"][i % 2].into(),
        ..ServerRow::default()
    };
    let delta = Delta {
        servers: (0..1_000).map(server).collect(),
        ..Delta::default()
    };
    let (packed, plain) = (delta.pack().len(), delta.serialize_bin().len());
    assert!(packed < 30_000 && plain > 130_000, "{packed} and {plain}");
}
