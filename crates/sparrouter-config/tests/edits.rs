//! Edits that turn one text of the configuration into another.
use sparrouter_config::{Edit, Hunk, digest_of_text};

fn tenant(i: usize, key_count: usize) -> String {
    let keys: Vec<String> = (0..key_count).map(|k| format!("\"key-{i}-{k}\"")).collect();
    format!(
        "{{\"name\":\"t{i}\",\"api_keys\":[{}],\"priority\":1}}",
        keys.join(",")
    )
}

fn config(version: u64, tenants: &[String]) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r\"}}],\"tenants\":[{}]}}",
        tenants.join(",")
    )
}

#[test]
fn given_25000_tenants_when_three_change_then_the_edit_is_below_600_bytes_and_yields_the_new_text()
{
    let mut tenants: Vec<String> = (0..25_000).map(|i| tenant(i, 3)).collect();
    let old = config(7, &tenants);
    tenants[9_000] = tenant(9_000, 4);
    tenants.remove(20_000);
    tenants.push(tenant(30_000, 3));
    let new = config(9, &tenants);
    let edit = Edit::between(&old, &new);
    assert!(edit.size() < 600, "{} bytes", edit.size());
    assert_eq!(edit.apply(&old), Some(new));
}

#[test]
fn given_two_random_texts_when_the_edit_between_them_is_applied_then_the_result_is_the_new_text() {
    let mut rng = fastrand::Rng::with_seed(3);
    for _ in 0..3_000 {
        let mut text = || -> String {
            (0..rng.usize(..30))
                .map(|_| ["{", "}", "a", "ü", "{b", ",", "{b}"][rng.usize(..7)])
                .collect()
        };
        let (old, new) = (text(), text());
        assert_eq!(
            Edit::between(&old, &new).apply(&old),
            Some(new.clone()),
            "{old:?} to {new:?}"
        );
    }
}

#[test]
fn given_a_base_text_or_result_with_another_digest_when_an_edit_is_applied_then_it_is_rejected() {
    let old = config(1, &[tenant(1, 2), tenant(2, 2)]);
    let new = config(2, &[tenant(1, 2)]);
    let edit = Edit::between(&old, &new);
    assert_eq!(edit.apply(&old.replace("key-1-0", "key-1-9")), None);
    let wrong_result_digest = Edit {
        to: digest_of_text("another"),
        ..edit
    };
    assert_eq!(wrong_result_digest.apply(&old), None);
}

#[test]
fn given_a_hunk_with_an_out_of_bounds_range_when_the_edit_is_applied_then_it_is_rejected() {
    let from = digest_of_text("aü");
    for (start, length) in [(0, 9), (usize::MAX, 2), (2, 1), (5, 0)] {
        let hunks = vec![Hunk {
            start,
            length,
            text: String::new(),
        }];
        assert_eq!(
            Edit {
                from,
                to: digest_of_text(""),
                hunks
            }
            .apply("aü"),
            None,
            "{start} {length}"
        );
    }
}

#[test]
fn given_an_edit_that_repeats_a_range_100000_times_when_applied_then_it_is_rejected_as_too_large() {
    let old = "x".repeat(1 << 20);
    let hunks = vec![
        Hunk {
            start: 0,
            length: old.len(),
            text: String::new()
        };
        100_000
    ];
    assert_eq!(
        Edit {
            from: digest_of_text(&old),
            to: 1,
            hunks
        }
        .apply(&old),
        None
    );
}
