//! Checks of values that have already been read from their tables.

use std::collections::HashMap;

use crate::document::located_mistake::{LocatedMistake, Place, Step};
use crate::{KeyHash, Mistake, Organisation};

/// Maximum length of a name, in characters.
const MAX_NAME_LEN: usize = 64;

/// The rule for names, as the end of a message; the number is [`MAX_NAME_LEN`].
pub(crate) const NAME_RULE: &str = "must be 1 to 64 letters, digits, hyphens, underscores \
    or dots, and start with a letter or digit";

/// Returns whether a name is valid, so that it can be used in paths, logs and metrics.
pub(crate) fn is_name(name: &str) -> bool {
    let valid_length = (1..=MAX_NAME_LEN).contains(&name.len());
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    let valid_start = name
        .bytes()
        .next()
        .is_some_and(|byte| byte.is_ascii_alphanumeric());
    valid_length && valid_start && name.bytes().all(allowed)
}

/// Records a mistake for each repeated key, in the same organisation or in another one.
pub(crate) fn check_keys(organisations: &[Organisation], mistakes: &mut Vec<LocatedMistake>) {
    let mut owners: HashMap<KeyHash, &str> = HashMap::new();
    for organisation in organisations {
        for (index, key) in organisation.keys.iter().enumerate() {
            let other = owners.insert(*key, &organisation.name);
            let name = &organisation.name;
            mistakes.extend(other.map(|other| LocatedMistake {
                mistake: Mistake {
                    path: format!("organisations.{name}.keys[{index}]"),
                    message: format!("is also a key of \"{other}\""),
                },
                place: Place::Value(vec![
                    Step::Field("organisations".to_owned()),
                    Step::Named(name.clone()),
                    Step::Field("keys".to_owned()),
                    Step::Element(index),
                ]),
            }));
        }
    }
}
