//! The errors of invalid settings.

use std::fmt;

/// An invalid setting.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SettingProblem {
    /// A required setting is missing.
    #[error("--{flag} is not set, nor is {variable}: must be {allowed}")]
    Missing {
        /// The flag, without hyphens.
        flag: &'static str,
        /// The environment variable of the flag.
        variable: String,
        /// A description of the allowed values.
        allowed: &'static str,
    },
    /// A value is not allowed.
    #[error("{source_name} is \"{value}\": must be {allowed}")]
    Invalid {
        /// The flag or environment variable that the value comes from.
        source_name: String,
        /// The value; that of a secret is replaced by its length.
        value: String,
        /// A description of the allowed values.
        allowed: &'static str,
    },
}

/// All invalid settings; displayed one per line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidSettings {
    /// One problem per invalid setting.
    pub problems: Vec<SettingProblem>,
}

impl std::error::Error for InvalidSettings {}

impl fmt::Display for InvalidSettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<_> = self.problems.iter().map(ToString::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}
