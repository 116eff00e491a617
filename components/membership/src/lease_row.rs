use serde::{Deserialize, Serialize};
use utils::{Epoch, HostId, Incarnation, ModelId, TargetId, WeightVersion};

/// A weight load that may be in progress: it was reserved in the lease's row and is not known to have ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct LoadSlot {
    /// The target.
    pub target: TargetId,
    /// The model.
    pub model: ModelId,
    /// The version to load.
    pub version: WeightVersion,
}

/// Content of the lease's row in the table service.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct LeaseRow {
    /// Name of the host that holds the lease.
    pub holder: HostId,
    /// Incarnation of the holder's process.
    pub incarnation: Incarnation,
    /// Fencing token; increases with each new holder.
    pub epoch: Epoch,
    /// Number of the holder's write. Identifies a write whose answer was lost when the row is read again.
    pub write: u64,
    /// Weight loads that count against the limit, including those of earlier holders.
    pub loads: Vec<LoadSlot>,
    /// Whether the write also created the row that [`LeaseRow::identity`] names. Hosts of earlier versions do not.
    #[serde(default)]
    pub is_identified: bool,
}

impl LeaseRow {
    /// Returns the key of the row that exists exactly as long as this write is the last one of the lease's row; `None`
    /// for a write of a host of an earlier version. No other write has the same key, also not after the table
    /// service was restored from an older copy and gives out versions again.
    ///
    /// ```
    /// use membership::LeaseRow;
    ///
    /// let row = LeaseRow {
    ///     holder: "entry-1".into(),
    ///     incarnation: 7,
    ///     epoch: 1,
    ///     write: 3,
    ///     loads: Vec::new(),
    ///     is_identified: true,
    /// };
    /// assert_eq!(row.identity().as_deref(), Some("7/3/entry-1"));
    /// ```
    pub fn identity(&self) -> Option<String> {
        let Self {
            holder,
            incarnation,
            write,
            ..
        } = self;
        self.is_identified
            .then(|| format!("{incarnation}/{write}/{holder}"))
    }
}
