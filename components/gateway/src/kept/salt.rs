use std::fmt::Write;

/// First field of the salts of all workspaces that share their cache. The digest of those that do not is the second, if
/// there are any.
const SHARED: &str = "all";
/// First field of the salts of an isolated workspace, whose name is the second.
const ISOLATED: &str = "one";

/// Workspaces that share cache with each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CacheScope<'a> {
    /// All workspaces, none of which is isolated.
    Shared,
    /// All workspaces beside those that are isolated, with the digest of their names.
    SharedBeside(&'a str),
    /// One isolated workspace.
    Isolated(&'a str),
}

impl CacheScope<'_> {
    /// Returns the scope as one or two fields without a slash in them; different scopes give different texts.
    ///
    /// ```
    /// use gateway::CacheScope;
    ///
    /// assert_eq!(CacheScope::Shared.text(), "all");
    /// assert_eq!(CacheScope::SharedBeside("5c1e07a2").text(), "all/5c1e07a2");
    /// assert_eq!(CacheScope::Isolated("all").text(), "one/all");
    /// assert_eq!(CacheScope::Isolated("a/b").text(), "one/a%2Fb");
    /// ```
    pub fn text(self) -> String {
        match self {
            Self::Shared => SHARED.to_owned(),
            Self::SharedBeside(digest) => format!("{SHARED}/{}", escape(digest)),
            Self::Isolated(name) => format!("{ISOLATED}/{}", escape(name)),
        }
    }
}

/// Returns the salt that cache is stored and found under: the scope, the model, and the weight version. Different
/// values give different salts.
///
/// ```
/// use gateway::CacheScope;
///
/// assert_eq!(gateway::salt_of(CacheScope::Shared, "m", 3), "all/m/3");
/// assert_eq!(gateway::weights_of_salt("all/m/3", "m"), Some(3));
/// assert_eq!(gateway::weights_of_salt("all/m/3", "n"), None);
/// ```
pub fn salt_of(scope: CacheScope, model: &str, weights: u64) -> String {
    format!("{}/{}/{weights}", scope.text(), escape(model))
}

/// Returns the weight version of a salt, if the salt belongs to the model.
pub fn weights_of_salt(salt: &str, model: &str) -> Option<u64> {
    let (rest, weights) = salt.rsplit_once('/')?;
    let (_, of) = rest.rsplit_once('/')?;
    (of == escape(model)).then(|| weights.parse().ok())?
}

/// Returns the text of a salt's scope.
///
/// ```
/// assert_eq!(gateway::scope_of_salt("one/mill/m/3"), Some("one/mill"));
/// assert_eq!(gateway::scope_of_salt("mill"), None);
/// ```
pub fn scope_of_salt(salt: &str) -> Option<&str> {
    let (rest, _) = salt.rsplit_once('/')?;
    rest.rsplit_once('/').map(|(scope, _)| scope)
}

/// Percent-encodes a name, so that it holds no slash and can be sent in a header.
pub(super) fn escape(name: &str) -> String {
    let mut text = String::with_capacity(name.len());
    for byte in name.bytes() {
        match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'.' | b'_' | b'~' => text.push(byte.into()),
            _ => {
                // Writing into a string does not fail.
                let _ = write!(text, "%{byte:02X}");
            }
        }
    }
    text
}
