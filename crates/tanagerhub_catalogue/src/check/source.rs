//! The positions of a document's values.

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use crate::document::Step;
use crate::{Finding, FindingReason, Position, Severity};

/// A document's text with the positions of its values.
#[derive(Debug)]
pub(super) struct Source<'a> {
    text: &'a str,
    root: Spanned<DeTable<'a>>,
    syntax_errors: Vec<toml::de::Error>,
    /// The offsets at which lines start, in bytes.
    line_starts: Vec<usize>,
}

/// The value to which steps lead, or the last one on the way that exists.
struct Location {
    offset: Option<usize>,
    exists: bool,
}

impl<'a> Source<'a> {
    pub(super) fn new(text: &'a str) -> Self {
        let (root, syntax_errors) = DeTable::parse_recoverable(text);
        let ends = text.match_indices('\n');
        let line_starts = std::iter::once(0).chain(ends.map(|(end, _)| end + 1));
        Self {
            text,
            root,
            syntax_errors,
            line_starts: line_starts.collect(),
        }
    }

    /// Returns the offset and message of each syntax error.
    pub(super) fn syntax_errors(&self) -> impl Iterator<Item = (Option<usize>, String)> {
        self.syntax_errors.iter().map(|error| {
            let offset = error.span().map(|span| span.start);
            (offset, error.message().to_owned())
        })
    }

    /// Returns the position of an offset in bytes.
    pub(super) fn position_of(&self, offset: usize) -> Position {
        let line = self.line_starts.partition_point(|start| *start <= offset);
        let start = self.line_starts[line - 1];
        let before = self.text.get(start..offset).unwrap_or_default();
        Position {
            line,
            column: before.chars().count() + 1,
        }
    }

    /// Returns the position of a value, or of the closest value around it that is written.
    pub(super) fn position(&self, steps: &[Step]) -> Option<Position> {
        let offset = self.locate(steps).offset?;
        Some(self.position_of(offset))
    }

    /// Returns whether the document contains a value.
    pub(super) fn contains(&self, steps: &[Step]) -> bool {
        self.locate(steps).exists
    }

    /// Returns section and name of the item that contains a value.
    pub(super) fn item(&self, steps: &[Step]) -> Option<String> {
        let [Step::Field(section), item, ..] = steps else {
            return None;
        };
        match item {
            Step::Named(name) => Some(format!("{section}.{name}")),
            Step::Element(index) => {
                let items = self.root.get_ref().get(section.as_str())?;
                let name = items.get_ref().as_array()?.get(*index).and_then(name_of);
                let unnamed = || format!("{section}[{index}]");
                Some(name.map_or_else(unnamed, |name| format!("{section}.{name}")))
            }
            Step::Field(_) => None,
        }
    }

    fn locate(&self, steps: &[Step]) -> Location {
        let mut table = Some(self.root.get_ref());
        let mut array = None;
        let mut offset = None;
        for step in steps {
            let found = match step {
                Step::Field(name) => table
                    .and_then(|table| table.get_key_value(name.as_str()))
                    // A header starts before its key, any other value after it.
                    .map(|(key, value)| (key.span().start.min(value.span().start), value)),
                Step::Element(index) => array
                    .and_then(|array: &toml::de::DeArray<'_>| array.get(*index))
                    .map(|value| (value.span().start, value)),
                Step::Named(name) => array
                    .and_then(|array| {
                        let mut items = array.iter();
                        items.find(|item| name_of(item) == Some(name.as_str()))
                    })
                    .map(|value| (value.span().start, value)),
            };
            let Some((start, value)) = found else {
                return Location {
                    offset,
                    exists: false,
                };
            };
            offset = Some(start);
            table = value.get_ref().as_table();
            array = value.get_ref().as_array();
        }
        Location {
            offset,
            exists: true,
        }
    }
}

fn name_of<'a>(item: &'a Spanned<DeValue<'_>>) -> Option<&'a str> {
    let name = item.get_ref().as_table()?.get("name")?;
    name.get_ref().as_str()
}

/// An item of a valid document, by its section, index and name.
#[derive(Debug, Clone, Copy)]
pub(super) struct Item<'a> {
    pub(super) section: &'static str,
    pub(super) index: usize,
    pub(super) name: &'a str,
}

impl Item<'_> {
    /// Returns the steps from the root to a field of the item; to the item if `field` is empty.
    pub(super) fn steps(&self, field: &str) -> Vec<Step> {
        let mut steps = vec![
            Step::Field(self.section.to_owned()),
            Step::Element(self.index),
        ];
        if !field.is_empty() {
            steps.extend(Step::of_field(field));
        }
        steps
    }
}

/// Collects the warnings about a valid document.
#[derive(Debug)]
pub(super) struct Collector<'a> {
    source: &'a Source<'a>,
    findings: Vec<Finding>,
}

impl<'a> Collector<'a> {
    pub(super) const fn new(source: &'a Source<'a>) -> Self {
        Self {
            source,
            findings: Vec::new(),
        }
    }

    /// Records a warning about a field of an item.
    pub(super) fn warn(&mut self, item: Item<'_>, field: &str, reason: FindingReason) {
        let entry = format!("{}.{}", item.section, item.name);
        self.findings.push(Finding {
            severity: Severity::Warning,
            position: self.source.position(&item.steps(field)),
            path: format!("{entry}.{field}"),
            entry: Some(entry),
            reason,
        });
    }

    /// Records a warning about an item that the document doesn't contain, or about a whole section.
    pub(super) fn warn_section(
        &mut self,
        section: &str,
        name: Option<&str>,
        reason: FindingReason,
    ) {
        let entry = name.map(|name| format!("{section}.{name}"));
        self.findings.push(Finding {
            severity: Severity::Warning,
            position: self.source.position(&[Step::Field(section.to_owned())]),
            path: entry.clone().unwrap_or_else(|| section.to_owned()),
            entry,
            reason,
        });
    }

    /// Returns whether the document contains a field, so that its value isn't a default.
    pub(super) fn is_written(&self, item: Item<'_>, field: &str) -> bool {
        self.source.contains(&item.steps(field))
    }

    pub(super) fn into_findings(self) -> Vec<Finding> {
        self.findings
    }
}
