//! Errors of the operator's file, and its defaults.
use super::*;

#[test]
fn errors_name_line_and_field_and_defaults_are_shown() {
    for (text, expected) in [
        (
            "[report]\npath = \"x\"\nevery_ms = 5\n",
            "line 3, report.every_ms: 5 is not from 100 to 60000",
        ),
        (
            "[report]\npath = \"x\"\nkeep_kib = 1\n",
            "line 3, report.keep_kib",
        ),
        ("[report]\nevery_ms = 500\n", "path"),
        ("[identity]\ngenerations = \"a\"\n", "generations"),
        ("generation = \"a\"\n", "generation"),
        ("[report\n", "line 1"),
        (
            "[shares]\n\nlease_ms = 50\n",
            "line 3, shares.lease_ms: 50 is not from 200 to 60000",
        ),
        ("[shares]\nlease = 50\n", "lease"),
    ] {
        let error = OperatorConfig::parse(text).unwrap_err().to_string();
        assert!(error.contains(expected), "{error}");
    }
    let shown = OperatorConfig::parse("[report]\npath = \"x\"\n")
        .unwrap()
        .to_toml();
    assert!(
        shown.contains("every_ms = 1000") && shown.contains("keep_kib = 4096"),
        "{shown}"
    );
    assert!(OperatorConfig::parse("").unwrap().report.is_none());
}
