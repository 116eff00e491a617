use std::sync::Arc;
use std::time::Duration;

use errors::ProblemKind;
use hyper::header::{CONTENT_LENGTH, HOST, TRANSFER_ENCODING};
use hyper::http::request::Parts;

use super::refusal::Refusal;
use crate::declared::{Route, Workspace};
use crate::jitter::jittered;
use crate::{CallFacts, Declared, View};

/// `Retry-After` while the host has not received the declarations.
const STARTING_RETRY_AFTER: Duration = Duration::from_millis(500);

/// `Retry-After` while the declarations may be outdated. Another host may know more.
const OUTDATED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// An admitted request.
pub(crate) struct Admitted {
    /// Route that the request matches.
    pub route: Arc<Route>,
    /// Workspace of the caller's API key, if it has one.
    pub workspace: Option<Arc<Workspace>>,
    /// Declarations that the request was admitted under.
    pub declared: Arc<Declared>,
}

/// Checks a request against the declarations and returns its route and workspace. Declarations that are not
/// `is_current` allow what they name, but do not show that a key or a route is unknown.
pub(crate) fn admit(
    view: &View,
    parts: &Parts,
    facts: &CallFacts,
    is_current: bool,
) -> Result<Admitted, Refusal> {
    let Some(declared) = view.declared.clone().filter(|_| view.can_serve()) else {
        let refusal = Refusal::not_run(
            ProblemKind::NotServing,
            "this host has not learned yet what is declared",
        );
        return Err(refusal.with_retry_after(STARTING_RETRY_AFTER));
    };
    check_framing(parts)?;
    let host = host_of(parts).unwrap_or_default();
    let Some(route) = declared.route(host, parts.uri.path()).cloned() else {
        let detail = "no route matches host and path";
        return Err(unknown(ProblemKind::NotFound, detail, is_current));
    };
    let workspace = facts
        .key
        .as_deref()
        .and_then(|key| declared.workspace(key))
        .cloned();
    if declared.needs_keys() && !route.is_anonymous && workspace.is_none() {
        let detail = "no workspace holds this API key";
        return Err(unknown(ProblemKind::UnknownApiKey, detail, is_current));
    }
    Ok(Admitted {
        route,
        workspace,
        declared,
    })
}

/// Refuses a request for something that is not declared, as far as this host knows.
fn unknown(kind: ProblemKind, detail: &'static str, is_current: bool) -> Refusal {
    if is_current {
        return Refusal::not_run(kind, detail);
    }
    let detail = "this host can not tell whether what is declared has changed";
    let wait = jittered(OUTDATED_RETRY_AFTER, 0.3);
    Refusal::not_run(ProblemKind::NotServing, detail).with_retry_after(wait)
}

/// Refuses a request with more than one length header, as its length is ambiguous (request smuggling).
fn check_framing(parts: &Parts) -> Result<(), Refusal> {
    let lengths = parts.headers.get_all(CONTENT_LENGTH).iter().count();
    let codings = parts.headers.get_all(TRANSFER_ENCODING).iter().count();
    if lengths + codings > 1 {
        return Err(Refusal::not_run(
            ProblemKind::MalformedRequest,
            "the length of the body is given twice",
        ));
    }
    Ok(())
}

fn host_of(parts: &Parts) -> Option<&str> {
    let host = parts.headers.get(HOST)?.to_str().ok()?;
    Some(host.rsplit_once(':').map_or(host, |(name, _)| name))
}
