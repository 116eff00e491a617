use std::time::Duration;

use error_stack::Report;
use notes::{AcceptStatus, Acceptance, AckTracker, Head, NoteError, NoteFile, Operator, Terms};
use utils::Monotonic;

use super::args::{AcceptArgs, Format, InitArgs, LogArgs, PlatformArgs};
use super::paint::{Colour, Paint};
use super::session::{with_exit_code, with_operator};
use crate::cmd::print_json;
use crate::exit::CommandError;

/// Writes the first head row.
pub(super) fn init(args: &InitArgs) -> Result<(), Report<CommandError>> {
    let terms = Terms {
        freshness_ms: args.freshness_ms,
        lapse_ms: args.lapse_ms,
        ..Terms::default()
    };
    let head = with_operator(args.platform.platform, async |operator| {
        operator.store.bootstrap(&terms).await
    })?;
    print_head(args.platform.output.format, &head);
    Ok(())
}

/// Stages a note, waits for the hosts and brings it into force.
pub(super) fn accept(args: &AcceptArgs) -> Result<(), Report<CommandError>> {
    let file = with_exit_code(NoteFile::load(&args.file))?;
    let format = args.platform.output.format;
    let timeout = Duration::from_secs(args.wait);
    let mut last_printed = None;
    let progress = |status: &AcceptStatus| {
        if format == Format::Text && last_printed.as_ref() != Some(&status.regions) {
            print_regions(status);
            last_printed = Some(status.regions.clone());
        }
    };
    let accepted = with_operator(args.platform.platform, async |operator| {
        let (head, base) = operator.stage(&file.note, timeout).await?;
        operator.accept(head, &base, timeout, progress).await
    })?;
    match accepted {
        Acceptance::InForce(head) => {
            print_head(format, &head);
            Ok(())
        }
        Acceptance::Waiting { status, .. } => {
            match format {
                Format::Json => print_json(&serde_json::json!({ "in_force": false, "staged": status })),
                Format::Text => println!("{} is staged and not accepted", file.note.id),
            }
            Err(Report::new(NotConfirmed(unconfirmed_by(&status))).change_context(CommandError::NotAccepted))
        }
    }
}

/// Abandons the staged note.
pub(super) fn abandon(args: &PlatformArgs) -> Result<(), Report<CommandError>> {
    let head = with_operator(args.platform, async |operator| {
        let head = operator.store.head().await?;
        operator.store.abandon(&head).await
    })?;
    print_head(args.output.format, &head);
    Ok(())
}

/// Prints the version in force, the staged change and which hosts have confirmed it.
pub(super) fn status(args: &PlatformArgs) -> Result<(), Report<CommandError>> {
    let (head, hosts, staged_status) = with_operator(args.platform, async |operator| {
        let head = operator.store.head().await?;
        let hosts = operator.store.hosts().await?;
        let staged_status = staged_status(&operator, &head, &hosts).await?;
        Ok((head, hosts, staged_status))
    })?;
    if args.output.format == Format::Json {
        print_json(&serde_json::json!({ "head": head.row, "hosts": hosts, "staged": staged_status }));
        return Ok(());
    }
    print_head(Format::Text, &head);
    if let Some(status) = &staged_status {
        print_regions(status);
    }
    let staged = head.row.staged.as_ref().map_or(0, |staged| staged.seq);
    for host in &hosts {
        let state = match (host.is_stopped, staged) {
            (true, _) => "stopped",
            (false, 0) => "runs",
            (false, staged) if host.acknowledged >= staged => "holds the staged note",
            (false, _) => "has not confirmed the staged note",
        };
        println!("  {} ({}): {state}", host.host, host.region);
    }
    Ok(())
}

/// Lists accepted notes.
pub(super) fn log(args: &LogArgs) -> Result<(), Report<CommandError>> {
    let rows = with_operator(args.platform.platform, async |operator| {
        operator.store.log(args.after, args.limit).await
    })?;
    if args.platform.output.format == Format::Json {
        print_json(&rows);
        return Ok(());
    }
    for row in rows {
        let entries = row.note.touched().count();
        println!(
            "{:>6}  {}  {} entries  {}",
            row.version, row.note.id, entries, row.note.summary
        );
    }
    Ok(())
}

/// Error for a staged note that too few hosts have confirmed, with the regions and hosts.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("not confirmed yet: {0}")]
struct NotConfirmed(String);

async fn staged_status(
    operator: &Operator,
    head: &Head,
    hosts: &[notes::HostRow],
) -> Result<Option<AcceptStatus>, Report<NoteError>> {
    let Some(staged) = &head.row.staged else {
        return Ok(None);
    };
    let terms = operator.store.terms(head.row.terms).await?;
    let now: Monotonic = operator.clock.now();
    let mut tracker = AckTracker::new(staged.seq, terms.into(), now);
    tracker.on_hosts(now, hosts);
    Ok(Some(tracker.status()))
}

fn print_head(format: Format, head: &Head) {
    if format == Format::Json {
        return print_json(&head.row);
    }
    let paint = Paint::for_stdout();
    let version = paint.text(Colour::Green, format!("version {}", head.row.version));
    println!("in force: {version} (change {})", head.row.seq);
    if let Some(staged) = &head.row.staged {
        let name = staged.note.as_deref().unwrap_or("a change of the roster");
        println!(
            "staged: {} (change {})",
            paint.text(Colour::Yellow, name),
            staged.seq
        );
    }
}

fn print_regions(status: &AcceptStatus) {
    let paint = Paint::for_stdout();
    for (name, region) in &status.regions {
        let counted = format!("{} of {} needed", region.counted, region.needed);
        let is_enough = region.counted >= region.needed;
        let colour = if is_enough { Colour::Green } else { Colour::Red };
        println!("  region {name}: {}", paint.text(colour, counted));
        if !is_enough {
            println!("    not confirmed by: {}", region.missing.join(", "));
        }
    }
}

fn unconfirmed_by(status: &AcceptStatus) -> String {
    let unconfirmed = status
        .regions
        .iter()
        .filter(|(_, region)| region.counted < region.needed);
    let names: Vec<_> = unconfirmed
        .map(|(name, region)| format!("{name} ({})", region.missing.join(", ")))
        .collect();
    match names.is_empty() {
        true => "the waiting period has not passed".to_owned(),
        false => names.join("; "),
    }
}
