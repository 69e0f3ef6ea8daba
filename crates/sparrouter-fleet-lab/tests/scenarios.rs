//! Tests of scenario files: the shipped scenarios are valid, and validation errors name the field.
use sparrouter_fleet_lab::scenario::Scenario;
use std::path::Path;

#[test]
fn given_the_shipped_scenarios_when_read_then_all_are_valid() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios");
    let files = std::fs::read_dir(folder)
        .expect("the folder of scenarios is readable")
        .filter_map(Result::ok)
        .map(|e| e.path());
    let is_fleet_scenario = |p: &std::path::PathBuf| {
        p.file_name()
            .is_some_and(|n| n.to_string_lossy().starts_with("fleet-"))
    };
    let scenarios: Vec<_> = files.filter(is_fleet_scenario).collect();
    assert!(scenarios.len() >= 2);
    scenarios
        .iter()
        .for_each(|f| drop(Scenario::read(f).expect("the scenario is valid")));
}

#[test]
fn given_an_invalid_scenario_when_parsed_then_the_error_names_the_field() {
    let quick = include_str!("../scenarios/fleet-quick.toml");
    let error_of = |from: &str, to: &str| {
        let text = quick.replace(from, to);
        assert_ne!(text, quick, "the quick scenario contains {from}");
        Scenario::parse("x.toml", &text)
            .expect_err("the scenario is invalid")
            .to_string()
    };
    let cases = [
        (
            error_of("length_s = 6", "length_s = 9000"),
            "x.toml: length_s is 9000, not from 1 to 600",
        ),
        (error_of("core = 3", "core = 0"), "x.toml: nodes.core is 0"),
        (
            error_of("plain = 1", "plain = 90"),
            "x.toml: nodes.core and nodes.plain is 93",
        ),
        (
            error_of("rate_per_s = 40", "rate_per_s = 1e9"),
            "x.toml: load.rate_per_s is 1000000000",
        ),
        (
            error_of("which = 1", "which = 7"),
            "x.toml: step.which is 7, not from 0 to 3",
        ),
        (error_of("at_s = 4", "at_s = 40"), "x.toml: step.at_s is 40"),
        (
            error_of("do = \"crash\"", "do = \"melt\""),
            "unknown variant `melt`",
        ),
        (error_of("slots = 16", "slot = 16"), "unknown field `slot`"),
    ];
    for (error, expected) in cases {
        assert!(error.contains(expected), "{error}");
    }
}
