//! Reads one TOML table and records every mistake in it.

use serde::de::DeserializeOwned;
use toml::{Table, Value};

use crate::Mistake;
use crate::document::located_mistake::{LocatedMistake, Place, Step};

/// Removes the known fields from a table one by one; fields that remain at the end are unknown.
#[derive(Debug)]
pub(crate) struct TableReader<'a> {
    path: String,
    steps: Vec<Step>,
    table: Table,
    mistakes: &'a mut Vec<LocatedMistake>,
}

impl<'a> TableReader<'a> {
    /// Creates a reader of the table with this path, to which `steps` lead from the root.
    pub(crate) const fn new(
        path: String,
        steps: Vec<Step>,
        table: Table,
        mistakes: &'a mut Vec<LocatedMistake>,
    ) -> Self {
        Self {
            path,
            steps,
            table,
            mistakes,
        }
    }

    /// Reads a field that may be omitted; a value of the wrong type is recorded as a mistake.
    pub(crate) fn optional<T: DeserializeOwned>(&mut self, key: &str) -> Option<T> {
        let value = self.table.remove(key)?;
        self.convert(key, value)
    }

    /// Converts a field's value, or records that it has the wrong type.
    fn convert<T: DeserializeOwned>(&mut self, key: &str, value: Value) -> Option<T> {
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
        let table = match self.table.remove(key) {
            Some(Value::Table(table)) => table,
            Some(other) => self.convert(key, other).unwrap_or_default(),
            None => Table::new(),
        };
        self.reader_for(key, table)
    }

    /// Returns a reader of a subtable that was already removed from this table.
    pub(crate) fn reader_for(&mut self, key: &str, table: Table) -> TableReader<'_> {
        let path = join_path(&self.path, key);
        TableReader::new(path, self.steps_to(key), table, self.mistakes)
    }

    /// Reads an array of tables; an element that isn't a table is recorded as a mistake.
    pub(crate) fn tables(&mut self, key: &str) -> Vec<Table> {
        let values: Vec<Value> = match self.table.remove(key) {
            Some(Value::Array(values)) => values,
            Some(other) => self.convert(key, other).unwrap_or_default(),
            None => Vec::new(),
        };
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
            path: join_path(&self.path, key),
            message: message.into(),
        };
        let place = Place::Value(self.steps_to(key));
        self.mistakes.push(LocatedMistake { mistake, place });
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
            let mistake = Mistake { path, message };
            let mut steps = self.steps.clone();
            steps.push(Step::Field(key.clone()));
            let place = Place::Value(steps);
            self.mistakes.push(LocatedMistake { mistake, place });
        }
    }

    fn steps_to(&self, key: &str) -> Vec<Step> {
        let steps = self.steps.iter().cloned();
        steps.chain(Step::of_field(key)).collect()
    }
}

fn join_path(path: &str, key: &str) -> String {
    if path.is_empty() {
        key.to_owned()
    } else {
        format!("{path}.{key}")
    }
}
