//! Command-line tool for the operators of brassrack.

fn main() {}
