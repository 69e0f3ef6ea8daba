//! Tells a story: a runtime whose clock runs only where nothing else does, and the rules at the end.
use crate::world::World;
use std::future::Future;
use std::rc::Rc;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

/// Runs to its end in virtual time; nothing sleeps for real.
pub fn play<T>(story: impl Future<Output = T>) -> T {
    let runtime = Builder::new_current_thread().enable_time().start_paused(true).build();
    let runtime = runtime.expect("a runtime without I/O needs nothing that may be missing");
    LocalSet::new().block_on(&runtime, story)
}

/// A story whose world is judged at the end.
pub fn told<F: Future<Output = Rc<World>>>(story: impl FnOnce() -> F) {
    play(async move {
        let world = story().await;
        world.judge.assert_kept();
    });
}
