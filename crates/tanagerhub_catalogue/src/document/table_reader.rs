//! Reads one table and remembers every mistake in it.

use serde::de::DeserializeOwned;
use toml::{Table, Value};

use crate::Mistake;

/// Takes fields out of a table; what is left at the end is unknown.
#[derive(Debug)]
pub(crate) struct TableReader<'a> {
    path: String,
    table: Table,
    mistakes: &'a mut Vec<Mistake>,
}

impl<'a> TableReader<'a> {
    pub(crate) const fn new(path: String, table: Table, mistakes: &'a mut Vec<Mistake>) -> Self {
        Self {
            path,
            table,
            mistakes,
        }
    }

    /// A field that may be left out.
    pub(crate) fn optional<T: DeserializeOwned>(&mut self, key: &str) -> Option<T> {
        let value = self.table.remove(key)?;
        match value.try_into() {
            Ok(value) => Some(value),
            Err(error) => {
                let error: toml::de::Error = error;
                self.record_mistake(key, error.message());
                None
            }
        }
    }

    /// A field with a default.
    pub(crate) fn optional_or<T: DeserializeOwned>(&mut self, key: &str, default: T) -> T {
        self.optional(key).unwrap_or(default)
    }

    /// A field that must be there.
    pub(crate) fn required<T: DeserializeOwned>(&mut self, key: &str) -> Option<T> {
        if !self.table.contains_key(key) {
            self.record_mistake(key, "is missing");
            return None;
        }
        self.optional(key)
    }

    /// A field that isn't judged.
    pub(crate) fn skip(&mut self, key: &str) {
        self.table.remove(key);
    }

    /// A table below this one; empty when it is left out.
    pub(crate) fn subtable(&mut self, key: &str) -> TableReader<'_> {
        let table = self.optional(key).unwrap_or_default();
        TableReader::new(self.path_of(key), table, self.mistakes)
    }

    /// A table that was taken out of this one before.
    pub(crate) fn reader_for(&mut self, key: &str, table: Table) -> TableReader<'_> {
        TableReader::new(self.path_of(key), table, self.mistakes)
    }

    /// The tables of an array; those that aren't tables are mistakes.
    pub(crate) fn tables(&mut self, key: &str) -> Vec<Table> {
        let values: Vec<Value> = self.optional_or(key, Vec::new());
        let mut tables = Vec::with_capacity(values.len());
        for (index, value) in values.into_iter().enumerate() {
            match value {
                Value::Table(table) => tables.push(table),
                other => {
                    let message = format!("must be a table, not {}", other.type_str());
                    self.record_mistake(&format!("{key}[{index}]"), message);
                }
            }
        }
        tables
    }

    /// Records a mistake at a field.
    pub(crate) fn record_mistake(&mut self, key: &str, message: impl Into<String>) {
        let mistake = Mistake {
            path: self.path_of(key),
            message: message.into(),
        };
        self.mistakes.push(mistake);
    }

    /// Records a mistake at a field unless it is as it must be.
    pub(crate) fn check(&mut self, valid: bool, key: &str, message: impl Into<String>) {
        if !valid {
            self.record_mistake(key, message);
        }
    }

    /// Records each field that nothing asked for.
    pub(crate) fn finish(self) {
        for key in self.table.keys() {
            let path = join_path(&self.path, key);
            let message = "is not a known field".to_owned();
            self.mistakes.push(Mistake { path, message });
        }
    }

    fn path_of(&self, key: &str) -> String {
        join_path(&self.path, key)
    }
}

fn join_path(path: &str, key: &str) -> String {
    if path.is_empty() {
        key.to_owned()
    } else {
        format!("{path}.{key}")
    }
}
