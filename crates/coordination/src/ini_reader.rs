//! Typed and validated access to an INI file.
//!
//! All errors of a file are collected, so that an operator can correct them at once. Unknown keys are rejected, since a
//! misspelt key would otherwise be ignored silently.

use std::collections::BTreeSet;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

use derive_more::{Display, Error};
use ini::Ini;

/// An invalid, missing or unknown setting, with its section and key.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("[{section}] {key}: {problem}")]
pub struct InvalidSetting {
    section: Box<str>,
    key: Box<str>,
    problem: Box<str>,
}

/// Error reading a settings file.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    File {
        /// Path of the settings file.
        path: PathBuf,
        /// Error of the file system.
        source: io::Error,
    },
    /// The file is not an INI file.
    Syntax {
        /// Position and description of the syntax error.
        source: ini::ParseError,
    },
    /// Settings are missing, invalid or unknown.
    Invalid(#[error(not(source))] Vec<InvalidSetting>),
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::File { path, source } => write!(f, "cannot read {}: {source}", path.display()),
            Self::Syntax { source } => write!(f, "not an INI file: {source}"),
            Self::Invalid(errors) => {
                write!(f, "{} invalid setting(s)", errors.len())?;
                for error in errors {
                    write!(f, "\n  {error}")?;
                }
                Ok(())
            }
        }
    }
}

/// Reads the settings of one file and collects the errors.
#[derive(Debug)]
pub struct IniReader<'a> {
    ini: &'a Ini,
    known_keys: BTreeSet<(&'static str, &'static str)>,
    free_form_sections: BTreeSet<&'static str>,
    errors: Vec<InvalidSetting>,
}

impl<'a> IniReader<'a> {
    /// Creates a reader of `ini`.
    pub fn new(ini: &'a Ini) -> Self {
        Self { ini, known_keys: BTreeSet::new(), free_form_sections: BTreeSet::new(), errors: Vec::new() }
    }

    /// Rejects unknown and repeated keys, then returns `value` if it is present and no error was found.
    ///
    /// # Errors
    ///
    /// [`SettingsError::Invalid`] with all errors of the file.
    pub fn finish<T>(mut self, value: Option<T>) -> Result<T, SettingsError> {
        self.reject_unknown_and_repeated();
        match value {
            Some(value) if self.errors.is_empty() => Ok(value),
            _ => Err(SettingsError::Invalid(self.errors)),
        }
    }

    /// Returns whether the file contains a key.
    pub fn contains_key(&self, section: &str, key: &str) -> bool {
        self.ini.get_from(Some(section), key).is_some()
    }

    /// Returns all keys and values of a section whose keys the operator chooses. None of them is rejected as unknown.
    pub fn free_form_section(&mut self, section: &'static str) -> Vec<(&'a str, &'a str)> {
        self.free_form_sections.insert(section);
        self.ini.section(Some(section)).map(|p| p.iter().collect()).unwrap_or_default()
    }

    /// Returns the text of a key, `None` if it is missing, and registers the key as known.
    pub fn raw_value(&mut self, section: &'static str, key: &'static str) -> Option<&'a str> {
        self.known_keys.insert((section, key));
        self.ini.get_from(Some(section), key)
    }

    /// Records an error, so that [`finish`](Self::finish) fails.
    pub fn add_error(&mut self, section: &str, key: &str, problem: impl ToString) {
        let problem = problem.to_string().into();
        self.errors.push(InvalidSetting { section: section.into(), key: key.into(), problem });
    }

    /// Parses the value of a key. Returns `None` if it is missing, and also, with a recorded error, if it is invalid.
    pub fn optional<T: FromStr<Err: ToString>>(
        &mut self,
        section: &'static str,
        key: &'static str,
    ) -> Option<T> {
        let text = self.raw_value(section, key)?;
        match text.parse() {
            Ok(value) => Some(value),
            Err(e) => {
                self.add_error(section, key, format!("{text:?}: {}", e.to_string()));
                None
            }
        }
    }

    /// Parses the value of a key. Returns `None` with a recorded error if it is missing or invalid.
    pub fn required<T: FromStr<Err: ToString>>(
        &mut self,
        section: &'static str,
        key: &'static str,
    ) -> Option<T> {
        if self.raw_value(section, key).is_none() {
            self.add_error(section, key, "is missing");
            return None;
        }
        self.optional(section, key)
    }

    /// Reads a required URL of the form `http://<IP address>:<port>`, optionally with a path.
    pub fn url(&mut self, section: &'static str, key: &'static str) -> Option<Box<str>> {
        let text = self.required::<String>(section, key)?;
        let host = text.strip_prefix("http://").map(|rest| rest.split('/').next().unwrap_or(""));
        if host.is_none_or(|host| host.parse::<SocketAddr>().is_err()) {
            self.add_error(section, key, format!("{text:?}: use http://<address>:<port>"));
            return None;
        }
        Some(text.into())
    }

    /// Rejects unknown keys, and repeated sections and keys, of which only the first would be read.
    fn reject_unknown_and_repeated(&mut self) {
        let ini = self.ini;
        let mut sections = BTreeSet::new();
        for (section, properties) in ini.iter() {
            let section = section.unwrap_or("");
            let is_first = sections.insert(section);
            let mut keys = BTreeSet::new();
            for (key, _) in properties.iter() {
                if !self.free_form_sections.contains(section)
                    && !self.known_keys.iter().any(|(s, k)| *s == section && *k == key)
                {
                    self.add_error(section, key, "is not known");
                } else if !is_first {
                    self.add_error(section, key, "is in a second section of the same name");
                } else if !keys.insert(key) {
                    self.add_error(section, key, "is given more than once");
                }
            }
        }
    }
}
