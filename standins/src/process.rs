//! Fixture that runs stand-ins and daemons as processes on loopback.

use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc::{Receiver, RecvTimeoutError, channel};
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

/// Longest time until a process prints its ready line.
const READY_LIMIT: Duration = Duration::from_secs(20);
/// Pause between looks at a process that has to end.
const EXIT_POLL: Duration = Duration::from_millis(5);

/// Why a process could not be run.
#[derive(Debug, thiserror::Error)]
pub enum ProcessError {
    /// The program was not built.
    #[error("{0} is not built; run `cargo build --workspace --locked`")]
    Missing(String),
    /// The operating system refused.
    #[error("process: {0}")]
    Os(#[from] io::Error),
    /// A signal could not be sent.
    #[error("signal: {0}")]
    Signal(#[from] rustix::io::Errno),
    /// The process ended or stayed silent instead of getting ready.
    #[error("{0} printed no ready line")]
    NotReady(String),
    /// The ready line has no such address.
    #[error("no address {0} in the ready line: {1}")]
    NoAddress(String, String),
    /// The process did not end in time.
    #[error("process did not end in time")]
    StillRuns,
}

/// A process started by this one; it is killed on drop.
#[derive(Debug)]
pub struct Process {
    child: Child,
    lines: Receiver<String>,
    /// Line that it printed when it was ready.
    pub ready: String,
}

impl Process {
    /// Starts a program that lies beside the current one and waits until it is ready.
    ///
    /// # Errors
    ///
    /// [`ProcessError`] where it does not get ready.
    pub fn spawn(program: &str, args: &[&str]) -> Result<Self, ProcessError> {
        let mut child = Command::new(self::program(program)?)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()?;
        let lines = read_lines(&mut child);
        let mut process = Self {
            child,
            lines,
            ready: String::new(),
        };
        process.ready = process.ready_line(program)?;
        Ok(process)
    }

    fn ready_line(&self, program: &str) -> Result<String, ProcessError> {
        let end = Instant::now() + READY_LIMIT;
        loop {
            let left = end.saturating_duration_since(Instant::now());
            match self.lines.recv_timeout(left) {
                Ok(line) if is_ready(&line) => return Ok(line),
                Ok(_) => {}
                Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => {
                    return Err(ProcessError::NotReady(program.to_owned()));
                }
            }
        }
    }

    /// Starts a stand-in on a free port.
    ///
    /// # Errors
    ///
    /// [`ProcessError`] where it does not get ready.
    ///
    /// # Examples
    ///
    /// ```no_run
    /// use brassrack_standins::process::Process;
    ///
    /// let table = Process::standin("table", &[])?;
    /// println!("{}", table.address()?);
    /// # Ok::<(), brassrack_standins::process::ProcessError>(())
    /// ```
    pub fn standin(kind: &str, args: &[&str]) -> Result<Self, ProcessError> {
        let mut all = vec![kind, "--listen", "127.0.0.1:0"];
        all.extend(args);
        Self::spawn("standin", &all)
    }

    /// Address that a stand-in listens on.
    ///
    /// # Errors
    ///
    /// [`ProcessError::NoAddress`] where the ready line has none.
    pub fn address(&self) -> Result<SocketAddr, ProcessError> {
        self.parse("listening on ")
    }

    /// Address that a daemon prints under a name, such as `callers`.
    ///
    /// # Errors
    ///
    /// [`ProcessError::NoAddress`] where the ready line has none.
    pub fn named(&self, name: &str) -> Result<SocketAddr, ProcessError> {
        self.parse(&format!("{name}="))
    }

    fn parse(&self, before: &str) -> Result<SocketAddr, ProcessError> {
        self.ready
            .split_once(before)
            .and_then(|(_, rest)| rest.split_whitespace().next())
            .and_then(|text| text.parse().ok())
            .ok_or_else(|| ProcessError::NoAddress(before.to_owned(), self.ready.clone()))
    }

    /// Process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to the process.
    ///
    /// # Errors
    ///
    /// [`ProcessError::Signal`] where the process is gone.
    pub fn signal(&self, signal: Signal) -> Result<(), ProcessError> {
        let pid = i32::try_from(self.child.id())
            .ok()
            .and_then(Pid::from_raw)
            .ok_or(ProcessError::StillRuns)?;
        Ok(kill_process(pid, signal)?)
    }

    /// Freezes the process.
    ///
    /// # Errors
    ///
    /// [`ProcessError::Signal`] where the process is gone.
    pub fn freeze(&self) -> Result<(), ProcessError> {
        self.signal(Signal::STOP)
    }

    /// Resumes a frozen process.
    ///
    /// # Errors
    ///
    /// [`ProcessError::Signal`] where the process is gone.
    pub fn resume(&self) -> Result<(), ProcessError> {
        self.signal(Signal::CONT)
    }

    /// Asks the process to stop gracefully.
    ///
    /// # Errors
    ///
    /// [`ProcessError::Signal`] where the process is gone.
    pub fn terminate(&self) -> Result<(), ProcessError> {
        self.signal(Signal::TERM)
    }

    /// Kills the process at once and waits for its end.
    ///
    /// # Errors
    ///
    /// [`ProcessError::Os`] where the operating system refuses.
    pub fn kill(&mut self) -> Result<(), ProcessError> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// How the process ended, or none while it runs.
    ///
    /// # Errors
    ///
    /// [`ProcessError::Os`] where the operating system refuses.
    pub fn ended(&mut self) -> Result<Option<ExitStatus>, ProcessError> {
        Ok(self.child.try_wait()?)
    }

    /// Waits for the process to end by itself.
    ///
    /// # Errors
    ///
    /// [`ProcessError::StillRuns`] where it has not ended within the limit.
    pub async fn wait(&mut self, limit: Duration) -> Result<ExitStatus, ProcessError> {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            tokio::time::sleep(EXIT_POLL).await;
        }
        Err(ProcessError::StillRuns)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // A process that has ended already leaves nothing to kill.
        drop(self.kill());
    }
}

fn is_ready(line: &str) -> bool {
    line.starts_with("listening on ") || line.starts_with("ready ")
}

/// Reads the lines of a process, so that it never blocks on a full pipe.
fn read_lines(child: &mut Child) -> Receiver<String> {
    let (sender, lines) = channel();
    if let Some(out) = child.stdout.take() {
        thread::spawn(move || {
            for line in BufReader::new(out).lines().map_while(Result::ok) {
                // A fixture that no longer listens still wants the pipe empty.
                drop(sender.send(line));
            }
        });
    }
    lines
}

/// Finds a program beside the current one or, for a test, one folder above.
///
/// # Errors
///
/// [`ProcessError::Missing`] where it is not built.
pub fn program(name: &str) -> Result<PathBuf, ProcessError> {
    let current = std::env::current_exe()?;
    current
        .ancestors()
        .skip(1)
        .take(2)
        .map(|folder| folder.join(name))
        .find(|path| path.is_file())
        .ok_or_else(|| ProcessError::Missing(name.to_owned()))
}
