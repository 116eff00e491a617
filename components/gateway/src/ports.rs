//! Traits through which the gateway uses a platform.

use std::net::SocketAddr;
use std::time::Duration;

use error_stack::Report;
use hyper::HeaderMap;
use metadata::BoxFuture;
use serde::{Deserialize, Serialize};
use utils::FailureDomainId;

use crate::kept::{PartKey, StoreChanges, StoreList};
use crate::load::ReportedLoad;
use crate::{
    AnswerFacts, CallFacts, Declared, DesiredWeights, OriginKey, OriginPart, Position, SendFacts,
    StreamOrigin, Target,
};

/// Tables of the platform's store that the gateway uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub enum Table {
    /// Configuration declared by the operator.
    Declared,
    /// Entries of the targets.
    Targets,
    /// State shared by the entry hosts.
    Shared,
    /// The lease for orders to targets.
    Orders,
}

/// A row of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Record {
    /// Key of the row.
    pub key: String,
    /// Content; `None` for a removed row.
    #[serde(with = "serde_bytes")]
    pub value: Option<Vec<u8>>,
    /// Position of the last write; increases over all tables.
    pub position: Position,
}

impl Record {
    /// Whether both rows come from one write, which a restored store still has.
    pub(crate) fn is_same_write(&self, other: &Self) -> bool {
        self.position.version() == other.position.version() && self.value == other.value
    }
}

/// A table, or changed rows of it, as of one position.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct Snapshot {
    /// Rows.
    pub records: Vec<Record>,
    /// Newest position of the store when the rows were read.
    pub position: Position,
    /// Time on the store's steady clock when the rows were read, if the answer came from the store itself.
    pub store_time: Option<Duration>,
    /// Time since the rows were read, in which the answer arrived. The table may have changed meanwhile.
    #[serde(skip)]
    pub transfer_time: Duration,
}

impl Snapshot {
    /// Returns the total size of the values.
    pub(crate) fn value_bytes(&self) -> usize {
        let values = self.records.iter().filter_map(|record| record.value.as_ref());
        values.map(Vec::len).sum()
    }
}

/// Result of waiting for changes of a table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Changes {
    /// Changed rows, oldest first; empty if no row changed within the wait.
    Delta(Snapshot),
    /// The store no longer has all changes after the requested position, or was restored from a copy; the table
    /// must be read in full.
    Compacted,
}

/// State that a row must have for a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Expected {
    /// Any state.
    Any,
    /// The row does not exist.
    Absent,
    /// The last write to the row has this position.
    At(Position),
}

impl From<Option<Position>> for Expected {
    fn from(row: Option<Position>) -> Self {
        row.map_or(Self::Absent, Self::At)
    }
}

/// A conditional write of one row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordWrite {
    /// Table of the row.
    pub table: Table,
    /// Key of the row.
    pub key: String,
    /// State that the row must have.
    pub expect: Expected,
    /// New content; `None` removes the row.
    pub value: Option<Vec<u8>>,
    /// Identities of the row's last write and of this one, for rows whose versions are not enough to tell writes apart.
    pub identity: Option<WriteIdentity>,
}

/// Keys that each identify one write of a row. The key of the last write exists in the store; a write replaces it in
/// the same transaction. A store that was restored from an older copy gives out versions again, but no process
/// creates a key twice.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WriteIdentity {
    /// Key of the write that the row must have had last; `None` if that write has none.
    pub replaced: Option<String>,
    /// Key of this write.
    pub new: String,
}

/// Result of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordWritten {
    /// The write was applied at this position.
    Applied(Position),
    /// The condition did not hold, or named a position of an earlier era.
    Refused,
}

