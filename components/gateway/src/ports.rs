//! What the gateway needs of a platform, as traits.

use std::net::SocketAddr;
use std::time::Duration;

use error_stack::Report;
use hyper::HeaderMap;
use metadata::BoxFuture;
use serde::{Deserialize, Serialize};

use crate::kept::{PartKey, StoreChanges, StoreList};
use crate::load::ReportedLoad;
use crate::{AnswerFacts, CallFacts, Declared, DesiredWeights, SendFacts, Target};

/// Tables of the platform's store that the gateway uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub enum Table {
    /// What the operator declares.
    Declared,
    /// Entries of the targets.
    Targets,
    /// State that the entry hosts share.
    Shared,
    /// The lease for orders to targets.
    Orders,
}

/// A row of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Record {
    /// Key.
    pub key: String,
    /// Content; `None` for a row that was removed.
    pub value: Option<Vec<u8>>,
    /// Version of the last write; grows over all tables.
    pub version: u64,
}

/// A whole table as of one moment.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct Snapshot {
    /// Its rows.
    pub records: Vec<Record>,
    /// Newest version in the store at that moment.
    pub version: u64,
}

/// What changed in a table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Changes {
    /// Rows that changed, oldest first; empty if none did within the wait.
    Delta(Snapshot),
    /// The store has forgotten what changed since; the table must be read again.
    Compacted,
}

/// A write of one row under a condition.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordWrite {
    /// Table of the row.
    pub table: Table,
    /// Key of the row.
    pub key: String,
    /// Version that the row must have, 0 if it must not exist; no condition if `None`.
    pub expect: Option<u64>,
    /// New content; removes the row if `None`.
    pub value: Option<Vec<u8>>,
}

/// How a write ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordWritten {
    /// It took effect with this version.
    Applied(u64),
    /// The condition did not hold.
    Refused,
}

/// Why a call to the store failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum StoreError {
    /// The store turned the call away; nothing was done.
    #[error("the store turned the call away with status {0}")]
    Rejected(u16),
    /// No connection, or no answer in time; a write may have taken effect.
    #[error("the store did not answer")]
    NoResponse,
    /// The answer can not be read.
    #[error("the store's answer can not be read")]
    Malformed,
}

/// The platform's store.
pub trait RecordStore: Send + Sync {
    /// Reads a table.
    fn read(&self, table: Table) -> BoxFuture<'_, Result<Snapshot, Report<StoreError>>>;

    /// Waits at most `wait` for changes after a version.
    fn follow(
        &self,
        table: Table,
        after: u64,
        wait: Duration,
    ) -> BoxFuture<'_, Result<Changes, Report<StoreError>>>;

    /// Writes a row.
    fn write(&self, write: RecordWrite) -> BoxFuture<'_, Result<RecordWritten, Report<StoreError>>>;
}

/// A row that names something the gateway does not know, or that can not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("the row can not be used")]
pub struct UnusableRecord;

/// What a row of [`Table::Declared`] holds.
#[derive(Debug, Clone, PartialEq)]
pub enum DeclaredRecord {
    /// Routes, services, workspaces and limits.
    All(Box<Declared>),
    /// Weights named for a model.
    Weights(DesiredWeights),
    /// Something that the gateway does not use.
    Other,
}

/// Reads the platform's rows.
pub trait Decode: Send + Sync {
    /// A row of [`Table::Declared`].
    ///
    /// # Errors
    /// [`UnusableRecord`] for content that can not be read.
    fn declared(&self, record: &Record) -> Result<DeclaredRecord, Report<UnusableRecord>>;

    /// A row of [`Table::Targets`].
    ///
    /// # Errors
    /// [`UnusableRecord`] for content that names no target.
    fn target(&self, record: &Record) -> Result<Target, Report<UnusableRecord>>;
}

/// Reads and writes the heads of requests and answers.
pub trait Heads: Send + Sync {
    /// What a caller's request says.
    fn read_call(&self, headers: &HeaderMap) -> CallFacts;

    /// Replaces what is the gateway's to set in the head of a request to a target.
    fn write_send(&self, headers: &mut HeaderMap, facts: &SendFacts);

    /// What a target's answer says.
    fn read_answer(&self, status: u16, headers: &HeaderMap) -> AnswerFacts;

    /// The path on which the balancer asks whether the host is ready.
    fn readiness_path(&self) -> &str;
}

/// What an engine reports of itself.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct EngineReport {
    /// Start of its process.
    pub born_ms: u64,
    /// Versions by model.
    pub models: Vec<(utils::ModelId, u64)>,
    /// Whether an order is being carried out.
    pub is_busy: bool,
    /// Orders accepted since its start.
    pub revision: u64,
    /// What it has to do.
    pub load: ReportedLoad,
}

/// What becomes of requests that run when their engine changes its weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunningRequests {
    /// They end first; the engine takes nothing new until then.
    Finish,
    /// They go on with the cache that they have.
    Continue,
}

/// An order to load weights.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightsOrder {
    /// The instance that it is meant for.
    pub instance: String,
    /// The model.
    pub model: utils::ModelId,
    /// The version to load.
    pub version: u64,
    /// What becomes of running requests.
    pub running: RunningRequests,
    /// Who gives the order.
    pub holder: String,
    /// Fencing number.
    pub epoch: u64,
    /// Orders that the engine must have accepted before.
    pub revision: u64,
}

/// An engine's answer to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAnswer {
    /// It is carried out.
    Accepted,
    /// It held already.
    Holds,
    /// Another order is in progress, or the number of accepted orders differs.
    Conflict,
    /// It will not be carried out.
    Rejected(u16),
}

/// No answer from an engine; an order may be carried out later.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("the engine did not answer")]
pub struct EngineUnavailable;

/// Reports and orders of engines.
pub trait EngineControl: Send + Sync {
    /// Asks an engine for its state.
    fn report(&self, address: SocketAddr) -> BoxFuture<'_, Result<EngineReport, Report<EngineUnavailable>>>;

    /// Gives an engine an order.
    fn order(
        &self,
        address: SocketAddr,
        order: WeightsOrder,
    ) -> BoxFuture<'_, Result<OrderAnswer, Report<EngineUnavailable>>>;
}

/// A store of kept cache did not answer, or refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("the store of kept cache did not answer")]
pub struct KeptStoreUnavailable;

/// Stores of kept cache.
pub trait KeptStores: Send + Sync {
    /// Waits at most `wait` for changes.
    fn changes<'a>(
        &'a self,
        address: &'a str,
        since: u64,
        wait: Duration,
    ) -> BoxFuture<'a, Result<StoreChanges, Report<KeptStoreUnavailable>>>;

    /// All that a store holds.
    fn list<'a>(&'a self, address: &'a str)
    -> BoxFuture<'a, Result<StoreList, Report<KeptStoreUnavailable>>>;

    /// Has a store drop parts, if it is still in the given run.
    fn drop_parts<'a>(
        &'a self,
        address: &'a str,
        epoch: u64,
        parts: &'a [PartKey],
    ) -> BoxFuture<'a, Result<(), Report<KeptStoreUnavailable>>>;
}
