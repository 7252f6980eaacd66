//! Catalogue documents, and the table row that names the newest one.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_with::hex::Hex;
use serde_with::serde_as;
use sha2::{Digest, Sha256};
use tanagerhub_catalogue::{Catalogue, CatalogueVersion};
use tanagerhub_table::{Row, RowKey};

use crate::MembershipError;

/// The key of the table row that holds the newest [`CatalogueHead`].
pub const HEAD_KEY: &str = "catalogue/head";

/// The SHA-256 hash of a document's bytes, serialised as hexadecimal text.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ContentHash(#[serde_as(as = "Hex")] pub [u8; 32]);

impl ContentHash {
    /// Hashes `content`.
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

/// A catalogue version and the hash of its document.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct CatalogueHead {
    /// The catalogue version; zero before the first catalogue.
    pub version: CatalogueVersion,
    /// The hash under which the object store holds the document.
    pub hash: ContentHash,
}

impl CatalogueHead {
    /// Returns the key of the head's row, [`HEAD_KEY`].
    #[must_use]
    pub fn key() -> RowKey {
        RowKey::new(HEAD_KEY)
    }

    /// Encodes the content of the head's row as JSON.
    ///
    /// # Panics
    ///
    /// Never panics: JSON can represent every value of a head.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a head is plain data")
    }

    /// Decodes the content of the head's row.
    ///
    /// # Errors
    ///
    /// Returns an error that names the row if its content is malformed.
    pub fn decode(row: &Row) -> Result<Self, MembershipError> {
        serde_json::from_slice(&row.value).map_err(|error| MembershipError::Row {
            key: row.key.clone(),
            reason: error.to_string(),
        })
    }
}

/// A catalogue together with its encoded bytes and their hash.
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
    /// Encodes `catalogue` as JSON and hashes the bytes.
    ///
    /// # Panics
    ///
    /// Never panics: JSON can represent every value of a catalogue.
    #[must_use]
    pub fn of(catalogue: Catalogue) -> Self {
        let body = serde_json::to_vec(&catalogue).expect("a catalogue is plain data");
        Self {
            catalogue: Arc::new(catalogue),
            hash: ContentHash::of(&body),
            body: body.into(),
        }
    }

    /// Decodes the bytes of a stored document.
    ///
    /// # Errors
    ///
    /// Returns an error that names the document if its bytes are not a catalogue.
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

    /// Returns the decoded catalogue.
    #[must_use]
    pub const fn catalogue(&self) -> &Arc<Catalogue> {
        &self.catalogue
    }

    /// Returns the bytes that are stored under the hash.
    #[must_use]
    pub const fn body(&self) -> &Arc<[u8]> {
        &self.body
    }

    /// Returns the catalogue's version and the document's hash.
    #[must_use]
    pub fn head(&self) -> CatalogueHead {
        CatalogueHead {
            version: self.catalogue.version,
            hash: self.hash,
        }
    }
}
