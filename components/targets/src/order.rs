use serde::{Deserialize, Serialize};
use utils::{Epoch, ModelId, WeightVersion};

/// A change of state that an owner asks of an engine. Orders are idempotent: they name the wanted state.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Order {
    /// Fencing number of the lease that allows the order.
    pub epoch: Epoch,
    /// What is wanted.
    pub kind: OrderKind,
}

/// What an order asks for.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// Serve this version of a model's weights.
    LoadVersion {
        /// The model.
        model: ModelId,
        /// The version.
        version: WeightVersion,
    },
    /// Serve this adapter on top of a model.
    LoadAdapter {
        /// The model.
        model: ModelId,
        /// Name of the adapter.
        adapter: String,
    },
    /// Take this role.
    SetRole {
        /// Name of the role, `prefill`, `decode` or `both`.
        role: String,
    },
}

/// An engine's answer to an order.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OrderReply {
    /// False if the engine knows a higher fencing number.
    pub accepted: bool,
    /// Highest fencing number that the engine has seen.
    pub epoch: Epoch,
}
