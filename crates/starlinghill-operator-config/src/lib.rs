//! The operators' file: the settings of an installation beyond those of the platform. Each section is optional and its
//! feature is off without it.
//!
//! Each error is one line with the file, the line, the key, the expected value and the value found. All errors that can
//! be found in one pass are reported together.

mod check;
mod control;
mod group;
mod problem;

pub use control::{Control, Limits, Proxy, Quotas, Tls};
pub use group::{Group, GroupMember};
pub use problem::Problem;

use serde::Deserialize;
use std::path::{Path, PathBuf};

/// The parsed operators' file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OperatorConfig {
    /// The section `[control]`, if present.
    pub control: Option<Control>,
    /// The section `[group]`, if present.
    pub group: Option<Group>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct Document {
    control: Option<toml::Spanned<control::Raw>>,
    group: Option<toml::Spanned<group::Raw>>,
}

/// Reads and validates the operators' file. Paths in it are relative to its folder.
pub fn read(path: &Path) -> Result<OperatorConfig, Vec<Problem>> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| {
        vec![Problem { file: name.clone(), line: 0, key: String::new(), message: e.to_string() }]
    })?;
    parse(&name, &text, path.parent().unwrap_or(Path::new("")))
}

/// Validates the text of an operators' file. `name` is the file's name in errors; paths in the text are relative to
/// `folder`.
pub fn parse(name: &str, text: &str, folder: &Path) -> Result<OperatorConfig, Vec<Problem>> {
    let source = problem::Source { file: name, text };
    let document: Document = toml::from_str(text).map_err(|e| vec![source.syntax_problem(&e)])?;
    let mut problems = Vec::new();
    let control = document.control.and_then(|raw| control::check(raw, &source, folder, &mut problems));
    let group = document.group.and_then(|raw| group::check(raw, &source, folder, &mut problems));
    match problems.is_empty() {
        true => Ok(OperatorConfig { control, group }),
        false => Err(problems),
    }
}

fn resolve_path(folder: &Path, path: &Path) -> PathBuf {
    folder.join(path)
}
