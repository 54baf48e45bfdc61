//! Texts in which a build is named.

use mangofront_build_info::{Build, Commit};

fn text(commit: Commit) -> String {
    let build = Build {
        version: "1.2.3",
        commit,
        target: "aarch64-unknown-linux-gnu",
    };
    build.to_string()
}

/// Guards against programs that can't be told apart by what they say of their sources.
#[test]
fn sources_are_exact_modified_or_unknown() {
    let texts = [
        Commit::Exact("0123abc"),
        Commit::Modified("0123abc"),
        Commit::Unknown,
    ]
    .map(text);
    insta::assert_snapshot!(texts.join("\n"));
}

#[test]
fn this_build_names_its_target() {
    let target = Build::current().target;
    assert!(target.starts_with(std::env::consts::ARCH), "{target}");
}
