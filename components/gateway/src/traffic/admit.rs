use std::sync::Arc;
use std::time::Duration;

use errors::ProblemKind;
use hyper::header::{CONTENT_LENGTH, HOST, TRANSFER_ENCODING};
use hyper::http::request::Parts;

use super::refusal::Refusal;
use crate::declared::{Route, Workspace};
use crate::{CallFacts, Declared, View};

/// `Retry-After` while the host has not received the declarations.
const STARTING_RETRY_AFTER: Duration = Duration::from_millis(500);

/// An admitted request.
pub(crate) struct Admitted {
    /// Route that the request matches.
    pub route: Arc<Route>,
    /// Workspace of the caller's API key, if it has one.
    pub workspace: Option<Arc<Workspace>>,
    /// Declarations that the request was admitted under.
    pub declared: Arc<Declared>,
}

/// Checks a request against the declarations and returns its route and workspace.
pub(crate) fn admit(view: &View, parts: &Parts, facts: &CallFacts) -> Result<Admitted, Refusal> {
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
        return Err(Refusal::not_run(
            ProblemKind::NotFound,
            "no route matches host and path",
        ));
    };
    let workspace = facts
        .key
        .as_deref()
        .and_then(|key| declared.workspace(key))
        .cloned();
    if declared.needs_keys() && !route.is_anonymous && workspace.is_none() {
        let detail = "no workspace holds this API key";
        return Err(Refusal::not_run(ProblemKind::UnknownApiKey, detail));
    }
    Ok(Admitted {
        route,
        workspace,
        declared,
    })
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
