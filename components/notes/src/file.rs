use std::path::Path;

use error_stack::{Report, ResultExt};
use serde_saphyr::Error;
use utils::NoteVersion;

use crate::positions::{FieldPositions, position};
use crate::{Declared, Finding, Note, NoteError, check};

/// A note, with the text that it was read from and the positions of its fields.
#[derive(Debug, Clone)]
pub struct NoteFile {
    /// The note.
    pub note: Note,
    /// Text of the file as it was read.
    text: String,
    /// Path of the file, used in errors.
    file: String,
    /// Positions of the fields.
    positions: FieldPositions,
}

impl NoteFile {
    /// Reads a note from a file.
    ///
    /// # Errors
    /// [`NoteError::Unreadable`], and [`NoteError::Invalid`] with line, column and field.
    pub fn load(path: &Path) -> Result<Self, Report<NoteError>> {
        let file = path.display().to_string();
        let text =
            std::fs::read_to_string(path).change_context(NoteError::Unreadable { file: file.clone() })?;
        Self::parse(&text, &file)
    }

    /// Reads a note from text; `file` is used in errors.
    ///
    /// # Errors
    /// [`NoteError::Invalid`] with line, column and field.
    ///
    /// ```
    /// let file = notes::NoteFile::parse("id: first\nbase: 0\n", "first.yaml").unwrap();
    /// assert_eq!(&*file.note.id, "first");
    /// ```
    pub fn parse(text: &str, file: &str) -> Result<Self, Report<NoteError>> {
        let positions = FieldPositions::of(text);
        match serde_saphyr::from_str(text) {
            Ok(note) => Ok(Self {
                note,
                text: text.to_owned(),
                file: file.to_owned(),
                positions,
            }),
            Err(e) => Err(Report::new(NoteError::Invalid {
                file: file.to_owned(),
                findings: vec![syntax_finding(&e, &positions)],
            })),
        }
    }

    /// Returns the text with another base version; comments and everything else stay unchanged.
    ///
    /// ```
    /// let file = notes::NoteFile::parse("id: a # mine\nbase: 4 # old\n", "a.yaml").unwrap();
    /// assert_eq!(file.text_with_base(7), "id: a # mine\nbase: 7 # old\n");
    /// ```
    pub fn text_with_base(&self, base: NoteVersion) -> String {
        let position = self.positions.find("base");
        let Some(line) = position.map(|position| position.line as usize) else {
            return self.text.clone();
        };
        let (old, new) = (self.note.base.to_string(), base.to_string());
        let lines = self.text.split_inclusive('\n').enumerate();
        let replaced = lines.map(|(i, text)| match i + 1 == line {
            true => text.replacen(&old, &new, 1),
            false => text.to_owned(),
        });
        replaced.collect()
    }

    /// Checks the note against the entries that its base declares.
    ///
    /// # Errors
    /// [`NoteError::Invalid`] with all violations.
    pub fn check(&self, base: &Declared) -> Result<(), Report<NoteError>> {
        let mut findings = check(base, &self.note);
        for finding in &mut findings {
            finding.place = self.positions.find(&finding.field);
        }
        if findings.is_empty() {
            return Ok(());
        }
        findings.sort_by_key(|f| f.place);
        Err(Report::new(NoteError::Invalid {
            file: self.file.clone(),
            findings,
        }))
    }
}

fn syntax_finding(e: &Error, positions: &FieldPositions) -> Finding {
    let e = e.without_snippet();
    let place = e.location().map(position);
    let at = place.and_then(|place| positions.field_at(place));
    let (path, value) = at.unwrap_or(("note", ""));
    let (field, found, allowed) = match e {
        Error::SerdeUnknownField { field, expected, .. } => (
            path.to_owned(),
            format!("the unknown field `{field}`"),
            expected.join(", "),
        ),
        Error::SerdeMissingField { field, .. } => {
            (field.to_string(), "missing".to_owned(), "required".to_owned())
        }
        Error::SerdeUnknownVariant {
            variant, expected, ..
        } => (path.to_owned(), format!("`{variant}`"), expected.join(", ")),
        Error::SerdeInvalidType {
            unexpected, expected, ..
        }
        | Error::SerdeInvalidValue {
            unexpected, expected, ..
        } => (path.to_owned(), unexpected.clone(), expected.clone()),
        Error::InvalidScalar { ty, .. } => (path.to_owned(), format!("`{value}`"), type_name(ty).to_owned()),
        Error::DuplicateMappingKey { key, .. } => {
            let found = format!("the key `{}` again", key.as_deref().unwrap_or_default());
            (path.to_owned(), found, "each key once".to_owned())
        }
        Error::Message { msg, .. } => (path.to_owned(), format!("`{value}`"), msg.clone()),
        other => (
            path.to_owned(),
            "not readable".to_owned(),
            without_position(&other.to_string()),
        ),
    };
    Finding {
        place,
        field,
        found,
        allowed,
    }
}

fn type_name(ty: &'static str) -> &'static str {
    match ty {
        "u8" | "u32" | "u64" | "usize" => "a whole number",
        "f64" => "a number",
        "bool" => "true or false",
        other => other,
    }
}

fn without_position(message: &str) -> String {
    message.split(" at line ").next().unwrap_or_default().to_owned()
}
