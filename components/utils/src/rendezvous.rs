use crate::Digest;

/// Returns the rendezvous hashing score of a candidate for a key. The candidate with the highest score owns
/// the key.
pub fn rendezvous_score(key: &[u8], candidate: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(key.len() as u64).to_le_bytes());
    hasher.update(key);
    hasher.update(candidate.as_bytes());
    Digest::from(*hasher.finalize().as_bytes()).first_u64()
}

/// Returns the candidates in the order in which they own the key, from the highest score to the lowest.
///
/// ```
/// let hosts = ["entry-1", "entry-2", "entry-3"];
/// let all = utils::rendezvous_order(b"prompt", hosts);
/// let fewer = utils::rendezvous_order(b"prompt", all[1..].iter().copied());
/// assert_eq!(all[1..], fewer);
/// ```
pub fn rendezvous_order<'a>(key: &[u8], candidates: impl IntoIterator<Item = &'a str>) -> Vec<&'a str> {
    let mut scored: Vec<_> = candidates
        .into_iter()
        .map(|c| (rendezvous_score(key, c), c))
        .collect();
    scored.sort_unstable_by(|a, b| b.cmp(a));
    scored.into_iter().map(|(_, c)| c).collect()
}
