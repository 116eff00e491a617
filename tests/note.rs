//! Runs the `note` commands of the binary against a stand-in of the platform.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::Arc;

use http_io::Executor;
use standins::{Platform, PlatformConfig, Running};

/// A stand-in of the platform that runs on its own thread, with a directory for note files.
struct TestPlatform {
    stand_in: Running<Platform>,
    stop: async_channel::Sender<()>,
    thread: std::thread::JoinHandle<()>,
    dir: tempfile::TempDir,
}

/// Exit code, standard output and standard error of a command.
struct CommandOutput {
    code: i32,
    out: String,
    err: String,
}

impl TestPlatform {
    fn start() -> Self {
        let ex: Executor = Arc::new(smol::Executor::new());
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let thread = std::thread::spawn({
            let ex = ex.clone();
            move || {
                let _ = smol::block_on(ex.run(stopped.recv()));
            }
        });
        let addr: SocketAddr = ([127, 0, 0, 1], 0).into();
        Self {
            stand_in: Platform::start(&ex, addr, PlatformConfig::default()).unwrap(),
            stop,
            thread,
            dir: tempfile::tempdir().unwrap(),
        }
    }

    fn file(&self, name: &str, text: &str) -> PathBuf {
        let path = self.dir.path().join(name);
        std::fs::write(&path, text).unwrap();
        path
    }

    /// Runs a `note` command with the address of the platform.
    fn note(&self, args: &[&str]) -> CommandOutput {
        let addr = self.stand_in.addr().to_string();
        run(&[args, &["--platform", &addr]].concat())
    }

    fn stop(self) {
        smol::block_on(self.stand_in.stop());
        drop(self.stop);
        self.thread.join().unwrap();
    }
}

fn run(args: &[&str]) -> CommandOutput {
    let mut command = Command::new(env!("CARGO_BIN_EXE_laburnumtally"));
    let output = command.arg("note").args(args).output().unwrap();
    CommandOutput {
        code: output.status.code().unwrap(),
        out: String::from_utf8(output.stdout).unwrap(),
        err: String::from_utf8(output.stderr).unwrap(),
    }
}

fn path_str(path: &Path) -> &str {
    path.to_str().unwrap()
}

