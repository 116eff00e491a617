use serde::{Deserialize, Serialize};

/// Short name of a host on the wire: the first bytes of its name's hash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct HostTag([u8; 6]);

/// Short name of a target on the wire. Two targets with the same tag get no summaries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct TargetTag([u8; 4]);

/// Short name of a workspace on the wire.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct WorkspaceTag([u8; 4]);

impl HostTag {
    /// The tag of a host's name.
    ///
    /// ```
    /// use membership::HostTag;
    ///
    /// assert_eq!(HostTag::of("entry-1"), HostTag::of("entry-1"));
    /// assert_ne!(HostTag::of("entry-1"), HostTag::of("entry-2"));
    /// ```
    pub fn of(name: &str) -> Self {
        Self(prefix(name))
    }
}

impl TargetTag {
    /// The tag of a target's name.
    pub fn of(name: &str) -> Self {
        Self(prefix(name))
    }
}

impl WorkspaceTag {
    /// The tag of a workspace's name.
    pub fn of(name: &str) -> Self {
        Self(prefix(name))
    }
}

fn prefix<const N: usize>(name: &str) -> [u8; N] {
    let mut bytes = [0; N];
    bytes.copy_from_slice(&utils::digest(name.as_bytes()).as_bytes()[..N]);
    bytes
}
