use arc_swap::ArcSwap;
use directory::{Chain, DirectoryView, PieceScope, WorkspaceKey};
use notes::Deployment;
use policy::{CacheIndex, Copies};
use targets::PieceId;
use utils::Digest;

/// Where pieces are kept, as the control thread last published it.
#[derive(Default)]
pub(crate) struct CacheCell(ArcSwap<DirectoryView>);

impl CacheCell {
    /// Replaces what is known.
    pub(crate) fn publish(&self, view: DirectoryView) {
        self.0.store(view.into());
    }
}

impl CacheIndex for CacheCell {
    fn copies(&self, pieces: &[Digest]) -> Copies {
        self.0.load().copies(pieces)
    }
}

/// Names of the full pieces of a prompt of one workspace, for the weights that will run it.
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
