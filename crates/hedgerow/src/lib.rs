//! Which nodes and servers exist: rows that merge, told by version to whoever asks.
