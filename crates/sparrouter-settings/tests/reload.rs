//! Reload of settings in a running node: indices of operations and tenants, and fields that need a restart.
use sparrouter_balancer::types::OperationMapping;
use sparrouter_settings::{NameTable, Settings};

fn settings(operations: &[(&str, i64)], tenants: &[&str], forwards: usize) -> Settings {
    let classes: Vec<String> = operations
        .iter()
        .map(|(n, us)| {
            format!(
                r#"{{"Name":"{n}","ObjectiveUs":{us},"DeadlineUs":900000,"Effect":"read_like"}}"#
            )
        })
        .collect();
    let tenants: Vec<String> = tenants
        .iter()
        .map(|t| format!(r#"{{"Name":"{t}","QuotaPerS":5,"Share":1}}"#))
        .collect();
    let text = format!(
        r#"{{"Areas":[],"Classes":[{}],"Tenants":[{}],"Limits":{{"MaxAttempts":{forwards}}},
         "Safety":{{"AnswerSlackUs":0,"StartCapacity":0.2,"ColdUs":1,"FallMultiple":3,"FallUs":1}}}}"#,
        classes.join(","),
        tenants.join(",")
    );
    serde_json::from_str(&text).expect("valid")
}
fn mapping(new_index: usize, old_index: Option<usize>) -> OperationMapping {
    OperationMapping {
        new_index,
        old_index,
    }
}

#[test]
fn a_changed_operation_gets_a_new_index_and_busy_operations_keep_their_indices() {
    let old = settings(&[("get", 100), ("put", 200)], &["a", "b"], 3);
    let mut names = NameTable::new(&old);
    // One operation's latency target changes, one is removed, one is added; a tenant is added before the others.
    let new = settings(&[("scan", 50), ("get", 300)], &["c", "b"], 3);
    let change = names.apply_settings(&old, &new, |p| p == 1);
    assert_eq!(change.operations, [mapping(2, None), mapping(3, Some(0))]);
    assert_eq!(change.tenants, [None, Some(1)]);
    assert_eq!(
        (names.operation(b"put"), names.operation(b"get")),
        (None, Some(3))
    );
    assert_eq!((names.tenant(b"a"), names.tenant(b"c")), (None, Some(0)));
    // The first two operations have no open invocations, so their indices may be reused.
    let later = settings(&[("scan", 50), ("get", 400)], &["c", "b"], 3);
    let change = names.apply_settings(&new, &later, |_| false);
    assert_eq!(
        change.operations,
        [mapping(2, Some(2)), mapping(0, Some(3))]
    );
    // Other limits apply to every operation, so all get new indices.
    let limited = settings(&[("scan", 50), ("get", 400)], &["c", "b"], 2);
    let change = names.apply_settings(&later, &limited, |p| p == 1);
    assert_eq!(
        change.operations,
        [mapping(3, Some(2)), mapping(4, Some(0))]
    );
}

/// In any sequence of reloads with open invocations, an index in use is never assigned to another operation.
#[test]
fn indices_in_use_are_never_reassigned_and_stay_few() {
    let mut rng = fastrand::Rng::with_seed(5);
    let mut current = settings(&[("a", 1), ("b", 1)], &[], 3);
    let mut names = NameTable::new(&current);
    let mut open: Vec<(usize, String)> = Vec::new();
    let mut highest = 0;
    for _ in 0..2000 {
        let all = ["a", "b", "c", "d"];
        let drawn: Vec<(&str, i64)> = all
            .iter()
            .map(|n| (*n, rng.i64(-2..4)))
            .filter(|(_, us)| *us > 0)
            .collect();
        let new = settings(&drawn, &[], rng.usize(2..4));
        open.retain(|_| rng.f64() < 0.6);
        let busy: Vec<usize> = open.iter().map(|o| o.0).collect();
        let change = names.apply_settings(&current, &new, |p| busy.contains(&p));
        let mut indices: Vec<usize> = change.operations.iter().map(|t| t.new_index).collect();
        highest = indices
            .iter()
            .copied()
            .chain([highest])
            .max()
            .expect("valid");
        for ((name, us), t) in drawn.iter().zip(&change.operations) {
            let under = format!("{name} {us} {}", new.limits.max_attempts);
            for (_, rules) in open.iter().filter(|o| o.0 == t.new_index) {
                assert_eq!(
                    *rules, under,
                    "an index in use was assigned to another operation"
                );
            }
            open.push((t.new_index, under));
        }
        indices.sort_unstable();
        indices.dedup();
        assert_eq!(indices.len(), drawn.len());
        current = new;
    }
    assert!(highest < 30, "{highest}");
}

#[test]
fn settings_that_need_a_restart_are_named() {
    let (old, mut new) = (
        settings(&[("a", 1)], &[], 3),
        settings(&[("a", 2)], &["t"], 2),
    );
    assert!(old.restart_required(&new).is_empty());
    (new.tick_us, new.limits.second_copies) = (7, true);
    assert_eq!(
        old.restart_required(&new),
        ["TickUs", "Limits.SecondCopies"]
    );
}
