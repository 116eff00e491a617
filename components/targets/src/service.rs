use bytes::Bytes;
use error_stack::Report;
use serde::{Deserialize, Serialize};
use utils::{Attempt, RequestId, ServiceId, WorkspaceId};

use crate::{BoxFuture, TargetError};

/// A call to a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallRequest {
    /// Identifier that the answer repeats.
    pub request_id: RequestId,
    /// Number of the try; the answer repeats it.
    pub attempt: Attempt,
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// The service.
    pub service: ServiceId,
    /// HTTP method.
    pub method: String,
    /// Path after the service's name, without a leading slash.
    pub path: String,
    /// Content type of the body.
    pub content_type: String,
    /// Key under which the service can be asked for the outcome.
    pub idempotency_key: Option<String>,
    /// Body.
    pub body: Bytes,
}

/// A service's whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallReply {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body.
    pub content_type: String,
    /// Body.
    pub body: Bytes,
}

/// What a service says about a key.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "state")]
pub enum CallOutcome {
    /// The call ran; its answer is repeated.
    Ran {
        /// HTTP status.
        status: u16,
        /// Content type of the body.
        content_type: String,
        /// Body as text.
        body: String,
    },
    /// The call runs now.
    Running,
    /// The service has not seen the key.
    Unseen,
}

/// A plain service.
pub trait Service: Send + Sync {
    /// Makes a call. Never repeated by this client once it was sent.
    fn call(&self, req: CallRequest) -> BoxFuture<'_, Result<CallReply, Report<TargetError>>>;

    /// Asks for the outcome of a key; `None` if the service does not offer this.
    fn outcome(
        &self,
        workspace: WorkspaceId,
        key: String,
    ) -> BoxFuture<'_, Result<Option<CallOutcome>, Report<TargetError>>>;
}
