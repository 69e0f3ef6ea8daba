//! Files that survive: one file a version, written aside, synced, renamed.
