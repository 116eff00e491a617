//! What the platform gives: a table service, an object store, a host list and a weight store.

mod error;
mod http;
mod list;
mod memory;
mod objects;
mod table;

pub use error::PlatformError;
pub use http::HttpPlatform;
pub use list::{HostList, HostRole, HostState, ListedHost};
pub use memory::MemoryTable;
pub use objects::ObjectStore;
pub use table::{
    Committed, Condition, Expect, ReadRequest, Row, RowKey, RowVersion, ScanRequest, TableService,
    Transaction, Write,
};

/// A boxed future, for methods of trait objects.
pub type BoxFuture<'a, T> = std::pin::Pin<Box<dyn Future<Output = T> + Send + 'a>>;
