//! Clients and types of the platform's services: a table service, an object store and a host list.

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

/// A boxed future, returned by the async methods of object-safe traits.
pub type BoxFuture<'a, T> = std::pin::Pin<Box<dyn Future<Output = T> + Send + 'a>>;
