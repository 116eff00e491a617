use utils::Monotonic;

/// Where an update of a table comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpdateSource {
    /// The platform's store.
    Store,
    /// Another entry host.
    Peer,
}

/// Availability of the store, derived from the results of calls to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StoreLink {
    /// Calls succeed. Holds the end of the last outage until the grace period after it has passed.
    Up(Option<Monotonic>),
    /// Calls fail.
    Down,
}
