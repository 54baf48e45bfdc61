//! Tests of the documented build, on a small workspace with the same layout.

use std::fs;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::time::{Duration, SystemTime};

/// Folders that a program is built from, as far as they need no file.
const EMPTY_FOLDERS: [&str; 3] = [".cargo", "crates", "platform"];

/// A workspace whose program prints what its sources say.
struct Workspace(PathBuf);

impl Workspace {
    fn new(name: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("build-{name}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&folder);
        for path in ["src/bin", "scripts"] {
            fs::create_dir_all(folder.join(path)).expect("a folder");
        }
        for path in EMPTY_FOLDERS {
            fs::create_dir_all(folder.join(path)).expect("a folder");
        }
        let script = Path::new(env!("CARGO_MANIFEST_DIR")).join("scripts/build");
        if script.exists() {
            fs::copy(script, folder.join("scripts/build")).expect("the script is copied");
        }
        let package = "[workspace]\n[package]\nname = \"mangofront\"\nversion = \"0.1.0\"\n";
        fs::write(
            folder.join("Cargo.toml"),
            format!("{package}edition = \"2024\"\n"),
        )
        .expect("the manifest is written");
        let lock = "version = 4\n\n[[package]]\nname = \"mangofront\"\nversion = \"0.1.0\"\n";
        fs::write(folder.join("Cargo.lock"), lock).expect("the lock file is written");
        fs::write(
            folder.join("src/bin/mangofrontd.rs"),
            "fn main() { println!(\"{}\", mangofront::TEXT); }\n",
        )
        .expect("the program is written");
        let workspace = Self(folder);
        workspace.write_library("pub const TEXT: &str = \"first\";");
        workspace
    }

    /// Replaces the library by one that is dated before any build.
    fn write_library(&self, text: &str) {
        let path = self.0.join("src/lib.rs");
        fs::write(&path, text).expect("the library is written");
        let dated = SystemTime::now() - Duration::from_secs(24 * 3600);
        let file = fs::File::options().write(true).open(path).expect("opened");
        file.set_modified(dated).expect("the date is set");
    }

    /// Runs the build that the deploy file names.
    fn build(&self) -> Output {
        self.build_with(&[])
    }

    fn build_with(&self, variables: &[(&str, &Path)]) -> Output {
        let mut command = Command::new("sh");
        command
            .args(["-c", &documented_build()])
            .current_dir(&self.0)
            .env_remove("CARGO_TARGET_DIR");
        for (name, value) in variables {
            command.env(name, value);
        }
        command.output().expect("a shell runs")
    }

    fn builds(&self) {
        let output = self.build();
        let errors = String::from_utf8_lossy(&output.stderr);
        assert!(output.status.success(), "the build failed: {errors}");
    }

    /// Identifies the file of the program.
    fn program_file(&self) -> u64 {
        let program = fs::metadata(self.0.join("target/release/mangofrontd"));
        program.expect("there is a program").ino()
    }

    /// Output of the program that a deployment would run, if there is one.
    fn program_text(&self) -> Option<String> {
        let program = self.0.join("target/release/mangofrontd");
        let output = Command::new(program).output().ok()?;
        let text = String::from_utf8(output.stdout).expect("text");
        Some(text.trim().to_owned())
    }
}

impl Drop for Workspace {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn documented_build() -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("deploy/system.toml");
    let text = fs::read_to_string(path).expect("the deploy file is read");
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix("build = \""));
    let command = line.and_then(|line| line.strip_suffix('"'));
    command.expect("the deploy file names a build").to_owned()
}

/// Guards against sources that are dated before an earlier build and taken for built.
#[test]
fn a_build_over_artifacts_of_older_sources_runs_the_new_ones() {
    let workspace = Workspace::new("dates");
    workspace.builds();
    assert_eq!(workspace.program_text().as_deref(), Some("first"));
    workspace.write_library("pub const TEXT: &str = \"second\";");
    workspace.builds();
    assert_eq!(workspace.program_text().as_deref(), Some("second"));
}

/// Guards against a build that takes the program away from those who start it meanwhile.
#[test]
fn a_build_of_the_same_sources_leaves_the_program_in_its_place() {
    let workspace = Workspace::new("same");
    workspace.builds();
    let before = workspace.program_file();
    workspace.builds();
    assert_eq!(workspace.program_file(), before);
}

/// Guards against a build that fails and leaves the program of an earlier one in its place.
#[test]
fn a_failed_build_leaves_no_program() {
    let workspace = Workspace::new("failed");
    workspace.builds();
    workspace.write_library("pub const TEXT: &str = 2;");
    assert!(!workspace.build().status.success());
    assert_eq!(workspace.program_text(), None);
}

/// Guards against artifacts of a build that broke off and are taken for those of other sources.
#[test]
fn a_build_after_one_that_broke_off_runs_its_own_sources() {
    let workspace = Workspace::new("broke-off");
    workspace.builds();
    workspace.write_library("pub const TEXT: &str = \"second\"; pub const BROKEN: u8 = \"\";");
    assert!(!workspace.build().status.success());
    workspace.write_library("pub const TEXT: &str = \"third\";");
    workspace.builds();
    assert_eq!(workspace.program_text().as_deref(), Some("third"));
}

/// Guards against a program in another folder while that of an earlier build stays in its place.
#[test]
fn a_build_ends_in_its_place_whatever_folder_the_environment_names() {
    let workspace = Workspace::new("elsewhere");
    workspace.builds();
    workspace.write_library("pub const TEXT: &str = \"second\";");
    let elsewhere = workspace.0.join("elsewhere");
    let output = workspace.build_with(&[("CARGO_TARGET_DIR", &elsewhere)]);
    assert!(output.status.success());
    assert_eq!(workspace.program_text().as_deref(), Some("second"));
}
