//! Control state in parts: each a register with its own replica group, changed by compare-and-set under quorum.
