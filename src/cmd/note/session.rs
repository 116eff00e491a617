use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use http_io::{Client, ClientConfig, Executor};
use metadata::HttpPlatform;
use notes::{NoteError, NoteStore, Operator};
use utils::SystemClock;

use crate::exit::CommandError;

/// Maximum wait for one answer of the platform.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs an asynchronous operation with an operator for the platform at an address.
pub(super) fn with_operator<T, F: Future<Output = Result<T, Report<NoteError>>>>(
    addr: SocketAddr,
    work: impl FnOnce(Operator) -> F,
) -> Result<T, Report<CommandError>> {
    let ex: Executor = Arc::new(smol::Executor::new());
    let cfg = ClientConfig {
        response_timeout: RESPONSE_TIMEOUT,
        ..ClientConfig::default()
    };
    let platform = Arc::new(HttpPlatform::new(Client::new(ex.clone(), cfg), addr));
    let operator = Operator {
        store: NoteStore::new(platform.clone(), platform),
        clock: Arc::new(SystemClock::new()),
    };
    with_exit_code(smol::block_on(ex.run(work(operator))))
}

/// Adds the command error that selects the exit code: `Failed` for errors and malformed data of the platform,
/// else `Usage`.
pub(super) fn with_exit_code<T>(result: Result<T, Report<NoteError>>) -> Result<T, Report<CommandError>> {
    let kind = match result.as_ref().map_err(Report::current_context) {
        Err(NoteError::Platform(_) | NoteError::Malformed { .. }) => CommandError::Failed,
        _ => CommandError::Usage,
    };
    result.change_context(kind)
}
