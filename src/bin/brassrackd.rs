//! The daemon of brassrack: one instance between callers and endpoints.

use std::path::Path;

use brassrack::cli::Invocation;
use brassrack::daemon::{self, Listeners};
use brassrack::exit_codes::ExitCode;
use brassrack::settings::Settings;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;

#[global_allocator]
static GLOBAL: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> std::process::ExitCode {
    let invocation = match Invocation::parse(std::env::args_os().collect()) {
        Ok(invocation) => invocation,
        Err(error) => error.exit(),
    };
    let code = match invocation {
        Invocation::PrintDefault => print_default(),
        Invocation::Check(file) => read(&file).map_or_else(|code| code, |_| ExitCode::Success),
        Invocation::Serve(file) => read(&file).map_or_else(|code| code, serve),
    };
    code.into()
}

fn print_default() -> ExitCode {
    print!("{}", Settings::default_file());
    ExitCode::Success
}

fn read(file: &Path) -> Result<Settings, ExitCode> {
    let text = std::fs::read_to_string(file).map_err(|error| {
        eprintln!("brassrackd: {}: {error}", file.display());
        ExitCode::Invalid
    })?;
    Settings::parse(&text).map_err(|errors| {
        for error in errors {
            eprintln!("brassrackd: {}: {error}", file.display());
        }
        ExitCode::Invalid
    })
}

fn serve(settings: Settings) -> ExitCode {
    let _logger = match brassrack::logs::start(settings.log) {
        Ok(logger) => logger,
        Err(error) => return failed(&error),
    };
    let runtime = match tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => return failed(&error),
    };
    let code = runtime.block_on(run(settings));
    runtime.shutdown_background();
    code
}

async fn run(settings: Settings) -> ExitCode {
    let (tell, _stop) = watch::channel(false);
    let signals = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    );
    let (term, int) = match signals {
        (Ok(term), Ok(int)) => (term, int),
        (Err(error), _) | (_, Err(error)) => return failed(&error),
    };
    let listeners = match Listeners::open(&settings).await {
        Ok(listeners) => listeners,
        Err(error) => return failed(&error),
    };
    match listeners.line() {
        Ok(line) => println!("{line}"),
        Err(error) => return failed(&error),
    }
    let running = daemon::run(settings, listeners, tell.clone());
    tokio::select! {
        ended = running => match ended {
            Ok(false) => ExitCode::Success,
            Ok(true) => ExitCode::Cut,
            Err(error) => failed(&error),
        },
        () = signals_twice(term, int, tell) => ExitCode::Cut,
    }
}

/// Tells the instance to stop at the first signal; returns at the second.
async fn signals_twice(mut term: Signal, mut int: Signal, tell: watch::Sender<bool>) {
    for _ in 0..2 {
        tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
        tell.send_replace(true);
    }
    log::warn!("second signal: running requests are cut");
}

fn failed(error: &dyn std::error::Error) -> ExitCode {
    eprintln!("brassrackd: {error}");
    ExitCode::Failure
}
