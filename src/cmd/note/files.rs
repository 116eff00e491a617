use std::net::SocketAddr;
use std::path::PathBuf;

use error_stack::{Report, ResultExt};
use notes::{Declared, NoteError, NoteFile, apply, diff};

use super::args::{FileArgs, Format, FormatArgs, RebaseArgs};
use super::paint::{Colour, Paint};
use super::session::{settle, with_operator};
use crate::cmd::print_json;
use crate::exit::CommandError;

/// Bytes of an API key before it is written as text.
const KEY_BYTES: usize = 32;
/// Start of every API key, so that tools recognise one.
const KEY_PREFIX: &str = "lt-";

/// Checks a note and prints what is wrong with it.
pub(super) fn check(args: &FileArgs) -> Result<(), Report<CommandError>> {
    let checked = load(args).and_then(|(file, base)| settle(file.check(&base)));
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
    settle(file.check(&base))?;
    let after = settle(apply(&base, &file.note))?;
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

/// Rewrites the base of a note in its file, after checking it against the head.
pub(super) fn rebase(args: &RebaseArgs) -> Result<(), Report<CommandError>> {
    let file = settle(NoteFile::load(&args.file))?;
    let (rebased, base) = with_operator(args.platform.platform, async |operator| {
        operator.rebase(&file.note).await
    })?;
    let text = file.text_with_base(rebased.base);
    let name = args.file.display().to_string();
    settle(NoteFile::parse(&text, &name).and_then(|file| file.check(&base)))?;
    std::fs::write(&args.file, text).change_context(CommandError::Failed)?;
    match args.platform.output.format {
        Format::Json => print_json(&serde_json::json!({ "id": rebased.id, "base": rebased.base })),
        Format::Text => println!("{}: base {} -> {}", rebased.id, file.note.base, rebased.base),
    }
    Ok(())
}

/// Makes an API key and prints it with its digest.
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
    let file = settle(NoteFile::load(&args.file))?;
    let base = match args.platform {
        Some(addr) => declared_at(addr)?,
        None => declared_by(&args.after)?,
    };
    Ok((file, base))
}

fn declared_at(addr: SocketAddr) -> Result<Declared, Report<CommandError>> {
    with_operator(addr, async |operator| {
        let head = operator.store.head().await?;
        operator.store.declared(&head.row, None).await
    })
}

fn declared_by(files: &[PathBuf]) -> Result<Declared, Report<CommandError>> {
    let mut declared = Declared::default();
    for path in files {
        let file = settle(NoteFile::load(path))?;
        settle(file.check(&declared))?;
        declared = settle(apply(&declared, &file.note))?;
    }
    Ok(declared)
}

fn findings_of(report: &Report<CommandError>) -> Vec<notes::Finding> {
    match report.downcast_ref::<NoteError>() {
        Some(NoteError::Invalid { findings, .. }) => findings.clone(),
        _ => Vec::new(),
    }
}
