//! Parsing of prompts, their keys, and the detection of long generations.
use sparrouter_routing::{Prompt, TypicalOutput};

#[test]
fn given_a_prompt_then_its_key_is_made_of_the_deepest_shared_block_and_the_salt() {
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
fn given_requests_of_two_output_lengths_then_those_above_the_average_are_long_generations() {
    let mut typical_output = TypicalOutput::default();
    for n in 0..200 {
        let tokens = if n % 2 == 0 { 205 } else { 780 };
        let is_long = typical_output.observe(tokens);
        // The average is not meaningful before the first requests of both lengths.
        assert!(n < 4 || is_long == (tokens == 780), "request {n}");
    }
    // If all requests generate equally many tokens, none is long.
    let mut equal_outputs = TypicalOutput::default();
    assert!((0..200).all(|_| !equal_outputs.observe(64)));
}
