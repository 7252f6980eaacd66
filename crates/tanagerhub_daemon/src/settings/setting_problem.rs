//! Settings that can't be used.

use std::fmt;

/// A setting that can't be used.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SettingProblem {
    /// A setting that must be given is not.
    #[error("--{flag} is not set, nor is {variable}: must be {allowed}")]
    Missing {
        /// The flag, without hyphens.
        flag: &'static str,
        /// Its environment variable.
        variable: String,
        /// What is allowed.
        allowed: &'static str,
    },
    /// A value that is not allowed.
    #[error("{source_name} is \"{value}\": must be {allowed}")]
    Invalid {
        /// The flag or the environment variable.
        source_name: String,
        /// The value; a secret's isn't shown.
        value: String,
        /// What is allowed.
        allowed: &'static str,
    },
}

/// All settings that can't be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidSettings {
    /// One for each setting.
    pub problems: Vec<SettingProblem>,
}

impl std::error::Error for InvalidSettings {}

impl fmt::Display for InvalidSettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<_> = self.problems.iter().map(ToString::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}
