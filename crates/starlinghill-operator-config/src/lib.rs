//! The operators' file: what an installation adds to what the platform says. Everything in it is off by default.
//!
//! Errors are one line each and name the file, the line, the key, what was found and what is allowed. All that
//! can be found wrong at once is told at once.

mod check;
mod control;
mod group;
mod problem;

pub use control::{Control, Limits, Proxy, Quotas, Tls};
pub use group::{Group, GroupMember};
pub use problem::Problem;

use serde::Deserialize;
use std::path::{Path, PathBuf};

/// The whole file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Operators {
    /// The control service, where there is one.
    pub control: Option<Control>,
    /// The group that decides in common, where there is one.
    pub group: Option<Group>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct Document {
    control: Option<toml::Spanned<control::Raw>>,
    group: Option<toml::Spanned<group::Raw>>,
}

/// Reads the file.
pub fn read(path: &Path) -> Result<Operators, Vec<Problem>> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| {
        vec![Problem { file: name.clone(), line: 0, key: String::new(), what: e.to_string() }]
    })?;
    parse(&name, &text, path.parent().unwrap_or(Path::new("")))
}

/// Reads a file's text. Paths in it are relative to `folder`.
pub fn parse(name: &str, text: &str, folder: &Path) -> Result<Operators, Vec<Problem>> {
    let source = problem::Source { file: name, text };
    let document: Document = toml::from_str(text).map_err(|e| vec![source.syntax(&e)])?;
    let mut problems = Vec::new();
    let control = document.control.and_then(|raw| control::check(raw, &source, folder, &mut problems));
    let group = document.group.and_then(|raw| group::check(raw, &source, folder, &mut problems));
    match problems.is_empty() {
        true => Ok(Operators { control, group }),
        false => Err(problems),
    }
}

fn below(folder: &Path, path: &Path) -> PathBuf {
    folder.join(path)
}