#[test]
fn notes_are_accepted_listed_and_rebased() {
    let platform = TestPlatform::start();
    let mill = platform.file(
        "mill.yaml",
        "id: mill\nbase: 0\nsummary: Open\nadd:\n  workspaces: {mill: {}}\n",
    );
    let late = platform.file(
        "late.yaml",
        "# Later.\nid: late\nbase: 0 # old\nadd:\n  workspaces: {yard: {}}\n",
    );
    let clash = platform.file(
        "clash.yaml",
        "id: clash\nbase: 0\nadd:\n  workspaces: {mill: {}}\n",
    );
    let missing = platform.note(&["accept", path_str(&mill), "--wait", "0"]);
    assert_eq!(missing.code, 2);
    insta::assert_snapshot!(missing.err, @"error: the platform holds no release notes yet");
    assert_eq!(platform.note(&["init", "--freshness-ms", "50"]).code, 0);

    let accepted = platform.note(&["accept", path_str(&mill)]);
    assert_eq!(accepted.code, 0);
    insta::assert_snapshot!(accepted.out, @"in force: version 1 (change 2)");
    let refused = platform.note(&["accept", path_str(&clash)]);
    assert_eq!(refused.code, 2);
    insta::assert_snapshot!(refused.err, @"error: the note clashes with mill in: workspaces.mill");
    assert_eq!(platform.note(&["rebase", path_str(&clash)]).code, 2);

    let rebased = platform.note(&["rebase", path_str(&late)]);
    insta::assert_snapshot!(rebased.out, @"late: base 0 -> 1");
    let rewritten = std::fs::read_to_string(&late).unwrap();
    assert!(rewritten.starts_with("# Later.\nid: late\nbase: 1 # old\n"));
    assert_eq!(platform.note(&["accept", path_str(&late)]).code, 0);
    insta::assert_snapshot!(platform.note(&["log"]).out, @r#"
1  mill  1 entries  Open
2  late  1 entries
"#);
    insta::assert_snapshot!(platform.note(&["status"]).out, @"in force: version 2 (change 3)");
    platform.stop();
}

#[test]
fn a_note_that_no_region_confirms_stays_staged() {
    let platform = TestPlatform::start();
    let store = platform.stand_in.state().table();
    let members = ["a", "b", "c"].map(|name| (name.into(), 1));
    let roster = notes::RegionRoster {
        serving: 2,
        members: members.into(),
    };
    let terms = notes::Terms {
        freshness_ms: 50,
        regions: [("gwynedd".into(), roster)].into(),
        ..notes::Terms::default()
    };
    assert_eq!(platform.note(&["init", "--freshness-ms", "50"]).code, 0);
    let row = metadata::Write::Put {
        key: "notes/terms/00000000000000000001".to_owned(),
        value: serde_json::to_value(&terms).unwrap(),
    };
    store.apply(&metadata::Transaction {
        conditions: Vec::new(),
        writes: vec![row],
    });
    let mill = platform.file("mill.yaml", "id: mill\nbase: 0\nadd:\n  workspaces: {mill: {}}\n");
    let waiting = platform.note(&["accept", path_str(&mill), "--wait", "1"]);
    assert_eq!(waiting.code, 3);
    insta::assert_snapshot!(waiting.out, @r#"
  region gwynedd: 0 of 2 needed
    not confirmed by: a, b, c
mill is staged and not accepted
"#);
    insta::assert_snapshot!(waiting.err, @"error: not confirmed yet: gwynedd (a, b, c)");
    insta::assert_snapshot!(platform.note(&["status"]).out, @r#"
in force: version 0 (change 1)
staged: mill (change 2)
  region gwynedd: 0 of 2 needed
    not confirmed by: a, b, c
"#);
    insta::assert_snapshot!(platform.note(&["abandon"]).out, @"in force: version 0 (change 1)");
    platform.stop();
}

#[test]
fn errors_name_file_line_and_field() {
    let platform = TestPlatform::start();
    let wrong = platform.file(
        "wrong.yaml",
        "id: wrong\nbase: 0\nadd:\n  workspaces:\n    mill: {priority: 12}\n",
    );
    let checked = run(&["check", path_str(&wrong), "--format", "json"]);
    assert_eq!(checked.code, 2);
    insta::assert_snapshot!(checked.out, @r#"
{
  "findings": [
    {
      "allowed": "0 to 9",
      "field": "add.workspaces.mill.priority",
      "found": "12",
      "place": {
        "column": 12,
        "line": 5
      }
    }
  ],
  "ok": false
}
"#);
    platform.stop();
}

#[test]
fn the_examples_can_be_accepted_in_order() {
    for deployment in ["permisos-verdes", "cadwaladr"] {
        let dir = Path::new(env!("CARGO_MANIFEST_DIR"))
            .join("examples")
            .join(deployment)
            .join("notes");
        let mut files: Vec<_> = std::fs::read_dir(dir)
            .unwrap()
            .map(|entry| entry.unwrap().path())
            .collect();
        files.sort();
        let mut args = vec!["check".to_owned(), path_str(files.last().unwrap()).to_owned()];
        for earlier in &files[..files.len() - 1] {
            args.extend(["--after".to_owned(), path_str(earlier).to_owned()]);
        }
        let args: Vec<_> = args.iter().map(String::as_str).collect();
        let checked = run(&args);
        assert_eq!((checked.code, checked.err.as_str()), (0, ""));
    }
}

#[test]
fn a_key_matches_its_digest() {
    let output = run(&["key", "--format", "json"]);
    let output: serde_json::Value = serde_json::from_str(&output.out).unwrap();
    let key = output["key"].as_str().unwrap();
    assert_eq!(output["digest"], utils::digest(key.as_bytes()).to_string());
}
