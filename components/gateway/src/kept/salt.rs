use crate::Workspace;

/// Stands for all workspaces that share their cache.
const SHARED: &str = "all";

/// Name under which cache is kept and found: the workspace if it is isolated, the model, and the weight version.
///
/// ```
/// assert_eq!(gateway::salt_of(None, "m", 3), "all/m/3");
/// assert_eq!(gateway::weights_of_salt("all/m/3", "m"), Some(3));
/// assert_eq!(gateway::weights_of_salt("all/m/3", "n"), None);
/// ```
pub fn salt_of(workspace: Option<&Workspace>, model: &str, weights: u64) -> String {
    let wall = cache_scope(workspace);
    format!("{wall}/{model}/{weights}")
}

/// The weight version of a salt, if it belongs to the model.
pub fn weights_of_salt(salt: &str, model: &str) -> Option<u64> {
    let (rest, weights) = salt.rsplit_once('/')?;
    let (_, of) = rest.rsplit_once('/')?;
    (of == model).then(|| weights.parse().ok())?
}

/// Who shares cache with a workspace.
pub(crate) fn cache_scope(workspace: Option<&Workspace>) -> &str {
    workspace
        .filter(|workspace| workspace.is_isolated)
        .map_or(SHARED, |workspace| &workspace.name)
}
