//! Errors of plan files.
use sparrouter_rollout::plan::Plan;

/// The valid start of a plan, without its nodes.
const STAGES: &str = "name = \"a\"\nchange = { generation = \"new\", from = \"old\" }\n[stages]\nparts = [0.5, 1.0]\nhold_s = 5\nlongest_s = 9\n";

fn node(name: &str) -> String {
    format!(
        "[[node]]\nname = \"{name}\"\nchange = [\"x\"]\nback = [\"x\"]\nrestart = [\"x\"]\nreport = \"r\"\n"
    )
}

fn two_nodes() -> String {
    node("a") + &node("b")
}

/// Asserts that the plan is rejected with an error that contains `expected`.
fn assert_rejected(text: &str, expected: &str) {
    let error = Plan::read(text).unwrap_err().to_string();
    assert!(error.contains(expected), "{error}");
}

#[test]
fn given_a_valid_plan_when_read_then_it_is_accepted() {
    assert!(Plan::read(&(STAGES.to_owned() + &two_nodes())).is_ok());
}

#[test]
fn given_invalid_stages_or_change_when_read_then_the_error_names_line_and_field() {
    for (valid, invalid, expected) in [
        (
            "parts = [0.5, 1.0]",
            "parts = [0.5, 0.2]",
            "line 4, stages.parts",
        ),
        ("longest_s = 9", "longest_s = 2", "line 6, stages.longest_s"),
        ("hold_s = 5", "hold_s = -5", "line 5, stages.hold_s"),
        ("hold_s = 5", "held_s = 5", "held_s"),
        ("\"new\"", "\"old\"", "line 2, change.generation"),
        (
            "\"old\" }",
            "\"old\", placement = true }",
            "line 2, change.placement",
        ),
    ] {
        assert!(STAGES.contains(valid), "{valid}");
        assert_rejected(&(STAGES.replace(valid, invalid) + &two_nodes()), expected);
    }
}

#[test]
fn given_invalid_nodes_or_bounds_when_read_then_the_error_names_line_and_field() {
    let bounds = "[bounds]\nfetches_per_s = -3\n".to_owned();
    for (rest, expected) in [
        (node("a") + &node("a"), "line 14, node.name"),
        (bounds + &two_nodes(), "line 8, bounds.fetches_per_s"),
        (node("a"), "at least two"),
        (node("a") + &node(""), "a node needs a name"),
        (
            two_nodes().replace("back = [\"x\"]", "back = []"),
            "node.back",
        ),
    ] {
        assert_rejected(&(STAGES.to_owned() + &rest), expected);
    }
}
