//! Several runs held against each other.
pub mod compare;
pub mod soak;
pub mod sweep;
