use serde::{Deserialize, Serialize};
use utils::{Epoch, ModelId, WeightVersion};

/// A change of state that a lease holder requests from an engine. Orders are idempotent: they carry the
/// desired state.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Order {
    /// Fencing token of the lease under which the order is sent.
    pub epoch: Epoch,
    /// The requested change.
    pub kind: OrderKind,
}

/// The change that an order requests.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// Load a version of a model's weights and serve it.
    LoadVersion {
        /// The model.
        model: ModelId,
        /// The version.
        version: WeightVersion,
    },
    /// Load an adapter of a model and serve it.
    LoadAdapter {
        /// The model.
        model: ModelId,
        /// Name of the adapter.
        adapter: String,
    },
    /// Switch to a role.
    SetRole {
        /// The role: `prefill`, `decode` or `both`.
        role: String,
    },
}

/// An engine's answer to an order.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OrderReply {
    /// Whether the engine accepted the order; false if it has seen a higher fencing token.
    pub accepted: bool,
    /// Highest fencing token that the engine has seen.
    pub epoch: Epoch,
}
