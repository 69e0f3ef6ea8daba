//! Prompts as clients describe them, and what counts as a long generation.
use sparrouter_routing::{Prompt, TypicalOutput};

#[test]
fn given_a_prompt_then_its_key_is_the_deepest_shared_block_with_its_salt() {
    let a = Prompt::parse(Some("aa:10,bb:20,c1:5"), Some("35,7"));
    let b = Prompt::parse(Some("aa:10,bb:20,c2:9"), Some("39,7"));
    assert_eq!(a.key("m/"), b.key("m/"));
    assert_ne!(a.key("m/"), a.key("m/tenant"));
    assert_eq!(
        (a.tokens_in, a.tokens_out, a.shared_blocks().len()),
        (35, 7, 2)
    );
    assert_eq!(Prompt::parse(Some("junk,,x:y"), None).key(""), None);
}

#[test]
fn given_requests_of_two_kinds_then_those_that_generate_more_than_usual_are_long() {
    let mut usual = TypicalOutput::default();
    for n in 0..200 {
        let tokens = if n % 2 == 0 { 205 } else { 780 };
        let is_long = usual.observe(tokens);
        // Nothing is known before the first requests of both kinds.
        assert!(n < 4 || is_long == (tokens == 780), "request {n}");
    }
    // Where all requests generate equally many tokens none is long.
    let mut equal = TypicalOutput::default();
    assert!((0..200).all(|_| !equal.observe(64)));
}
