use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use http_io::{Client, ClientConfig, Executor};
use metadata::HttpPlatform;
use notes::{NoteError, NoteStore, Operator};
use utils::SystemClock;

use crate::exit::CommandError;

/// Longest wait for one answer of the platform.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs an operator's work against the platform at an address.
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
    settle(smol::block_on(ex.run(work(operator))))
}

/// Gives a failure its exit code.
pub(super) fn settle<T>(done: Result<T, Report<NoteError>>) -> Result<T, Report<CommandError>> {
    let kind = match done.as_ref().map_err(Report::current_context) {
        Err(NoteError::Platform(_) | NoteError::Malformed { .. }) => CommandError::Failed,
        _ => CommandError::Usage,
    };
    done.change_context(kind)
}
