//! Tests of reading, checking, applying, comparing and rebasing notes.

use notes::{Declared, NoteError, NoteFile, apply, conflicting_entries, diff, rebase};

const FIRST: &str = "\
id: first
base: 0
add:
  workspaces:
    mill: {priority: 2}
    yard: {}
  deployments:
    quotes: {weight_version: 3, workspaces: [mill, yard]}
  services:
    orders: {repeatable: false}
  rules:
    local: {models: [quotes, orders], effect: only, regions: [gwynedd]}
";

fn first() -> Declared {
    let file = NoteFile::parse(FIRST, "first.yaml").unwrap();
    file.check(&Declared::default()).unwrap();
    apply(&Declared::default(), &file.note).unwrap()
}

fn errors(text: &str) -> String {
    match NoteFile::parse(text, "note.yaml") {
        Ok(file) => file.check(&first()).unwrap_err().current_context().to_string(),
        Err(e) => e.current_context().to_string(),
    }
}

#[test]
fn syntax_errors_name_the_place_and_the_field() {
    insta::assert_snapshot!(errors("id: a\nbase: 1\nadd:\n  workspace: {}\n"), @"note.yaml:4:3: add.workspace is the unknown field `workspace`; allowed is workspaces, deployments, services, rules");
    insta::assert_snapshot!(errors("id: a\nadd: {}\n"), @"note.yaml:2:1: base is missing; allowed is required");
    insta::assert_snapshot!(errors("id: a\nbase: one\n"), @"note.yaml:2:7: base is `one`; allowed is a whole number");
    insta::assert_snapshot!(errors("id: a\nbase: 1\nadd:\n  rules:\n    r: {effect: maybe}\n"), @"note.yaml:5:17: add.rules.r.effect is `maybe`; allowed is only, never");
    insta::assert_snapshot!(errors("id: a\nbase: 1\nadd:\n  workspaces:\n    a: {}\n    a: {}\n"), @"note.yaml:6:5: note is the key `a` again; allowed is each key once");
    insta::assert_snapshot!(errors("id: a\nbase: 1\nadd:\n  workspaces:\n    a: {key_digests: [zz]}\n"), @"note.yaml:5:23: add.workspaces.a.key_digests.0 is `zz`; allowed is a digest is 64 hexadecimal digits");
    insta::assert_snapshot!(errors("id: [a\nbase: 1\n"), @"note.yaml:1:5: note is not readable; allowed is expected string scalar");
}

