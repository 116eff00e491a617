use std::fs::File;
use std::io::BufReader;

use error_stack::{Report, ResultExt};
use logs::RequestTimeline;

use super::print_text;
use crate::cli::ExplainArgs;
use crate::exit::CommandError;

/// Prints the log lines of one request from the logs of several hosts; fails if no line contains it.
pub(crate) fn explain(args: &ExplainArgs) -> Result<(), Report<CommandError>> {
    let mut story = RequestTimeline::default();
    for path in &args.logs {
        let file = File::open(path)
            .change_context_lazy(|| CommandError::OpenLog(path.clone()))
            .change_context(CommandError::Usage)?;
        let name = path.file_stem().unwrap_or(path.as_os_str());
        story
            .add(&name.to_string_lossy(), BufReader::new(file), &args.request)
            .change_context(CommandError::Failed)?;
    }
    if story.lines.is_empty() {
        let missing = CommandError::UnknownRequest(args.request.clone());
        return Err(Report::new(missing).change_context(CommandError::Failed));
    }
    print_text(&story.to_string());
    Ok(())
}