/// Errors of calls to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum StoreError {
    /// The store rejected the call with this status; nothing was done.
    #[error("the store turned the call away with status {0}")]
    Rejected(u16),
    /// No connection or no answer in time; a write may have been applied.
    #[error("the store did not answer")]
    NoResponse,
    /// Only this many bytes of an answer in time; a write may have been applied.
    #[error("the store's answer was given up after {0} bytes")]
    Incomplete(usize),
    /// The answer can not be parsed.
    #[error("the store's answer can not be read")]
    Malformed,
    /// The answer is from before the store was restored.
    #[error("the store's answer is from an earlier era")]
    Outdated,
    /// The store was restored during the call.
    #[error("the store was restored during the call")]
    Restored,
}

/// The platform's store.
pub trait RecordStore: Send + Sync {
    /// Reads a whole table.
    fn read(&self, table: Table) -> BoxFuture<'_, Result<Snapshot, Report<StoreError>>>;

    /// Waits at most `wait` for changes after a position.
    fn follow(
        &self,
        table: Table,
        after: Position,
        wait: Duration,
    ) -> BoxFuture<'_, Result<Changes, Report<StoreError>>>;

    /// Whether a large answer about a table is arriving.
    fn is_receiving(&self, _table: Table) -> bool {
        false
    }

    /// Writes a row.
    fn write(&self, write: RecordWrite) -> BoxFuture<'_, Result<RecordWritten, Report<StoreError>>>;
}

/// Error for a row that names something unknown to the gateway or can not be parsed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("the row can not be used")]
pub struct UnusableRecord;

/// Content of a row of [`Table::Declared`].
#[derive(Debug, Clone, PartialEq)]
pub enum DeclaredRecord {
    /// Routes, services, workspaces and limits.
    All(Box<Declared>),
    /// Weight version declared for a model.
    Weights(DesiredWeights),
    /// A failure domain that is evacuated while the row exists, whatever its content.
    Evacuation(FailureDomainId),
    /// Content that the gateway does not use.
    Other,
}

/// Decodes the platform's rows.
pub trait Decode: Send + Sync {
    /// Decodes a row of [`Table::Declared`]. Of removed rows only evacuations can be decoded, which the key identifies.
    ///
    /// # Errors
    /// [`UnusableRecord`] for content that can not be parsed.
    fn declared(&self, record: &Record) -> Result<DeclaredRecord, Report<UnusableRecord>>;

    /// Decodes a row of [`Table::Targets`].
    ///
    /// # Errors
    /// [`UnusableRecord`] for content that describes no target.
    fn target(&self, record: &Record) -> Result<Target, Report<UnusableRecord>>;
}

/// Reads and writes the heads of requests and answers.
pub trait Heads: Send + Sync {
    /// Reads the metadata of a caller's request.
    fn read_call(&self, headers: &HeaderMap) -> CallFacts;

    /// Sets the headers that the gateway owns in a request to a target.
    fn write_send(&self, headers: &mut HeaderMap, facts: &SendFacts);

    /// Reads the metadata of a target's answer.
    fn read_answer(&self, status: u16, headers: &HeaderMap) -> AnswerFacts;

    /// Returns the path of the balancer's readiness checks.
    fn readiness_path(&self) -> &str;
}

/// State reported by an engine.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct EngineReport {
    /// Start time of its process, in milliseconds since the Unix epoch.
    pub born_ms: u64,
    /// Loaded weight version of each model.
    pub models: Vec<(utils::ModelId, u64)>,
    /// Whether an order is in progress.
    pub is_busy: bool,
    /// Number of orders accepted since the start of the process.
    pub revision: u64,
    /// Load of the engine.
    pub load: ReportedLoad,
}

/// How running requests are treated when their engine changes its weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunningRequests {
    /// They finish first; the engine starts no new requests until then.
    Finish,
    /// They continue with the cache that they have.
    Continue,
}

/// An order to load weights.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightsOrder {
    /// Name of the instance that must execute the order.
    pub instance: String,
    /// Name of the model.
    pub model: utils::ModelId,
    /// Weight version to load.
    pub version: u64,
    /// How running requests are treated.
    pub running: RunningRequests,
    /// Name of the lease holder that gives the order.
    pub holder: String,
    /// Fencing token.
    pub epoch: u64,
    /// Number of orders that the engine must have accepted before this one.
    pub revision: u64,
}

