use std::sync::Arc;

use async_signal::{Signal, Signals};
use config::{LogFormat, Settings};
use entry::Daemon;
use error_stack::{Report, ResultExt};
use futures_lite::StreamExt;
use logs::{LineLimits, LogBudget};
use slog::{Drain, Logger, o};
use utils::SystemClock;

use crate::cli::ServeArgs;
use crate::exit::CommandError;

/// Maximum number of log lines that wait for the writer thread.
const LOG_QUEUE_CAPACITY: usize = 16_384;

/// Runs an entry host until SIGTERM or SIGINT, then drains it.
pub(crate) fn serve(args: &ServeArgs) -> Result<(), Report<CommandError>> {
    let Some(file) = &args.config else {
        return serve_platform();
    };
    let settings = Settings::load(file).change_context(CommandError::Usage)?;
    let mut signals = Signals::new([Signal::Term, Signal::Int]).change_context(CommandError::Failed)?;
    let (log, guard) = logger(settings.log.format);
    let daemon = Daemon::start(settings, log).change_context(CommandError::Failed)?;
    let _ = smol::block_on(signals.next());
    let result = daemon.drain().change_context(CommandError::Failed);
    drop(guard);
    result
}

/// Runs an entry host on the users' platform until SIGTERM or SIGINT, then drains it. SIGHUP is ignored.
fn serve_platform() -> Result<(), Report<CommandError>> {
    let file = std::env::var(platform::SETTINGS_VARIABLE).change_context(CommandError::Usage)?;
    let settings = platform::load_settings(file.as_ref()).change_context(CommandError::Usage)?;
    let mut signals =
        Signals::new([Signal::Term, Signal::Int, Signal::Hup]).change_context(CommandError::Failed)?;
    let (log, guard) = logger(LogFormat::Json);
    let ports = {
        let settings = settings.clone();
        move |ex: &http_io::Executor| platform::ports(&settings, ex)
    };
    let daemon = gateway::Daemon::start(settings, ports, log).change_context(CommandError::Failed)?;
    // No setting that can change in the file while the process runs is used, so SIGHUP reloads nothing.
    while let Some(Ok(Signal::Hup)) = smol::block_on(signals.next()) {}
    let result = daemon.drain().change_context(CommandError::Failed);
    drop(guard);
    result
}

/// Returns a logger to standard error and a guard; dropping the guard writes the queued lines.
fn logger(format: LogFormat) -> (Logger, slog_async::AsyncGuard) {
    match format {
        LogFormat::Text => {
            let decorator = slog_term::TermDecorator::new().stderr().build();
            async_logger(slog_term::FullFormat::new(decorator).build().fuse())
        }
        LogFormat::Json => {
            let lines = slog_json::Json::default(std::io::stderr()).fuse();
            let clock = Arc::new(SystemClock::new());
            async_logger(LogBudget::new(lines, LineLimits::default(), clock))
        }
    }
}

fn async_logger(
    drain: impl Drain<Ok = (), Err = slog::Never> + Send + 'static,
) -> (Logger, slog_async::AsyncGuard) {
    let (drain, guard) = slog_async::Async::new(drain)
        .chan_size(LOG_QUEUE_CAPACITY)
        .build_with_guard();
    (Logger::root(drain.fuse(), o!()), guard)
}
