use arc_swap::ArcSwap;
use directory::{Chain, DirectoryView, PieceScope, WorkspaceKey};
use notes::Deployment;
use policy::{CacheIndex, Copies};
use targets::PieceId;
use utils::Digest;

/// The cached location of each piece, as last published by the control thread.
#[derive(Default)]
pub(crate) struct CacheCell(ArcSwap<DirectoryView>);

impl CacheCell {
    /// Replaces the published locations.
    pub(crate) fn publish(&self, view: DirectoryView) {
        self.0.store(view.into());
    }
}

impl CacheIndex for CacheCell {
    fn copies(&self, pieces: &[Digest]) -> Copies {
        self.0.load().copies(pieces)
    }
}

/// Returns the identifiers of the full pieces of a prompt. They depend on the workspace and on the weights of
/// `deployment`.
pub(crate) fn piece_ids(
    secret: &Digest,
    workspace: &str,
    model: &str,
    deployment: &Deployment,
    prompt: &str,
) -> Vec<PieceId> {
    let scope = PieceScope {
        model,
        adapter: deployment.adapter.as_deref(),
        weight_version: deployment.weight_version,
    };
    Chain::new(&WorkspaceKey::new(secret, workspace), scope, prompt)
        .pieces()
        .to_vec()
}
