use bytes::Bytes;
use error_stack::Report;
use serde::{Deserialize, Serialize};
use utils::{Attempt, RequestId, ServiceId, WorkspaceId};

use crate::{BoxFuture, TargetError};

/// A call to a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallRequest {
    /// Identifier of the request; the answer repeats it.
    pub request_id: RequestId,
    /// Number of the attempt; the answer repeats it.
    pub attempt: Attempt,
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// Service to call.
    pub service: ServiceId,
    /// HTTP method.
    pub method: String,
    /// Path after the name of the service, without a leading slash.
    pub path: String,
    /// Content type of the body.
    pub content_type: String,
    /// Idempotency key, with which [`Service::outcome`] finds the outcome later.
    pub idempotency_key: Option<String>,
    /// Body of the message.
    pub body: Bytes,
}

/// The whole answer of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallReply {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body.
    pub content_type: String,
    /// Body of the message.
    pub body: Bytes,
}

/// Outcome of a call that a service reports for an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "state")]
pub enum CallOutcome {
    /// The call has run; holds its answer.
    Ran {
        /// HTTP status.
        status: u16,
        /// Content type of the body.
        content_type: String,
        /// Body of the answer, as text.
        body: String,
    },
    /// The call is still running.
    Running,
    /// The service has not received a call with this key.
    Unseen,
}

/// Interface of a plain service.
pub trait Service: Send + Sync {
    /// Makes a call. The client does not retry it once it has been sent.
    fn call(&self, req: CallRequest) -> BoxFuture<'_, Result<CallReply, Report<TargetError>>>;

    /// Returns the outcome of the call with a key, or `None` if the service does not offer this query.
    fn outcome(
        &self,
        workspace: WorkspaceId,
        key: String,
    ) -> BoxFuture<'_, Result<Option<CallOutcome>, Report<TargetError>>>;
}
