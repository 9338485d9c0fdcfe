//! Runs one stand-in as a process.

fn main() {}
