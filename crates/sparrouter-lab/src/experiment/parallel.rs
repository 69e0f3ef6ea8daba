//! Several runs at once, on threads of their own.
use std::sync::Mutex;

/// Calls `work` for each item of `next`, `jobs` at once, and gives the results in the order of the items. `next` gives no
/// more once it has returned `None`.
pub(super) fn run_all<T: Send, R: Send>(
    jobs: usize,
    next: impl FnMut() -> Option<T> + Send,
    work: impl Fn(T) -> R + Sync,
) -> Vec<R> {
    let next = Mutex::new((0, next));
    let results = Mutex::new(Vec::new());
    let take = || {
        let mut next = next.lock().unwrap_or_else(|e| e.into_inner());
        let item = (next.1)()?;
        next.0 += 1;
        Some((next.0, item))
    };
    std::thread::scope(|scope| {
        for _ in 0..jobs.max(1) {
            scope.spawn(|| {
                while let Some((number, item)) = take() {
                    let result = work(item);
                    let mut results = results.lock().unwrap_or_else(|e| e.into_inner());
                    results.push((number, result));
                }
            });
        }
    });
    let mut results = results.into_inner().unwrap_or_else(|e| e.into_inner());
    results.sort_by_key(|(number, _)| *number);
    results.into_iter().map(|(_, result)| result).collect()
}
