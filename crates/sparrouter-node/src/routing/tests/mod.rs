//! Tests of single actors, each against a scripted peer.
mod endpoint_list;
mod peer;

use tokio::task::LocalSet;

/// Runs a test case on its own runtime, of the same kind as the program's.
pub fn run_local<F: Future<Output = ()>>(case: F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, case);
}
