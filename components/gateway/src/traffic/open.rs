use std::io::ErrorKind;
use std::sync::Arc;

use error_stack::Report;
use errors::events;
use http_io::HttpError;

use super::connect::{Connection, connect};
use super::pool::TargetSlot;
use super::request::Call;
use super::state::Traffic;
use crate::Target;
use crate::load::SendOutcome;

/// Connections to a target that a host may open regardless of the limits.
const MIN_CONNECTIONS: usize = 2;

/// Reason why there is no connection to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum OpenError {
    /// The target can not be reached, or has no connection left for this host.
    Unavailable,
    /// The host has no memory for a connection. This says nothing about the target.
    NoMemory,
}

/// Takes an idle connection to a target, or opens one within this host's share of the target's limit.
pub(super) async fn open(cx: &Arc<Traffic>, call: &Call, target: &Target) -> Result<Connection, OpenError> {
    let limit = connection_share(cx, call);
    let now = cx.now();
    let (idle, has_room, has_lost_idle) = cx.with_slot(target, |slot| {
        let idle = slot.take_idle(call.number, target.address, now);
        let has_room = idle.is_none() && slot.reserve(limit);
        (idle, has_room, slot.take_lost_idle())
    });
    if has_lost_idle {
        cx.record_cold_failure(target, now);
    }
    if idle.is_some() || !has_room {
        return idle.ok_or(OpenError::Unavailable);
    }
    let mut reserved = Reserved {
        cx,
        target,
        is_used: false,
    };
    let mut opened = connect(&cx.ex, &cx.resources.memory, target.address).await;
    if opened.as_ref().is_err_and(is_for_memory) {
        cx.close_oldest_idle();
        opened = connect(&cx.ex, &cx.resources.memory, target.address).await;
    }
    let e = match opened {
        Ok(conn) => {
            reserved.is_used = true;
            return Ok(conn);
        }
        Err(e) => e,
    };
    slog::debug!(cx.log, "failed to connect to the target"; events::ROUTE_ATTEMPT_FAILED,
        "request" => &call.id, "target" => &target.instance, "error" => %e);
    if is_for_memory(&e) {
        return Err(OpenError::NoMemory);
    }
    let now = cx.now();
    cx.with_slot(target, |slot| {
        slot.load.record_outcome(SendOutcome::Unreachable, now)
    });
    if shows_restart(&e) {
        cx.record_cold_failure(target, now);
    }
    Err(OpenError::Unavailable)
}

fn is_for_memory(e: &Report<HttpError>) -> bool {
    *e.current_context() == HttpError::NoMemory
}

/// Whether a failure to connect shows that the target does not run. A lack of sockets at this host, a route of its own
/// or a time-out, which a busy host or network causes as well, does not.
fn shows_restart(error: &Report<HttpError>) -> bool {
    let cause = error.downcast_ref::<std::io::Error>();
    cause.is_some_and(|cause| {
        matches!(
            cause.kind(),
            ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset | ErrorKind::HostUnreachable
        )
    })
}

/// A reserved connection of a target, which is released on drop if no connection was opened.
struct Reserved<'a> {
    /// The traffic thread's state.
    cx: &'a Traffic,
    /// The target.
    target: &'a Target,
    /// Whether a connection was opened for the reservation.
    is_used: bool,
}

impl Drop for Reserved<'_> {
    fn drop(&mut self) {
        if !self.is_used {
            self.cx.with_slot(self.target, TargetSlot::release);
        }
    }
}

/// Returns this host's share of the connections that a target accepts from all hosts, bounded by this host's
/// sockets.
fn connection_share(cx: &Traffic, call: &Call) -> usize {
    let view = cx.view.load();
    let declared = view.declared.as_ref();
    let service = declared.and_then(|declared| declared.service(&call.service));
    let limit = service.map_or(u32::MAX, |service| service.connection_limit) as usize;
    let targets = view.targets.values().map(Vec::len).sum::<usize>();
    let sockets = cx.settings.sockets / 2 / targets.max(1);
    (limit / view.host_count()).min(sockets).max(MIN_CONNECTIONS)
}
