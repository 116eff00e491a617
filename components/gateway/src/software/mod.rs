//! Software versions of targets: a stream may continue only at the version that began it.

mod origin;
mod origin_leftovers;
mod origin_records;

pub use origin::{OriginKey, OriginPart, OriginUnknown, StreamOrigin, stream_lifetime};
pub use origin_leftovers::Leftovers;
pub use origin_records::{OriginRecords, OriginWrite};