#[test]
fn check_finds_all_that_is_not_allowed() {
    let text = "\
id: Second
base: 0
add:
  workspaces:
    mill: {}
    quay:
      priority: 12
      limits: {requests_per_second: 0, open_streams: 0}
      cost: {link: -1}
  rules:
    empty: {}
    vague: {failure_domains: [gwynedd], workspaces: [nobody], models: [nothing]}
change:
  deployments:
    quotes: {weight_version: 2, oldest_weight_version: 5, max_tokens: 0}
  services:
    desk: {repeatable: true, timeout_ms: 0}
withdraw:
  workspaces: [mill, mill]
  services: [orders]
";
    insta::assert_snapshot!(errors(text), @r#"
note.yaml:1:1: id is `Second`; allowed is 1 to 63 of a-z, 0-9, `-`, `_` and `.`
note.yaml:2:1: base is 0; allowed is the head's version, 1
note.yaml:5:5: add.workspaces.mill is a name that the base has already; allowed is a new name, or the section `change`
note.yaml:7:7: add.workspaces.quay.priority is 12; allowed is 0 to 9
note.yaml:8:16: add.workspaces.quay.limits.requests_per_second is 0; allowed is a number above 0
note.yaml:8:40: add.workspaces.quay.limits.open_streams is 0; allowed is 1 or more
note.yaml:9:14: add.workspaces.quay.cost.link is -1; allowed is 0 or a number above 0
note.yaml:11:5: add.rules.empty is a rule that names no place; allowed is at least one region or failure domain
note.yaml:12:31: add.rules.vague.failure_domains.0 is `gwynedd`; allowed is region/domain
note.yaml:12:54: add.rules.vague.workspaces.0 is `nobody`, which no note declares; allowed is the name of a workspace
note.yaml:12:72: add.rules.vague.models.0 is `nothing`, which no note declares; allowed is the name of a deployment or service
note.yaml:15:14: change.deployments.quotes.weight_version is 2; allowed is 3 or more; a weight version never goes down
note.yaml:15:33: change.deployments.quotes.oldest_weight_version is 5; allowed is 1 to the weight version, 2
note.yaml:15:59: change.deployments.quotes.max_tokens is 0; allowed is 1 or more
note.yaml:17:5: change.services.desk is a name that the base does not have; allowed is the name of an entry of the base
note.yaml:17:30: change.services.desk.timeout_ms is 0; allowed is 1 or more
note.yaml:19:16: withdraw.workspaces.0 is a name that the note lists twice; allowed is each entry once
note.yaml:19:22: withdraw.workspaces.1 is a name that the note lists twice; allowed is each entry once
note.yaml:20:14: withdraw.services.0 is an entry that rules.local names; allowed is an entry that no other names
"#);
}

#[test]
fn a_key_belongs_to_one_workspace() {
    let digest = utils::digest(b"key");
    let text = format!(
        "id: b\nbase: 1\nadd:\n  workspaces:\n    a: {{key_digests: [{digest}]}}\n    b: {{key_digests: [{digest}]}}\n"
    );
    insta::assert_snapshot!(errors(&text), @r#"
note.yaml:5:23: add.workspaces.a.key_digests.0 is a key that is listed twice; allowed is each key once over all workspaces
note.yaml:6:23: add.workspaces.b.key_digests.0 is a key that is listed twice; allowed is each key once over all workspaces
"#);
}

#[test]
fn a_withdrawn_entry_may_not_be_named_any_more() {
    insta::assert_snapshot!(errors("id: b\nbase: 1\nwithdraw:\n  workspaces: [yard]\n"), @"note.yaml:4:16: withdraw.workspaces.0 is an entry that deployments.quotes names; allowed is an entry that no other names");
    let whole = "id: b\nbase: 1\nchange:\n  deployments:\n    quotes: {weight_version: 4, workspaces: [mill]}\nwithdraw:\n  workspaces: [yard]\n";
    NoteFile::parse(whole, "f").unwrap().check(&first()).unwrap();
}

#[test]
fn apply_leaves_the_base_and_diff_shows_the_change() {
    let before = first();
    let text = "id: b\nbase: 1\nadd:\n  workspaces: {quay: {}}\nchange:\n  deployments:\n    quotes: {weight_version: 4, oldest_weight_version: 3}\nwithdraw:\n  rules: [local]\n";
    let note = NoteFile::parse(text, "f").unwrap().note;
    let after = apply(&before, &note).unwrap();
    assert_eq!((before.version, after.version), (1, 2));
    assert_eq!(before, first());
    let lines: Vec<_> = diff(&before, &after).iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(lines.join("\n"), @r#"
+ workspaces.quay
    cost.first_token: 1.0
    cost.link: 0.01
    cost.recomputed: 0.01
    key_digests: []
    limits.open_streams: 1000
    limits.prompt_tokens_per_second: 200000.0
    limits.requests_per_second: 100.0
    priority: 0
~ deployments.quotes
    oldest_weight_version: 3
    weight_version: 3 -> 4
    workspaces: ["mill","yard"] -> []
- rules.local
"#);
}

#[test]
fn a_note_on_another_base_is_refused() {
    let note = NoteFile::parse("id: b\nbase: 7\n", "f").unwrap().note;
    let e = apply(&first(), &note).unwrap_err();
    assert_eq!(*e.current_context(), NoteError::WrongBase { found: 7, head: 1 });
}

#[test]
fn disjoint_notes_are_rebased_and_others_get_the_conflict() {
    let parse = |text| NoteFile::parse(text, "f").unwrap().note;
    let mine = parse("id: mine\nbase: 1\nchange:\n  workspaces: {mill: {priority: 1}}\n");
    let far = parse("id: far\nbase: 1\nchange:\n  workspaces: {yard: {priority: 1}}\n");
    let near = parse("id: near\nbase: 2\nwithdraw:\n  workspaces: [mill]\n");
    assert!(conflicting_entries(&mine, &far).is_empty());
    assert_eq!(rebase(&mine, [&far], 2).unwrap().base, 2);
    let e = rebase(&mine, [&far, &near], 3).unwrap_err();
    insta::assert_snapshot!(e.current_context().to_string(), @"the note clashes with near in: workspaces.mill");
}
