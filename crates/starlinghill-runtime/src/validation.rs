//! Reads values from settings and configuration documents. Each error names the key, the value found and what is
//! allowed, and all errors of a document are collected at once.

use simd_json::prelude::*;
use simd_json::OwnedValue;
use starlinghill_config_model::routing::parse_duration;
use std::time::Duration;

/// Maximum number of errors that are reported for one document.
const MAX_REPORTED_ERRORS: usize = 32;
/// Maximum length of a found value in an error message, in bytes.
const MAX_FOUND_BYTES: usize = 60;

/// An invalid or missing value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ValidationError {
    /// The path, as `table.key`.
    pub key: String,
    /// The value found, as JSON, shortened where it is long.
    pub found: String,
    /// What is allowed.
    pub allowed: &'static str,
}

impl std::fmt::Display for ValidationError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: found {}, allowed: {}", self.key, self.found, self.allowed)
    }
}

/// Collects the errors of a document.
#[derive(Debug, Default)]
pub struct ValidationErrors {
    errors: Vec<ValidationError>,
}

impl ValidationErrors {
    /// Adds an error. Errors beyond `MAX_REPORTED_ERRORS` are dropped.
    pub fn add(&mut self, key: impl Into<String>, found: Option<&OwnedValue>, allowed: &'static str) {
        let mut found = found.map_or_else(|| "nothing".into(), |v| v.encode());
        if found.len() > MAX_FOUND_BYTES {
            let end = (0..=MAX_FOUND_BYTES).rev().find(|i| found.is_char_boundary(*i)).unwrap_or(0);
            found.truncate(end);
            found.push_str("...");
        }
        if self.errors.len() < MAX_REPORTED_ERRORS {
            self.errors.push(ValidationError { key: key.into(), found, allowed });
        }
    }

    /// Returns `value` if there were no errors.
    pub fn into_result<T>(self, value: T) -> Result<T, Vec<ValidationError>> {
        match self.errors.is_empty() {
            true => Ok(value),
            false => Err(self.errors),
        }
    }
}

/// A value in a document, together with its path.
#[derive(Clone)]
pub struct DocumentValue<'a> {
    /// The value, if there is one.
    pub value: Option<&'a OwnedValue>,
    /// Its path, for error messages.
    pub path: String,
}

impl<'a> DocumentValue<'a> {
    /// The root of a document.
    pub fn root(value: &'a OwnedValue) -> DocumentValue<'a> {
        DocumentValue { value: Some(value), path: String::new() }
    }

    /// The value under a key.
    pub fn at(&self, key: &str) -> DocumentValue<'a> {
        let path = if self.path.is_empty() { key.to_string() } else { format!("{}.{key}", self.path) };
        DocumentValue { value: self.value.and_then(|v| v.get(key)), path }
    }

    /// There is a value other than null.
    pub fn exists(&self) -> bool {
        self.value.is_some_and(|v| !v.is_null())
    }

    /// The elements of a list. A missing value is an empty list; any other type is an error.
    pub fn list(&self, errors: &mut ValidationErrors) -> Vec<DocumentValue<'a>> {
        match self.value.map(|v| v.as_array()) {
            None => Vec::new(),
            Some(Some(list)) => list
                .iter()
                .enumerate()
                .map(|(i, v)| DocumentValue { value: Some(v), path: format!("{}[{i}]", self.path) })
                .collect(),
            Some(None) => {
                errors.add(&self.path, self.value, "a list");
                Vec::new()
            }
        }
    }

    fn required<T: Default>(
        &self,
        errors: &mut ValidationErrors,
        found: Option<T>,
        allowed: &'static str,
    ) -> T {
        if found.is_none() {
            errors.add(&self.path, self.value, allowed);
        }
        found.unwrap_or_default()
    }

    /// A non-empty string.
    pub fn text(&self, errors: &mut ValidationErrors) -> String {
        let found = self.value.and_then(|v| v.as_str()).filter(|v| !v.is_empty()).map(str::to_string);
        self.required(errors, found, "a text that is not empty")
    }

    /// A whole number of 0 or more.
    pub fn count(&self, errors: &mut ValidationErrors) -> u64 {
        let found = self.value.and_then(|v| v.as_u64());
        self.required(errors, found, "a whole number of 0 or more")
    }

    /// A finite number of 0 or more.
    pub fn number(&self, errors: &mut ValidationErrors) -> f64 {
        let found = self.value.and_then(|v| v.cast_f64()).filter(|v| v.is_finite() && *v >= 0.0);
        self.required(errors, found, "a number of 0 or more")
    }

    /// A boolean; false if the value is missing.
    pub fn flag(&self, errors: &mut ValidationErrors) -> bool {
        match self.value {
            None => false,
            Some(v) => self.required(errors, v.as_bool(), "true or false"),
        }
    }

    /// A duration, as in `1500ms` or `2.5s`.
    pub fn time(&self, errors: &mut ValidationErrors) -> Duration {
        let found = self.value.and_then(|v| v.as_str()).and_then(parse_duration);
        self.required(errors, found, "a time such as \"1500ms\" or \"2.5s\"")
    }

    /// An IP address with a port.
    pub fn address(&self, errors: &mut ValidationErrors) -> Option<std::net::SocketAddr> {
        let found = self.value.and_then(|v| v.as_str()).and_then(|v| v.parse().ok());
        if found.is_none() {
            errors.add(&self.path, self.value, "an IP address with a port");
        }
        found
    }
}
