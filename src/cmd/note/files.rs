use std::net::SocketAddr;
use std::path::PathBuf;

use error_stack::{Report, ResultExt};
use notes::{Declared, NoteError, NoteFile, apply, diff};

use super::args::{FileArgs, Format, FormatArgs, RebaseArgs};
use super::paint::{Colour, Paint};
use super::session::{with_exit_code, with_operator};
use crate::cmd::print_json;
use crate::exit::CommandError;

/// Length of the random part of an API key, in bytes.
const KEY_BYTES: usize = 32;
/// Prefix of every API key, by which tools recognise it.
const KEY_PREFIX: &str = "lt-";

/// Checks a note and prints the findings.
pub(super) fn check(args: &FileArgs) -> Result<(), Report<CommandError>> {
    let checked = load(args).and_then(|(file, base)| with_exit_code(file.check(&base)));
    if args.output.format == Format::Json {
        let findings = checked.as_ref().err().map(findings_of).unwrap_or_default();
        print_json(&serde_json::json!({ "ok": checked.is_ok(), "findings": findings }));
        return checked;
    }
    checked?;
    println!(
        "{}: {}",
        args.file.display(),
        Paint::for_stdout().text(Colour::Green, "ok")
    );
    Ok(())
}

/// Prints what a note changes.
pub(super) fn show_diff(args: &FileArgs) -> Result<(), Report<CommandError>> {
    let (file, base) = load(args)?;
    with_exit_code(file.check(&base))?;
    let after = with_exit_code(apply(&base, &file.note))?;
    let changes = diff(&base, &after);
    if args.output.format == Format::Json {
        print_json(&changes);
        return Ok(());
    }
    let paint = Paint::for_stdout();
    println!("{}: version {} -> {}", file.note.id, base.version, after.version);
    changes
        .iter()
        .for_each(|change| println!("{}", paint.change(change)));
    Ok(())
}

/// Rewrites the base of a note in its file to the current version, after checking the note against it.
pub(super) fn rebase(args: &RebaseArgs) -> Result<(), Report<CommandError>> {
    let file = with_exit_code(NoteFile::load(&args.file))?;
    let (rebased, base) = with_operator(args.platform.platform, async |operator| {
        operator.rebase(&file.note).await
    })?;
    let text = file.text_with_base(rebased.base);
    let name = args.file.display().to_string();
    with_exit_code(NoteFile::parse(&text, &name).and_then(|file| file.check(&base)))?;
    std::fs::write(&args.file, text).change_context(CommandError::Failed)?;
    match args.platform.output.format {
        Format::Json => print_json(&serde_json::json!({ "id": rebased.id, "base": rebased.base })),
        Format::Text => println!("{}: base {} -> {}", rebased.id, file.note.base, rebased.base),
    }
    Ok(())
}

/// Generates an API key and prints it with its digest.
pub(super) fn make_key(output: FormatArgs) -> Result<(), Report<CommandError>> {
    let secret: [u8; KEY_BYTES] = rand::random();
    let key = format!("{KEY_PREFIX}{}", utils::Digest::from(secret));
    let digest = utils::digest(key.as_bytes());
    match output.format {
        Format::Json => print_json(&serde_json::json!({ "key": key, "digest": digest })),
        Format::Text => println!("key:    {key}\ndigest: {digest}"),
    }
    Ok(())
}

fn load(args: &FileArgs) -> Result<(NoteFile, Declared), Report<CommandError>> {
    let file = with_exit_code(NoteFile::load(&args.file))?;
    let base = match args.platform {
        Some(addr) => declared_on_platform(addr)?,
        None => declared_in_files(&args.after)?,
    };
    Ok((file, base))
}

fn declared_on_platform(addr: SocketAddr) -> Result<Declared, Report<CommandError>> {
    with_operator(addr, async |operator| {
        let head = operator.store.head().await?;
        operator.store.declared(&head.row, None).await
    })
}

fn declared_in_files(files: &[PathBuf]) -> Result<Declared, Report<CommandError>> {
    let mut declared = Declared::default();
    for path in files {
        let file = with_exit_code(NoteFile::load(path))?;
        with_exit_code(file.check(&declared))?;
        declared = with_exit_code(apply(&declared, &file.note))?;
    }
    Ok(declared)
}

fn findings_of(report: &Report<CommandError>) -> Vec<notes::Finding> {
    match report.downcast_ref::<NoteError>() {
        Some(NoteError::Invalid { findings, .. }) => findings.clone(),
        _ => Vec::new(),
    }
}
