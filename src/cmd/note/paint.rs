use std::io::IsTerminal;

use notes::{EntryAction, EntryChange};

/// Colours for a terminal; none elsewhere, or if NO_COLOR is set.
#[derive(Debug, Clone, Copy)]
pub(super) struct Paint {
    /// Whether to use colours.
    is_on: bool,
}

/// A colour of text, as its number in an escape sequence.
#[derive(Debug, Clone, Copy)]
pub(super) enum Colour {
    /// For what is wrong or withdrawn.
    Red = 31,
    /// For what is right or added.
    Green = 32,
    /// For what waits or is changed.
    Yellow = 33,
}

impl Paint {
    pub(super) fn for_stdout() -> Self {
        let is_on = std::io::stdout().is_terminal() && std::env::var_os("NO_COLOR").is_none();
        Self { is_on }
    }

    pub(super) fn text(self, colour: Colour, text: impl std::fmt::Display) -> String {
        match self.is_on {
            true => format!("\x1b[{}m{text}\x1b[0m", colour as u8),
            false => text.to_string(),
        }
    }

    pub(super) fn change(self, change: &EntryChange) -> String {
        let colour = match change.action {
            EntryAction::Added => Colour::Green,
            EntryAction::Changed => Colour::Yellow,
            EntryAction::Withdrawn => Colour::Red,
        };
        self.text(colour, change)
    }
}
