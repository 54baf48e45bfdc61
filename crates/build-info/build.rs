//! Passes the commit and the target of the build to the compiler.

use std::error::Error;
use std::path::{Path, PathBuf};

use vergen_gitcl::{Cargo, Emitter, Gitcl};

/// Paths of the workspace that a program is built from.
const SOURCES: [&str; 6] = [
    "Cargo.toml",
    "Cargo.lock",
    ".cargo",
    "src",
    "crates",
    "platform",
];

fn main() -> Result<(), Box<dyn Error>> {
    let root = workspace_root()?;
    // Whether the tree differs from its commit changes with any source file.
    for path in SOURCES {
        println!("cargo:rerun-if-changed={}", root.join(path).display());
    }
    // Absent in an unpacked tree, where git could find the repository of a folder above.
    if root.join(".git").exists()
        && let Err(cause) = emit_commit()
    {
        println!("cargo:warning=the commit of this build is not known: {cause}");
    }
    let target = Cargo::builder().target_triple(true).build();
    Ok(Emitter::default().add_instructions(&target)?.emit()?)
}

fn workspace_root() -> Result<PathBuf, Box<dyn Error>> {
    let package = std::env::var("CARGO_MANIFEST_DIR")?;
    let root = Path::new(&package).ancestors().nth(2);
    Ok(root.ok_or("the package has no workspace")?.to_path_buf())
}

fn emit_commit() -> Result<(), Box<dyn Error>> {
    let commit = Gitcl::builder().sha(true).dirty(false).build();
    let mut emitter = Emitter::default();
    emitter.fail_on_error().add_instructions(&commit)?;
    Ok(emitter.emit()?)
}
