use std::io::IsTerminal;

use notes::{EntryAction, EntryChange};

/// Colours text for a terminal. Output elsewhere, or with NO_COLOR set, has no colours.
#[derive(Debug, Clone, Copy)]
pub(super) struct Paint {
    /// Whether to use colours.
    is_enabled: bool,
}

/// Text colour; the value is its number in an escape sequence.
#[derive(Debug, Clone, Copy)]
pub(super) enum Colour {
    /// For errors and withdrawn entries.
    Red = 31,
    /// For success and added entries.
    Green = 32,
    /// For staged changes and changed entries.
    Yellow = 33,
}

impl Paint {
    pub(super) fn for_stdout() -> Self {
        let is_enabled = std::io::stdout().is_terminal() && std::env::var_os("NO_COLOR").is_none();
        Self { is_enabled }
    }

    pub(super) fn text(self, colour: Colour, text: impl std::fmt::Display) -> String {
        match self.is_enabled {
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
