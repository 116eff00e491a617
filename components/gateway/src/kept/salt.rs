use crate::Workspace;

/// Scope of all workspaces that share their cache.
const SHARED: &str = "all";

/// Returns the salt that cache is stored and found under: the workspace if it is isolated, the model, and the
/// weight version.
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

/// Returns the weight version of a salt, if the salt belongs to the model.
pub fn weights_of_salt(salt: &str, model: &str) -> Option<u64> {
    let (rest, weights) = salt.rsplit_once('/')?;
    let (_, of) = rest.rsplit_once('/')?;
    (of == model).then(|| weights.parse().ok())?
}

/// Returns the scope in which a workspace shares cache: its own name if it is isolated.
pub(crate) fn cache_scope(workspace: Option<&Workspace>) -> &str {
    workspace
        .filter(|workspace| workspace.is_isolated)
        .map_or(SHARED, |workspace| &workspace.name)
}
