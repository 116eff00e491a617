use std::path::PathBuf;
use std::process::ExitCode;

use error_stack::Report;

/// Exit code for arguments, settings or notes that are not usable.
const EXIT_USAGE: u8 = 2;
/// Exit code for a note that is staged and not accepted.
const EXIT_NOT_ACCEPTED: u8 = 3;
/// Exit code for a failure while running.
const EXIT_FAILED: u8 = 1;

/// Reason why a command failed.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub(crate) enum CommandError {
    /// Arguments, settings or notes are not usable; nothing was started.
    #[error("not usable")]
    Usage,
    /// A note is staged and not accepted.
    #[error("not accepted")]
    NotAccepted,
    /// The command failed while it ran.
    #[error("failed")]
    Failed,
    /// There is no preset of this name.
    #[error("there is no preset of this name; known are permisos-verdes, cadwaladr and short")]
    UnknownPreset,
    /// A log file can not be opened.
    #[error("{} can not be opened", .0.display())]
    OpenLog(PathBuf),
    /// No line of the logs contains the request id.
    #[error("no line names the request {0}")]
    UnknownRequest(String),
    /// A promise was broken.
    #[error("a promise was broken")]
    BrokenPromise,
}

/// Prints the causes of a failure, outermost first, and returns the exit code.
pub(crate) fn exit_code(result: Result<(), Report<CommandError>>) -> ExitCode {
    let Err(report) = result else {
        return ExitCode::SUCCESS;
    };
    for (depth, cause) in causes(&report).iter().enumerate() {
        let lead = if depth == 0 { "error: " } else { "  caused by: " };
        eprintln!("{lead}{cause}");
    }
    match report.current_context() {
        CommandError::Usage => ExitCode::from(EXIT_USAGE),
        CommandError::NotAccepted => ExitCode::from(EXIT_NOT_ACCEPTED),
        CommandError::Failed
        | CommandError::UnknownPreset
        | CommandError::OpenLog(_)
        | CommandError::UnknownRequest(_)
        | CommandError::BrokenPromise => ExitCode::from(EXIT_FAILED),
    }
}

fn causes(report: &Report<CommandError>) -> Vec<String> {
    let frames = report.frames().filter_map(|frame| match frame.kind() {
        error_stack::FrameKind::Context(context) => Some(context.to_string()),
        error_stack::FrameKind::Attachment(_) => None,
    });
    // The outermost context only selects the exit code.
    frames.skip(1).collect()
}
