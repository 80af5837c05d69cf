//! Operators' signatures (Ed25519) and the nodes' seals.
//!
//! A seal is a message authentication code (MAC): keyed BLAKE3 with a key derived from the secret
//! that all nodes of a deployment share. It authenticates content and doesn't encrypt it.

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

/// Length of a signing key, of the cluster key and of a seal, in bytes.
pub const KEY_LEN: usize = 32;

/// An operator's secret signing key. Its `Debug` output omits the key.
pub struct OperatorKey(SigningKey);

impl OperatorKey {
    /// Generates a random key.
    pub fn generate() -> Self {
        Self(SigningKey::from_bytes(&rand::random()))
    }

    /// Parses the text that [`OperatorKey::to_text`] returns.
    ///
    /// # Errors
    ///
    /// [`Error::Unreadable`] if it is not base64 of 32 bytes.
    pub fn from_text(text: &str) -> Result<Self> {
        decode_key(text).map(|bytes| Self(SigningKey::from_bytes(&bytes)))
    }

    /// Encodes the secret key as base64, for a key file.
    pub fn to_text(&self) -> String {
        BASE64.encode(self.0.to_bytes())
    }

    /// Returns the public key, for the nodes' settings.
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

/// A signature and the public key that verifies it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSignature {
    /// The signer's public key.
    pub key: PublicKey,
    /// The signature, in base64.
    pub signature: String,
}

fn decode_key(text: &str) -> Result<[u8; KEY_LEN]> {
    let unreadable = |why: String| Error::Unreadable { what: "a key".to_owned(), why };
    let bytes = BASE64.decode(text.trim()).map_err(|err| unreadable(err.to_string()))?;
    bytes.try_into().map_err(|_| unreadable("it is not 32 bytes long".to_owned()))
}

/// The operators whose signatures the nodes accept, by public key.
#[derive(Debug, Clone, Default)]
pub struct TrustedOperators {
    keys: BTreeMap<PublicKey, OperatorName>,
}

impl TrustedOperators {
    /// Trusts `keys`, each as the key of the operator beside it.
    ///
    /// # Errors
    ///
    /// [`Error::Unreadable`] if a key is not base64 of 32 bytes.
    pub fn new(keys: impl IntoIterator<Item = (OperatorName, PublicKey)>) -> Result<Self> {
        let mut trusted = Self::default();
        for (name, key) in keys {
            decode_key(&key.0)?;
            trusted.keys.insert(key, name);
        }
        Ok(trusted)
    }

    /// Verifies that `sig` is a trusted operator's signature of `content` and returns the operator.
    ///
    /// # Errors
    ///
    /// [`Error::UntrustedKey`] if the key is not a trusted one, [`Error::BadSignature`] if the
    /// signature is malformed or of other content.
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

/// The secret that all nodes of one deployment share. Its `Debug` output omits the key.
#[derive(Clone)]
pub struct ClusterKey([u8; KEY_LEN]);

/// What a seal is made for. Each purpose has its own derived key, so that a seal made for one is
/// invalid for another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SealPurpose {
    /// A record in the log.
    Record,
    /// A message between nodes.
    Peer,
    /// The request id that a caller gets.
    RequestId,
    /// The digest of an idempotency key.
    IdempotencyKey,
}

impl SealPurpose {
    /// Context string of the key derivation, unique to the purpose.
    const fn key_derivation_context(self) -> &'static str {
        match self {
            Self::Record => "workshold 2026 record",
            Self::Peer => "workshold 2026 peer message",
            Self::RequestId => "workshold 2026 request id",
            Self::IdempotencyKey => "workshold 2026 idempotency key",
        }
    }
}

impl ClusterKey {
    /// Parses the key from base64.
    ///
    /// # Errors
    ///
    /// [`Error::Unreadable`] if it is not base64 of 32 bytes.
    pub fn from_text(text: &str) -> Result<Self> {
        decode_key(text).map(Self)
    }

    /// Generates a random key and returns it as base64, for the settings.
    pub fn generate_text() -> String {
        BASE64.encode(rand::random::<[u8; KEY_LEN]>())
    }

    /// Computes the seal of `content` for `purpose`.
    pub fn seal(&self, purpose: SealPurpose, content: &[u8]) -> [u8; KEY_LEN] {
        let key = blake3::derive_key(purpose.key_derivation_context(), &self.0);
        *blake3::keyed_hash(&key, content).as_bytes()
    }

    /// Whether `seal` is the seal of `content` for `purpose`. Compares in constant time, so that
    /// the duration doesn't reveal how much of a forged seal is right.
    pub fn is_valid_seal(&self, purpose: SealPurpose, content: &[u8], seal: &[u8]) -> bool {
        let expected = blake3::Hash::from(self.seal(purpose, content));
        <[u8; KEY_LEN]>::try_from(seal).is_ok_and(|seal| expected == blake3::Hash::from(seal))
    }
}

impl fmt::Debug for ClusterKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ClusterKey(..)")
    }
}
