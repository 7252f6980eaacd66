//! Reads one TOML table and records every mistake in it.

use serde::de::DeserializeOwned;
use toml::{Table, Value};

use crate::Mistake;

/// Removes the known fields from a table one by one; fields that remain at the end are unknown.
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

    /// Reads a field that may be omitted; a value of the wrong type is recorded as a mistake.
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

    /// Reads a field that has a default, which also replaces a value of the wrong type.
    pub(crate) fn optional_or<T: DeserializeOwned>(&mut self, key: &str, default: T) -> T {
        self.optional(key).unwrap_or(default)
    }

    /// Reads a field that must be present.
    pub(crate) fn required<T: DeserializeOwned>(&mut self, key: &str) -> Option<T> {
        if !self.table.contains_key(key) {
            self.record_mistake(key, "is missing");
            return None;
        }
        self.optional(key)
    }

    /// Removes a field without checking it.
    pub(crate) fn skip(&mut self, key: &str) {
        self.table.remove(key);
    }

    /// Returns a reader of a subtable; an omitted subtable counts as empty.
    pub(crate) fn subtable(&mut self, key: &str) -> TableReader<'_> {
        let table = self.optional(key).unwrap_or_default();
        TableReader::new(self.path_of(key), table, self.mistakes)
    }

    /// Returns a reader of a subtable that was already removed from this table.
    pub(crate) fn reader_for(&mut self, key: &str, table: Table) -> TableReader<'_> {
        TableReader::new(self.path_of(key), table, self.mistakes)
    }

    /// Reads an array of tables; an element that isn't a table is recorded as a mistake.
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

    /// Records a mistake at a field unless it is valid.
    pub(crate) fn check(&mut self, valid: bool, key: &str, message: impl Into<String>) {
        if !valid {
            self.record_mistake(key, message);
        }
    }

    /// Records a mistake for each field that was not read.
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
