//! The routing step: election, bounded load, fallback, retry budget, admission; no I/O.
