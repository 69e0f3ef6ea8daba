use super::*;

fn reply(line: &str) -> Result<Vec<Order>, String> {
    play(&mut BTreeMap::new(), line)
}

#[test]
fn bad_input_names_the_problem_and_the_field() {
    for (line, part) in [
        ("not json", "bad batch"),
        (r#"{"events":[]}"#, "AtTimeUs"),
        (r#"{"AtTimeUs":1,"events":[{"verb":"Vanished","I":1}]}"#, "Ticket"),
        (r#"{"AtTimeUs":1,"events":[{"verb":"Sing","I":1}]}"#, "Sing"),
        (r#"{"AtTimeUs":1,"events":[{"verb":"Vanished","I":7,"Ticket":"a"}]}"#, "instance 7"),
        (r#"{"AtTimeUs":1,"events":[{"verb":"Down","I":7}]}"#, "instance 7"),
        (r#"{"AtTimeUs":-1,"events":[]}"#, "AtTimeUs"),
    ] {
        let text = reply(line).err().unwrap_or_default();
        assert!(text.contains(part), "{line}: {text}");
    }
}

#[test]
fn an_empty_batch_gets_an_empty_reply_whatever_else_it_holds() {
    assert!(reply(r#"{"AtTimeUs":5,"events":[],"New":{"x":1}}"#).unwrap().is_empty());
}
