//! Command-line tool for the operators of brassrack.

fn main() -> std::process::ExitCode {
    brassrack::tool::run(std::env::args_os().collect()).into()
}
