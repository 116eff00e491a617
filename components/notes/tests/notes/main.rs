//! Tests of release notes: schema, store, protocol and timing.

mod protocol;
mod schema;
mod store;
mod support;
mod timing;
