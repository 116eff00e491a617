use directory::{Chain, PIECE_BYTES, PieceScope, WorkspaceKey, shard_of};
use proptest::prelude::*;

const SCOPE: PieceScope<'_> = PieceScope {
    model: "quotes",
    adapter: None,
    weight_version: 1,
};

fn key(workspace: &str) -> WorkspaceKey {
    WorkspaceKey::new(&utils::digest(b"secret"), workspace)
}

fn prompt(pieces: usize, salt: u8) -> String {
    let mut text = String::new();
    for piece in 0..pieces {
        text.push_str(&format!("{salt:03}{piece:05}").repeat(PIECE_BYTES / 8));
    }
    text
}

#[test]
fn only_full_pieces_are_named() {
    let text = prompt(2, 1) + "the rest";
    let chain = Chain::new(&key("a"), SCOPE, &text);
    assert_eq!(chain.pieces().len(), 2);
    assert_eq!(chain.tokens() as usize, text.len() / 4);
}

#[test]
fn longer_prompt_extends_the_chain() {
    let text = prompt(5, 1);
    let short = Chain::new(&key("a"), SCOPE, &text[..3 * PIECE_BYTES]);
    let long = Chain::new(&key("a"), SCOPE, &text);
    assert_eq!(short.pieces(), &long.pieces()[..3]);
    assert!(
        long.pieces()
            .iter()
            .all(|p| shard_of(p) == shard_of(&long.pieces()[0]))
    );
}

#[test]
fn same_text_after_another_prefix_has_another_name() {
    let tail = prompt(1, 9);
    let one = Chain::new(&key("a"), SCOPE, &(prompt(1, 1) + &tail));
    let two = Chain::new(&key("a"), SCOPE, &(prompt(1, 2) + &tail));
    assert_ne!(one.pieces()[1], two.pieces()[1]);
}

proptest! {
    #[test]
    fn any_difference_in_scope_changes_every_name(
        workspaces in ("[ab]{1,2}", "[ab]{1,2}"),
        models in ("[ab]{1,2}", "[ab]{1,2}"),
        adapters in (proptest::option::of("[ab]{0,2}"), proptest::option::of("[ab]{0,2}")),
        versions in (0_u32..3, 0_u32..3),
    ) {
        let text = prompt(3, 1);
        let chain = |workspace: &str, model, adapter: &Option<String>, weight_version| {
            let adapter = adapter.as_deref();
            Chain::new(&key(workspace), PieceScope { model, adapter, weight_version }, &text)
        };
        let one = chain(&workspaces.0, &models.0, &adapters.0, versions.0);
        let two = chain(&workspaces.1, &models.1, &adapters.1, versions.1);
        let same = workspaces.0 == workspaces.1
            && models.0 == models.1
            && adapters.0 == adapters.1
            && versions.0 == versions.1;
        for (a, b) in one.pieces().iter().zip(two.pieces()) {
            prop_assert_eq!(a == b, same);
        }
    }
}
