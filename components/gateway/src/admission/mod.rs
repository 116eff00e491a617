//! Who gets capacity at the engines of a service when it is short.

mod room;

pub(crate) use room::{MIN_WAITING_TO_REFUSE, has_room};
