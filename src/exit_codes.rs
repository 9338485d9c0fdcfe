//! Exit codes of the daemon and of the command-line tool.

/// How a program ended; the number is its exit code.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::EnumIter, strum::Display)]
#[strum(serialize_all = "kebab-case")]
#[repr(u8)]
pub enum ExitCode {
    /// All that was asked for is done.
    Success = 0,
    /// Something failed that no other code names.
    Failure = 1,
    /// The command line is wrong.
    Usage = 2,
    /// The settings or the rules file has errors; nothing was changed.
    Invalid = 3,
    /// The other side does not answer; nothing was changed.
    Unreachable = 4,
    /// The administration token is missing or wrong.
    Denied = 5,
    /// Another change was accepted first; nothing was changed.
    Raced = 6,
    /// No record, version or file of this name.
    NotFound = 7,
    /// Accepted, but not yet in force at every live instance.
    Pending = 8,
    /// The answer was lost; the change may have been accepted.
    Unknown = 9,
    /// The instance stopped and cut requests that were running.
    Cut = 10,
}

impl ExitCode {
    /// The number that the operating system sees.
    ///
    /// # Examples
    ///
    /// ```
    /// assert_eq!(brassrack::exit_codes::ExitCode::Invalid.number(), 3);
    /// ```
    #[must_use]
    pub const fn number(self) -> u8 {
        self as u8
    }
}

impl From<ExitCode> for std::process::ExitCode {
    fn from(code: ExitCode) -> Self {
        Self::from(code.number())
    }
}
