//! Operators' signatures (ed25519) and the nodes' seal (keyed BLAKE3).

use std::collections::BTreeMap;
use std::fmt;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use ed25519_dalek::Signature;
use ed25519_dalek::Signer;
use ed25519_dalek::SigningKey;
use ed25519_dalek::VerifyingKey;
use serde::Deserialize;
use serde::Serialize;

use crate::error::Error;
use crate::error::Result;
use crate::ids::OperatorName;

/// Bytes of a key of either kind.
pub const KEY_LEN: usize = 32;

/// An operator's secret key. Never printed.
pub struct OperatorKey(SigningKey);

impl OperatorKey {
    /// A new key.
    pub fn generate() -> Self {
        Self(SigningKey::from_bytes(&rand::random()))
    }

    /// Reads a key from the text that [`OperatorKey::to_text`] wrote.
    ///
    /// # Errors
    ///
    /// [`Error::Unreadable`] if it is not base64 of 32 bytes.
    pub fn from_text(text: &str) -> Result<Self> {
        decode_key(text).map(|bytes| Self(SigningKey::from_bytes(&bytes)))
    }

    /// The secret as base64, for a key file.
    pub fn to_text(&self) -> String {
        BASE64.encode(self.0.to_bytes())
    }

    /// The public half as base64, for the settings of the nodes.
    pub fn public(&self) -> PublicKey {
        PublicKey(BASE64.encode(self.0.verifying_key().to_bytes()))
    }

    /// Signs `content`.
    pub fn sign(&self, content: &[u8]) -> OperatorSignature {
        OperatorSignature {
            key: self.public(),
            signature: BASE64.encode(self.0.sign(content).to_bytes()),
        }
    }
}

impl fmt::Debug for OperatorKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("OperatorKey(..)")
    }
}

/// An operator's public key in base64.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PublicKey(pub String);

/// A signature and the key that made it, both in base64.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSignature {
    /// The signer's public key.
    pub key: PublicKey,
    /// The signature.
    pub signature: String,
}

fn decode_key(text: &str) -> Result<[u8; KEY_LEN]> {
    let unreadable = |why: String| Error::Unreadable { what: "a key".to_owned(), why };
    let bytes = BASE64.decode(text.trim()).map_err(|err| unreadable(err.to_string()))?;
    bytes.try_into().map_err(|_| unreadable("it is not 32 bytes long".to_owned()))
}

/// The operators whose signatures count.
#[derive(Debug, Clone, Default)]
pub struct TrustedOperators {
    keys: BTreeMap<PublicKey, OperatorName>,
}

impl TrustedOperators {
    /// Trusts `keys`, each under its operator's name.
    ///
    /// # Errors
    ///
    /// [`Error::Unreadable`] for a key that is none.
    pub fn new(keys: impl IntoIterator<Item = (OperatorName, PublicKey)>) -> Result<Self> {
        let mut trusted = Self::default();
        for (name, key) in keys {
            decode_key(&key.0)?;
            trusted.keys.insert(key, name);
        }
        Ok(trusted)
    }

    /// Who signed `content`.
    ///
    /// # Errors
    ///
    /// [`Error::UntrustedKey`] for a key that nobody here has,
    /// [`Error::BadSignature`] for a signature of something else.
    pub fn verify(&self, content: &[u8], sig: &OperatorSignature) -> Result<&OperatorName> {
        let untrusted = || Error::UntrustedKey { key: sig.key.0.clone() };
        let name = self.keys.get(&sig.key).ok_or_else(untrusted)?;
        let key =
            VerifyingKey::from_bytes(&decode_key(&sig.key.0)?).map_err(|_| Error::BadSignature)?;
        let bytes = BASE64.decode(&sig.signature).map_err(|_| Error::BadSignature)?;
        let signature = Signature::from_slice(&bytes).map_err(|_| Error::BadSignature)?;
        key.verify_strict(content, &signature).map_err(|_| Error::BadSignature)?;
        Ok(name)
    }
}

/// The secret that all nodes of one deployment share. Never printed.
#[derive(Clone)]
pub struct ClusterKey([u8; KEY_LEN]);

/// What a seal is made for, so that one kind never passes for another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SealPurpose {
    /// A record in the log.
    Record,
    /// A message between nodes.
    Peer,
    /// A request id given to a caller.
    RequestId,
    /// An idempotency key's digest.
    IdempotencyKey,
}

impl SealPurpose {
    const fn context(self) -> &'static str {
        match self {
            Self::Record => "workshold 2026 record",
            Self::Peer => "workshold 2026 peer message",
            Self::RequestId => "workshold 2026 request id",
            Self::IdempotencyKey => "workshold 2026 idempotency key",
        }
    }
}

impl ClusterKey {
    /// Reads the key from base64 of 32 bytes.
    ///
    /// # Errors
    ///
    /// [`Error::Unreadable`] if it is not that.
    pub fn from_text(text: &str) -> Result<Self> {
        decode_key(text).map(Self)
    }

    /// A new key as text, for the settings.
    pub fn generate_text() -> String {
        BASE64.encode(rand::random::<[u8; KEY_LEN]>())
    }

    /// The seal of `content` for `purpose`.
    pub fn seal(&self, purpose: SealPurpose, content: &[u8]) -> [u8; KEY_LEN] {
        let key = blake3::derive_key(purpose.context(), &self.0);
        *blake3::keyed_hash(&key, content).as_bytes()
    }

    /// Whether `seal` fits; takes the same time whatever differs.
    pub fn is_valid_seal(&self, purpose: SealPurpose, content: &[u8], seal: &[u8]) -> bool {
        let want = blake3::Hash::from(self.seal(purpose, content));
        <[u8; KEY_LEN]>::try_from(seal).is_ok_and(|seal| want == blake3::Hash::from(seal))
    }
}

impl fmt::Debug for ClusterKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ClusterKey(..)")
    }
}
