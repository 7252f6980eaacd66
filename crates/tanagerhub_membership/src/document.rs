//! Catalogue documents and the row that names the newest.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_with::hex::Hex;
use serde_with::serde_as;
use sha2::{Digest, Sha256};
use tanagerhub_catalogue::{Catalogue, CatalogueVersion};
use tanagerhub_table::{Row, RowKey};

use crate::MembershipError;

/// The name of the row that names the newest catalogue.
pub const HEAD_KEY: &str = "catalogue/head";

/// The SHA-256 hash of a document's bytes.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ContentHash(#[serde_as(as = "Hex")] pub [u8; 32]);

impl ContentHash {
    /// The hash of these bytes.
    #[must_use]
    pub fn of(content: &[u8]) -> Self {
        Self(Sha256::digest(content).into())
    }
}

impl fmt::Display for ContentHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// A catalogue version with the hash of its document.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct CatalogueHead {
    /// The version; zero before the first catalogue.
    pub version: CatalogueVersion,
    /// The document's hash.
    pub hash: ContentHash,
}

impl CatalogueHead {
    /// The name of the head's row.
    #[must_use]
    pub fn key() -> RowKey {
        RowKey::new(HEAD_KEY)
    }

    /// The content of the head's row.
    ///
    /// # Panics
    ///
    /// Never: a head has no value that JSON can't hold.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a head is plain data")
    }

    /// Reads the head's row.
    ///
    /// # Errors
    ///
    /// Returns an error that names the row when its content is malformed.
    pub fn decode(row: &Row) -> Result<Self, MembershipError> {
        serde_json::from_slice(&row.value).map_err(|error| MembershipError::Row {
            key: row.key.clone(),
            reason: error.to_string(),
        })
    }
}

/// A catalogue with the bytes that are stored under its hash.
///
/// # Examples
///
/// ```
/// use tanagerhub_catalogue::Catalogue;
/// use tanagerhub_membership::Document;
///
/// let document = Document::of(Catalogue::default());
/// let copy = Document::decode(document.body().clone())?;
/// assert_eq!(copy.head(), document.head());
/// # Ok::<(), tanagerhub_membership::MembershipError>(())
/// ```
#[derive(Debug, Clone)]
pub struct Document {
    catalogue: Arc<Catalogue>,
    body: Arc<[u8]>,
    hash: ContentHash,
}

impl Document {
    /// Encodes a catalogue.
    ///
    /// # Panics
    ///
    /// Never: a catalogue has no value that JSON can't hold.
    #[must_use]
    pub fn of(catalogue: Catalogue) -> Self {
        let body = serde_json::to_vec(&catalogue).expect("a catalogue is plain data");
        Self {
            catalogue: Arc::new(catalogue),
            hash: ContentHash::of(&body),
            body: body.into(),
        }
    }

    /// Reads a stored document.
    ///
    /// # Errors
    ///
    /// Returns an error that names the document when it is not a catalogue.
    pub fn decode(body: Arc<[u8]>) -> Result<Self, MembershipError> {
        let hash = ContentHash::of(&body);
        let catalogue =
            serde_json::from_slice(&body).map_err(|error| MembershipError::Document {
                hash,
                reason: error.to_string(),
            })?;
        Ok(Self {
            catalogue: Arc::new(catalogue),
            body,
            hash,
        })
    }

    /// The catalogue.
    #[must_use]
    pub const fn catalogue(&self) -> &Arc<Catalogue> {
        &self.catalogue
    }

    /// The stored bytes.
    #[must_use]
    pub const fn body(&self) -> &Arc<[u8]> {
        &self.body
    }

    /// The version and hash.
    #[must_use]
    pub fn head(&self) -> CatalogueHead {
        CatalogueHead {
            version: self.catalogue.version,
            hash: self.hash,
        }
    }
}
