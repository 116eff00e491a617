use targets::PieceId;
use utils::{HostId, NoteVersion, TargetId, WeightVersion, WorkspaceId};

/// A violation of a promise.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum Violation {
    /// A draft used a cache piece with damaged content.
    #[error("{target}: request {request:032x} used the damaged piece {piece}")]
    DamagedPiece {
        target: TargetId,
        request: u128,
        piece: PieceId,
    },
    /// An engine accepted the import of a cache piece with damaged content.
    #[error("{target}: imported the damaged piece {piece}")]
    DamagedImport { target: TargetId, piece: PieceId },
    /// A draft used a cache piece of another workspace.
    #[error("{target}: workspace {user} used the piece {piece} of workspace {owner}")]
    ForeignPiece {
        target: TargetId,
        piece: PieceId,
        owner: WorkspaceId,
        user: WorkspaceId,
    },
    /// A target ran a request in a workspace other than the caller's.
    #[error("{target}: request {request} of workspace {owner} ran as workspace {ran_as}")]
    ForeignRun {
        target: TargetId,
        request: String,
        owner: WorkspaceId,
        ran_as: WorkspaceId,
    },
    /// A draft used a cache piece that another weight version computed.
    #[error("{target}: version {used_by} used a piece of version {computed_by}")]
    MixedVersions {
        target: TargetId,
        used_by: WeightVersion,
        computed_by: WeightVersion,
    },
    /// A new request started on a weight version that was not in force.
    #[error("{target}: request {request:032x} started on version {version}, which was not in force")]
    VersionNotInForce {
        target: TargetId,
        request: u128,
        version: WeightVersion,
    },
    /// The tokens of an answer match no single weight version.
    #[error(
        "request {number}: its {tokens} tokens are not the answer of any one weight version to its prompt"
    )]
    WrongAnswer { number: u64, tokens: usize },
    /// An answer that was marked complete has too few or too many tokens.
    #[error("request {number}: a whole answer has {received} of {expected} tokens")]
    WrongLength {
        number: u64,
        received: usize,
        expected: u32,
    },
    /// The answer to a call does not match the call.
    #[error("request {number}: the answer belongs to another call")]
    WrongReply { number: u64 },
    /// A caller received the outcome `not-run`, but a target ran the request.
    #[error("request {number}: told not-run, but {target} ran {request}")]
    FalseNotRun {
        number: u64,
        request: String,
        target: TargetId,
    },
    /// A non-repeatable call ran more than once.
    #[error("workspace {workspace}: key {key} of {service} ran {runs} times")]
    RanAgain {
        workspace: WorkspaceId,
        service: String,
        key: String,
        runs: usize,
    },
    /// A caller received the outcome `ran`, but no target ran the call.
    #[error("request {number}: told that it ran, but no target ran its key")]
    NeverRan { number: u64 },
    /// A leaving target received new work after the grace period.
    #[error("{target}: got new work {late_micros} microseconds after the grace period of its leaving")]
    WorkAfterLeave { target: TargetId, late_micros: u64 },
    /// A graceful shutdown interrupted a request.
    #[error("{host}: request {number} was cut off by a graceful shutdown")]
    CutOff { host: HostId, number: u64 },
    /// A host served a request under a release note older than the one in force.
    #[error("{host}: served request {number} under note {stated}, when {accepted} was in force")]
    StaleNote {
        host: HostId,
        number: u64,
        stated: NoteVersion,
        accepted: NoteVersion,
    },
    /// A host reverted to an older release note.
    #[error("{host}: went back from note {before} to {after}")]
    RevertedNote {
        host: HostId,
        before: NoteVersion,
        after: NoteVersion,
    },
}
