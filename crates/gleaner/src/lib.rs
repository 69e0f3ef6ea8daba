//! The index of kept prompts: which server keeps which prefix.
