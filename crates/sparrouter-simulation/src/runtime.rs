//! Tells a story: a runtime whose clock runs only where nothing else does, and the rules at the end.
use crate::cluster::SimulatedCluster;
use std::cell::RefCell;
use std::future::Future;
use std::rc::Rc;
use std::sync::Once;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

/// Runs to its end in virtual time; nothing sleeps for real.
pub fn play<T>(story: impl Future<Output = T>) -> T {
    let runtime = Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build();
    let runtime = runtime.expect("a runtime without I/O needs nothing that may be missing");
    LocalSet::new().block_on(&runtime, story)
}

/// A story whose world is judged at the end.
pub fn run_checked<F: Future<Output = Rc<SimulatedCluster>>>(story: impl FnOnce() -> F) {
    play(async move {
        let cluster = story().await;
        cluster.monitor.check_history();
        cluster.monitor.assert_no_violations();
    });
}

thread_local! {
    static PANICS: RefCell<Vec<String>> = const { RefCell::new(Vec::new()) };
}

/// From now on panics are kept for `panics` of their thread: the runtime ends the task alone and says nothing of it.
pub fn collect_panics() {
    static ONCE: Once = Once::new();
    ONCE.call_once(|| {
        std::panic::set_hook(Box::new(|panic| {
            // A thread that ends keeps nothing any more.
            let _ = PANICS.try_with(|kept| kept.borrow_mut().push(panic.to_string()));
        }));
    });
}

/// Those of this thread since the last call.
pub fn panics() -> Vec<String> {
    PANICS.with(RefCell::take)
}
