//! Reads settings from flags and environment variables.

use crate::settings::SettingProblem;

/// Reads settings one by one, and collects the problems.
pub(crate) struct SettingsReader<'a> {
    variables: &'a dyn Fn(&str) -> Option<String>,
    problems: Vec<SettingProblem>,
}

/// A value and the flag or variable that it comes from.
struct ProvidedValue {
    source: String,
    value: String,
}

impl<'a> SettingsReader<'a> {
    pub(crate) const fn new(variables: &'a dyn Fn(&str) -> Option<String>) -> Self {
        Self {
            variables,
            problems: Vec::new(),
        }
    }

    /// Reads a required setting; `None` if it is missing or invalid.
    pub(crate) fn required<T>(
        &mut self,
        flag: &'static str,
        value: Option<String>,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        match self.lookup(flag, value) {
            Some(provided) => self.parse(flag, provided, parse),
            None => self.report_missing(flag),
        }
    }

    /// Reads an optional setting; `None` if it is missing or invalid.
    pub(crate) fn optional<T>(
        &mut self,
        flag: &'static str,
        value: Option<String>,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        let provided = self.lookup(flag, value)?;
        self.parse(flag, provided, parse)
    }

    /// Reads a required secret; its value never appears in a problem.
    pub(crate) fn secret<T>(
        &mut self,
        flag: &'static str,
        value: Option<String>,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        let Some(provided) = self.lookup(flag, value) else {
            return self.report_missing(flag);
        };
        let parsed = parse(&provided.value);
        if parsed.is_none() {
            self.problems.push(SettingProblem::Invalid {
                source_name: provided.source,
                value: format!("({} bytes, not shown)", provided.value.len()),
                allowed: allowed_values(flag),
            });
        }
        parsed
    }

    /// Returns the problems found.
    pub(crate) fn into_problems(self) -> Vec<SettingProblem> {
        self.problems
    }

    fn lookup(&self, flag: &str, value: Option<String>) -> Option<ProvidedValue> {
        let from_flag = value.map(|value| ProvidedValue {
            source: format!("--{flag}"),
            value,
        });
        from_flag.or_else(|| {
            let source = variable_name(flag);
            let value = (self.variables)(&source).filter(|value| !value.is_empty())?;
            Some(ProvidedValue { source, value })
        })
    }

    fn parse<T>(
        &mut self,
        flag: &'static str,
        provided: ProvidedValue,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        let parsed = parse(&provided.value);
        if parsed.is_none() {
            self.problems.push(SettingProblem::Invalid {
                source_name: provided.source,
                value: provided.value,
                allowed: allowed_values(flag),
            });
        }
        parsed
    }

    fn report_missing<T>(&mut self, flag: &'static str) -> Option<T> {
        self.problems.push(SettingProblem::Missing {
            flag,
            variable: variable_name(flag),
            allowed: allowed_values(flag),
        });
        None
    }
}

/// Returns the name of a flag's environment variable.
fn variable_name(flag: &str) -> String {
    let name = flag.replace('-', "_").to_ascii_uppercase();
    format!("TANAGERHUB_{name}")
}

/// Describes the allowed values of a setting.
const fn allowed_values(flag: &'static str) -> &'static str {
    match flag.as_bytes() {
        b"callers" | b"operators" => "an IP address and a port, such as 0.0.0.0:8080",
        b"peers" | b"platform" | b"statsd" => {
            "an IP address and a port that others reach, such as 10.0.0.5:7070"
        }
        b"seeds" => "IP addresses and ports with commas between, such as 10.0.0.5:7070",
        b"region" | b"data-centre" => "1 to 64 letters, digits, hyphens, underscores or dots",
        b"peer-key" | b"operator-token" => "at least 16 bytes",
        b"drain-grace-ms" | b"drain-limit-ms" => "milliseconds from 0 to 3600000",
        b"connections" => "a number from 1 to 100000",
        b"threads" => "a number from 1 to 64",
        b"body-limit" => "a number of bytes from 1024 to 67108864",
        b"random-seed" => "a number from 0 to 18446744073709551615",
        _ => "a text",
    }
}
