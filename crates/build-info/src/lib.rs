//! What a program was built from.
//!
//! A log, a metric or a report names the [`Build`] of its process, so that it can be matched with
//! the code. The commit is known only if the program was built in a checkout by a machine that has
//! `git`; a tree that was unpacked without its history builds too, and its programs say so.

use std::fmt;

/// What a program was built from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Build {
    /// Version of the workspace.
    pub version: &'static str,
    /// Commit of the sources.
    pub commit: Commit,
    /// Target triple of the compiler.
    pub target: &'static str,
}

/// Commit of the sources of a build.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Commit {
    /// The sources are those of this commit.
    Exact(&'static str),
    /// Tracked files differed from those of this commit.
    Modified(&'static str),
    /// The build had no access to the history of its sources.
    Unknown,
}

impl Build {
    /// The build of this program.
    #[must_use]
    pub fn current() -> Self {
        Self {
            version: env!("CARGO_PKG_VERSION"),
            commit: Commit::from_parts(
                option_env!("VERGEN_GIT_SHA"),
                option_env!("VERGEN_GIT_DIRTY"),
            ),
            target: env!("VERGEN_CARGO_TARGET_TRIPLE"),
        }
    }
}

impl Commit {
    fn from_parts(id: Option<&'static str>, is_modified: Option<&'static str>) -> Self {
        match (id, is_modified) {
            (Some(id), Some("false")) => Self::Exact(id),
            (Some(id), _) => Self::Modified(id),
            (None, _) => Self::Unknown,
        }
    }

    /// Identifier of the commit, in hexadecimal; empty if it is unknown.
    #[must_use]
    pub fn id(self) -> &'static str {
        match self {
            Self::Exact(id) | Self::Modified(id) => id,
            Self::Unknown => "",
        }
    }

    /// Stable name of how the sources relate to the commit.
    #[must_use]
    pub fn state(self) -> &'static str {
        match self {
            Self::Exact(_) => "exact",
            Self::Modified(_) => "modified",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Commit {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Exact(id) => write!(formatter, "commit {id}"),
            Self::Modified(id) => write!(formatter, "commit {id} with changes"),
            Self::Unknown => formatter.write_str("commit unknown"),
        }
    }
}

impl fmt::Display for Build {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            version,
            commit,
            target,
        } = self;
        write!(formatter, "{version} ({commit}, {target})")
    }
}
