use bytes::Bytes;
use error_stack::Report;

use crate::{BoxFuture, PlatformError};

/// The platform's object store.
pub trait ObjectStore: Send + Sync {
    /// Stores an object under a key.
    fn put(&self, key: String, content: Bytes) -> BoxFuture<'_, Result<(), Report<PlatformError>>>;

    /// Reads an object; `None` if the key does not exist.
    fn get(&self, key: String) -> BoxFuture<'_, Result<Option<Bytes>, Report<PlatformError>>>;
}
