//! The daemon of brassrack.

fn main() {}
