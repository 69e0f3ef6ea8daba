//! Several runs held against each other.
pub mod changes;
pub mod compare;
pub mod kills;
mod parallel;
pub mod shares;
pub mod soak;
pub mod sweep;
