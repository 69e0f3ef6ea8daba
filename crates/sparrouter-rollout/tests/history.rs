//! Format of the history file, which must stay compatible with earlier versions.
use sparrouter_rollout::history::HistoryLine;

/// Golden test: lines written by earlier versions must be parsed, and serialized to the same text.
#[test]
fn given_history_lines_of_earlier_versions_when_read_and_written_then_the_text_is_unchanged() {
    for text in [
        r#"{"Said":{"at":1.5,"text":"n0: Change"}}"#,
        r#"{"Seen":{"at":2.5,"seen":{"stage":1,"phase":"watching","all":0.5,"fetches_per_s":3.0,"changed":null,"unchanged":0.25,"new":2,"down":1,"measure":"lost","reached":0.125}}}"#,
        r#"{"Seen":{"at":2.5,"seen":{"stage":0,"phase":"before","all":null,"fetches_per_s":0.0,"changed":null,"unchanged":null,"new":0,"down":0,"measure":"","reached":0.0}}}"#,
        r#"{"Ended":{"at":3.5,"how":{"back":"r"}}}"#,
    ] {
        let line: HistoryLine = serde_json::from_str(text).unwrap();
        assert_eq!(serde_json::to_string(&line).unwrap(), text);
    }
}
