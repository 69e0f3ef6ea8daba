//! Virtual time: a runtime whose clock advances only when no task can run, and the panics of its tasks.

use crate::cluster::SimulatedCluster;
use std::cell::RefCell;
use std::future::Future;
use std::rc::Rc;
use std::sync::Once;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

/// Runs a future to its end in virtual time; nothing sleeps for real.
///
/// # Panics
///
/// If the future does.
pub fn play<T>(future: impl Future<Output = T>) -> T {
    let runtime = Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build();
    let runtime = runtime.expect("a runtime without I/O needs nothing that may be missing");
    LocalSet::new().block_on(&runtime, future)
}

/// Runs a test, and checks the rules that need the whole history at its end.
///
/// # Panics
///
/// If the test does, or if a rule was violated.
pub fn run_checked<F: Future<Output = Rc<SimulatedCluster>>>(test: impl FnOnce() -> F) {
    play(async move {
        let cluster = test().await;
        cluster.monitor.check_history();
        cluster.monitor.assert_no_violations();
    });
}

thread_local! {
    static PANICS: RefCell<Vec<String>> = const { RefCell::new(Vec::new()) };
}

/// Collects panics for [`take_panics`] from now on, instead of printing them: the runtime ends only the task that panics,
/// and reports nothing.
pub fn collect_panics() {
    static ONCE: Once = Once::new();
    ONCE.call_once(|| {
        std::panic::set_hook(Box::new(|panic| {
            // A thread that ends has no list any more.
            let _ = PANICS.try_with(|panics| panics.borrow_mut().push(panic.to_string()));
        }));
    });
}

/// Panics of this thread since the last call.
pub fn take_panics() -> Vec<String> {
    PANICS.with(RefCell::take)
}
