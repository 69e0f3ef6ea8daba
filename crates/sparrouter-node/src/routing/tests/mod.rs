//! Actors alone, each before another side that does what a case says.
mod endpoint_list;
mod peer;

use tokio::task::LocalSet;

/// A case on a runtime of its own, as the program has it.
pub fn play<F: Future<Output = ()>>(case: F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, case);
}
