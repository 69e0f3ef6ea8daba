//! Actors alone, each against another side that does what a case says.
mod endpoint_list;
mod peer;

use tokio::task::LocalSet;

/// Runs a case on a runtime of its own, of the same kind as the program's.
pub fn run_local<F: Future<Output = ()>>(case: F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, case);
}
