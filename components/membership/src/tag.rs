use serde::{Deserialize, Serialize};

/// Short identifier of a host on the wire: the first 6 bytes of the digest of its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct HostTag([u8; 6]);

/// Short identifier of a target on the wire: the first 4 bytes of the digest of its name. Load summaries of
/// targets that share a tag are ignored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct TargetTag([u8; 4]);

/// Short identifier of a workspace on the wire: the first 4 bytes of the digest of its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct WorkspaceTag([u8; 4]);

impl HostTag {
    /// Returns the tag of the host with this name.
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
    /// Returns the tag of the target with this name.
    pub fn of(name: &str) -> Self {
        Self(prefix(name))
    }
}

impl WorkspaceTag {
    /// Returns the tag of the workspace with this name.
    pub fn of(name: &str) -> Self {
        Self(prefix(name))
    }
}

fn prefix<const N: usize>(name: &str) -> [u8; N] {
    let mut bytes = [0; N];
    bytes.copy_from_slice(&utils::digest(name.as_bytes()).as_bytes()[..N]);
    bytes
}
