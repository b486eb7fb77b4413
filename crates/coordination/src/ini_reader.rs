//! Reads checked values from an INI file.
//!
//! All faults of a file are collected, so that an operator mends them in one go, and unknown keys are refused, since a
//! misspelt key would otherwise be ignored in silence.

use std::collections::BTreeSet;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

use derive_more::{Display, Error};
use ini::Ini;

/// One fault of a settings file.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("[{section}] {key}: {problem}")]
pub struct InvalidSetting {
    section: Box<str>,
    key: Box<str>,
    problem: Box<str>,
}

/// The settings are not valid.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    File {
        /// The file.
        path: PathBuf,
        /// Why not.
        source: io::Error,
    },
    /// The file is not an INI file.
    Syntax {
        /// What is wrong.
        source: ini::ParseError,
    },
    /// Values are missing, wrong or unknown.
    Invalid(#[error(not(source))] Vec<InvalidSetting>),
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::File { path, source } => write!(f, "cannot read {}: {source}", path.display()),
            Self::Syntax { source } => write!(f, "not an INI file: {source}"),
            Self::Invalid(faults) => {
                write!(f, "{} fault(s)", faults.len())?;
                for fault in faults {
                    write!(f, "\n  {fault}")?;
                }
                Ok(())
            }
        }
    }
}

/// Reader of one file.
#[derive(Debug)]
pub struct IniReader<'a> {
    ini: &'a Ini,
    known: BTreeSet<(&'static str, &'static str)>,
    free_form_sections: BTreeSet<&'static str>,
    faults: Vec<InvalidSetting>,
}

impl<'a> IniReader<'a> {
    /// A reader that has read nothing yet.
    pub fn new(ini: &'a Ini) -> Self {
        Self { ini, known: BTreeSet::new(), free_form_sections: BTreeSet::new(), faults: Vec::new() }
    }

    /// `value` if it was read and the file has no fault; all faults otherwise.
    ///
    /// # Errors
    ///
    /// [`SettingsError::Invalid`] with every fault.
    pub fn finish<T>(mut self, value: Option<T>) -> Result<T, SettingsError> {
        self.reject_unknown_and_repeated();
        match value {
            Some(value) if self.faults.is_empty() => Ok(value),
            _ => Err(SettingsError::Invalid(self.faults)),
        }
    }

    /// Whether a key is in the file.
    pub fn contains_key(&self, section: &str, key: &str) -> bool {
        self.ini.get_from(Some(section), key).is_some()
    }

    /// The keys and values of a section whose keys are chosen by the operator.
    pub fn free_form_section(&mut self, section: &'static str) -> Vec<(&'a str, &'a str)> {
        self.free_form_sections.insert(section);
        self.ini.section(Some(section)).map(|p| p.iter().collect()).unwrap_or_default()
    }

    /// The text of a key, which is known from then on.
    pub fn raw_value(&mut self, section: &'static str, key: &'static str) -> Option<&'a str> {
        self.known.insert((section, key));
        self.ini.get_from(Some(section), key)
    }

    /// Notes a fault.
    pub fn add_error(&mut self, section: &str, key: &str, problem: impl ToString) {
        let problem = problem.to_string().into();
        self.faults.push(InvalidSetting { section: section.into(), key: key.into(), problem });
    }

    /// The value of a key; `None` if it is missing or, with a fault, if it is wrong.
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

    /// The value of a key; `None`, with a fault, if it is missing or wrong.
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

    /// A value of the form `http://<address>:<port>`.
    pub fn url(&mut self, section: &'static str, key: &'static str) -> Option<Box<str>> {
        let text = self.required::<String>(section, key)?;
        let host = text.strip_prefix("http://").map(|rest| rest.split('/').next().unwrap_or(""));
        if host.is_none_or(|host| host.parse::<SocketAddr>().is_err()) {
            self.add_error(section, key, format!("{text:?}: use http://<address>:<port>"));
            return None;
        }
        Some(text.into())
    }

    /// Refuses unknown keys, and what would be ignored because only the first section of a name and the first key of a
    /// name are read.
    fn reject_unknown_and_repeated(&mut self) {
        let ini = self.ini;
        let mut sections = BTreeSet::new();
        for (section, properties) in ini.iter() {
            let section = section.unwrap_or("");
            let is_first = sections.insert(section);
            let mut keys = BTreeSet::new();
            for (key, _) in properties.iter() {
                if !self.free_form_sections.contains(section)
                    && !self.known.iter().any(|(s, k)| *s == section && *k == key)
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
