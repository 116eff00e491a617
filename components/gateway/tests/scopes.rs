//! Cache scopes: no two workspaces that must not share cache ever use one salt.

use std::collections::{BTreeMap, BTreeSet};

use gateway::{CacheScope, IsolatedWorkspaces, salt_of, weights_of_salt};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Names that a caller or an operator can give, the words and separators of salts among them.
fn name() -> impl Strategy<Value = String> {
    let word = prop_oneof![
        Just("all".to_owned()),
        Just("one".to_owned()),
        Just("one/all".to_owned()),
        Just("%2F".to_owned()),
        Just(String::new()),
        "[a-b/%1]{0,4}",
        "\\PC{0,6}",
    ];
    proptest::collection::vec(word, 1..3).prop_map(|words| words.join("/"))
}

fn scope(name: &Option<String>) -> CacheScope<'_> {
    name.as_deref().map_or(CacheScope::Shared, CacheScope::Isolated)
}

// Guards against cache of an isolated workspace that others use because its name is a word or holds a separator.
#[test]
fn an_isolated_workspace_shares_no_salt_whatever_its_name() {
    for name in ["all", "one", "", "all/m", "one/all", "a/b"] {
        for model in ["m", "m/1", "all", ""] {
            let isolated = salt_of(CacheScope::Isolated(name), model, 1);
            assert_ne!(
                isolated,
                salt_of(CacheScope::Shared, model, 1),
                "{name:?} {model:?}"
            );
        }
    }
    let slash_in_workspace = salt_of(CacheScope::Isolated("a/b"), "m", 1);
    let slash_in_model = salt_of(CacheScope::Isolated("a"), "b/m", 1);
    assert_ne!(slash_in_workspace, slash_in_model);
}

// Guards against salts that old and new hosts do not share in a roll, for workspaces that are not isolated.
#[test]
fn the_salt_of_shared_cache_is_that_of_earlier_versions() {
    assert_eq!(salt_of(CacheScope::Shared, "daka510000", 7), "all/daka510000/7");
}

// Guards against kept cache of replaced weights that is never dropped because its model's name has a slash.
#[test]
fn the_weights_of_a_salt_are_found_for_any_model() {
    for model in ["m", "org/model-7", "a%2Fb", "modèle"] {
        let digest = CacheScope::SharedBeside("5c1e07a2");
        for scope in [CacheScope::Shared, digest, CacheScope::Isolated("a/b")] {
            let salt = salt_of(scope, model, 4);
            assert_eq!(weights_of_salt(&salt, model), Some(4), "{salt}");
            assert_eq!(weights_of_salt(&salt, "other"), None, "{salt}");
        }
    }
    assert_eq!(
        weights_of_salt("mill/m/4", "m"),
        Some(4),
        "an earlier version's salt"
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, rng_seed: RngSeed::Fixed(39), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn different_scopes_models_and_weights_have_different_salts(
        one in (proptest::option::of(name()), name(), 0..3u64),
        other in (proptest::option::of(name()), name(), 0..3u64),
    ) {
        let salt = |(workspace, model, weights): &(Option<String>, String, u64)| {
            salt_of(scope(workspace), model, *weights)
        };
        prop_assert_eq!(salt(&one) == salt(&other), one == other);
        prop_assert_eq!(scope(&one.0).text() == scope(&other.0).text(), one.0 == other.0);
    }

    // Guards against parts that a workspace has left in the cache of all and that others use while it is isolated, and against
    // those of others that it uses itself, whatever was declared in between and however far hosts lag behind.
    #[test]
    fn no_request_uses_parts_of_a_workspace_when_one_of_the_two_is_isolated(
        names in proptest::collection::btree_set(name(), 4),
        declared in proptest::collection::vec((0..16u8, 0..2usize), 1..12),
    ) {
        let names: Vec<String> = names.into_iter().collect();
        let set_of = |bits: u8| -> BTreeSet<&str> {
            let isolated = names.iter().enumerate().filter(|(i, _)| bits & (1 << i) != 0);
            isolated.map(|(_, name)| name.as_str()).collect()
        };
        let mut makers: BTreeMap<String, BTreeSet<&str>> = BTreeMap::new();
        for (step, (bits, lag)) in declared.iter().enumerate() {
            // What a host that lags behind makes is there for all.
            let behind = declared[step.saturating_sub(*lag)].0;
            for bits in [behind, *bits] {
                let isolated: IsolatedWorkspaces = set_of(bits).into_iter().map(Into::into).collect();
                for name in &names {
                    let scope = isolated.scope_of(Some(name)).text();
                    let used = makers.entry(scope.clone()).or_default();
                    let is_isolated = |name: &str| set_of(bits).contains(name);
                    let is_foreign = |maker: &&&str| **maker != name.as_str();
                    let forbidden = used.iter().find(|maker| is_foreign(maker) && (is_isolated(name) || is_isolated(maker)));
                    prop_assert_eq!(forbidden, None, "{:?} of {:?}", name, scope);
                    prop_assert!(isolated.is_current(&scope));
                    used.insert(name);
                }
            }
        }
    }

    #[test]
    fn a_salt_can_be_sent_in_a_header(workspace in name(), model in name()) {
        let salt = salt_of(CacheScope::Isolated(&workspace), &model, 1);
        prop_assert!(salt.bytes().all(|byte| byte.is_ascii_graphic()));
    }
}
