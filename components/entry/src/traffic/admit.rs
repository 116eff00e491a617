use errors::ProblemKind;
use notes::Limits;
use utils::WorkspaceId;

use super::Context;
use super::failure::Failure;
use crate::limits::{AccountGuard, OverLimit};
use crate::shared::StreamGuard;

/// Counts a request as open at the host and in its workspace until it is dropped.
pub(crate) struct AdmissionGuard {
    /// Counts the stream at the host.
    _host: StreamGuard,
    /// Counts the stream in the account of the workspace; `None` for a resumed stream.
    _account: Option<AccountGuard>,
}

/// Admits a request within the limits of the host and of its workspace.
pub(crate) fn admit(
    cx: &Context,
    workspace: &WorkspaceId,
    limits: &Limits,
    prompt_tokens: u32,
) -> Result<AdmissionGuard, Failure> {
    let host = open_stream(cx)?;
    let hosts = cx.shared.view.load().entry_hosts;
    let now = cx.shared.clock.now();
    let admitted = cx
        .shared
        .limiter
        .admit(workspace, limits, prompt_tokens, hosts, now);
    match admitted {
        Ok(account) => Ok(AdmissionGuard {
            _host: host,
            _account: Some(account),
        }),
        Err(OverLimit::Rate(wait)) => {
            let detail = format!(
                "the workspace is over its rate; try again in {} ms",
                wait.as_millis().max(1)
            );
            Err(Failure::refused(ProblemKind::WorkspaceLimit, detail))
        }
        Err(OverLimit::OpenStreams) => {
            let detail = "the workspace has too many requests open";
            Err(Failure::refused(ProblemKind::TooManyStreams, detail))
        }
    }
}

/// Admits a resumed stream. It is not charged to the workspace, which was charged when the stream began.
pub(crate) fn admit_resumed(cx: &Context) -> Result<AdmissionGuard, Failure> {
    Ok(AdmissionGuard {
        _host: open_stream(cx)?,
        _account: None,
    })
}

fn open_stream(cx: &Context) -> Result<StreamGuard, Failure> {
    let stream = cx.shared.open_stream();
    stream.ok_or_else(|| Failure::refused(ProblemKind::TooManyStreams, "this host has too many open streams"))
}
