use std::collections::BTreeSet;

use error_stack::Report;
use utils::NoteVersion;

use crate::{EntryName, Note, NoteError};

/// Returns the entries that both notes touch, in order.
///
/// ```
/// let parse = |text| notes::NoteFile::parse(text, "f").unwrap().note;
/// let a = parse("id: a\nbase: 0\nadd:\n  workspaces: {mill: {}}\n");
/// let b = parse("id: b\nbase: 0\nadd:\n  workspaces: {mill: {priority: 1}, yard: {}}\n");
/// assert_eq!(notes::conflicting_entries(&a, &b)[0].to_string(), "workspaces.mill");
/// ```
pub fn conflicting_entries(a: &Note, b: &Note) -> Vec<EntryName> {
    let touched: BTreeSet<_> = a.touched().collect();
    let both: BTreeSet<_> = b.touched().filter(|name| touched.contains(name)).collect();
    both.into_iter().collect()
}

/// Returns the note with a later head as its base, if no note accepted since touches its entries.
///
/// The caller must check the result against the head: an entry that the note refers to may have been
/// withdrawn.
///
/// # Errors
/// [`NoteError::Conflict`] names the first note that conflicts and the entries.
pub fn rebase<'a>(
    note: &Note,
    accepted_since: impl IntoIterator<Item = &'a Note>,
    head: NoteVersion,
) -> Result<Note, Report<NoteError>> {
    for other in accepted_since {
        let entries = conflicting_entries(note, other);
        if !entries.is_empty() {
            return Err(Report::new(NoteError::Conflict {
                with: other.id.clone(),
                entries,
            }));
        }
    }
    let mut rebased = note.clone();
    rebased.base = head;
    Ok(rebased)
}
