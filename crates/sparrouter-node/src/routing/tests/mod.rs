//! Actors alone, each before another side that does what a case says.
mod list;
mod peer;
