//! The operator's configuration: read, checked, patched, and served as an immutable snapshot.
