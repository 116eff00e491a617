use std::fmt::Write;

/// Bytes of text that the system counts as one token.
pub(crate) const BYTES_PER_TOKEN: usize = 4;
/// Bytes of a generated word with the space after it.
const WORD_BYTES: usize = 8;

/// Generates text of about `tokens` tokens that differs between seeds.
pub(crate) fn generate_text(seed: u64, tokens: u32) -> String {
    let words = (tokens as usize * BYTES_PER_TOKEN).div_ceil(WORD_BYTES);
    let mut text = String::with_capacity(words * WORD_BYTES);
    let mut state = seed;
    for _ in 0..words {
        state = state
            .wrapping_mul(0x5851_f42d_4c95_7f2d)
            .wrapping_add(0x1405_7b7e_f767_814f);
        let _ = write!(text, "{:07x} ", state >> 36);
    }
    text
}
