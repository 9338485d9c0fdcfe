//! Starts a whole rack on loopback.

fn main() {}