/// An engine's answer to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The engine executes the order.
    Accepted,
    /// The engine already has the weights.
    Holds,
    /// Another order is in progress, or the number of accepted orders differs.
    Conflict,
    /// The engine rejected the order with this status.
    Rejected(u16),
}

/// Error for an engine that did not answer; an order may still be executed later.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("the engine did not answer")]
pub struct EngineUnavailable;

/// Calls to engines.
pub trait EngineControl: Send + Sync {
    /// Queries the state of an engine.
    fn report(&self, address: SocketAddr) -> BoxFuture<'_, Result<EngineReport, Report<EngineUnavailable>>>;

    /// Sends an order to an engine.
    fn order(
        &self,
        address: SocketAddr,
        order: WeightsOrder,
    ) -> BoxFuture<'_, Result<OrderAnswer, Report<EngineUnavailable>>>;
}

/// Error for a store of kept cache that did not answer or refused the call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("the store of kept cache did not answer")]
pub struct KeptStoreUnavailable;

/// Calls to stores of kept cache.
pub trait KeptStores: Send + Sync {
    /// Waits at most `wait` for changes after the position `since`.
    fn changes<'a>(
        &'a self,
        address: &'a str,
        since: u64,
        wait: Duration,
    ) -> BoxFuture<'a, Result<StoreChanges, Report<KeptStoreUnavailable>>>;

    /// Lists everything that a store holds.
    fn list<'a>(&'a self, address: &'a str)
    -> BoxFuture<'a, Result<StoreList, Report<KeptStoreUnavailable>>>;

    /// Deletes parts from a store if it is still in the run `epoch`.
    fn drop_parts<'a>(
        &'a self,
        address: &'a str,
        epoch: u64,
        parts: &'a [PartKey],
    ) -> BoxFuture<'a, Result<(), Report<KeptStoreUnavailable>>>;
}

/// Result of a look-up of a stream's origin.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FoundOrigin {
    /// The origin; `None` if the store has no record of the stream.
    pub origin: Option<StreamOrigin>,
    /// Newest position of the store when it was asked. A store that was restored since may have lost the record.
    pub position: Position,
}

/// A record of a stream's origin in a list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListedOrigin {
    /// Key of the record.
    pub key: OriginKey,
    /// Time on the store's clock when it was written; `None` if that can not be read.
    pub recorded_at: Option<Duration>,
}

/// A part of the list of origins.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct OriginPage {
    /// Records; without rows whose key can not be read.
    pub origins: Vec<ListedOrigin>,
    /// Where the list continues; `None` at its end.
    pub next: Option<String>,
    /// Time on the store's clock when the list was read.
    pub store_time: Option<Duration>,
}

/// Records of the software versions that began streams.
pub trait OriginStore: Send + Sync {
    /// Writes records with one call: all of them or none. `store_time` is the time on the store's clock.
    fn record<'a>(
        &'a self,
        origins: &'a [StreamOrigin],
        store_time: Option<Duration>,
    ) -> BoxFuture<'a, Result<Position, Report<StoreError>>>;

    /// Looks up a record. One that can not be read is an error.
    fn find<'a>(&'a self, key: &'a OriginKey) -> BoxFuture<'a, Result<FoundOrigin, Report<StoreError>>>;

    /// Removes records with one call: all of them or none.
    fn remove<'a>(&'a self, keys: &'a [OriginKey]) -> BoxFuture<'a, Result<(), Report<StoreError>>>;

    /// Lists the records of a part from `next` of the page before, or from the first.
    fn list<'a>(
        &'a self,
        part: OriginPart,
        from: Option<&'a str>,
    ) -> BoxFuture<'a, Result<OriginPage, Report<StoreError>>>;
}
