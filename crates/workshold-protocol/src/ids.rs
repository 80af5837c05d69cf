//! Identifiers: names, numbers and digests. Names are validated when they are constructed or
//! deserialised.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::error::Error;
use crate::error::Result;

/// Maximum length of a name, in bytes.
pub const MAX_NAME_LEN: usize = 64;

fn check_name(kind: &'static str, text: &str) -> Result<SmolStr> {
    let ok = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '-' | '_');
    if text.is_empty() || text.len() > MAX_NAME_LEN || !text.chars().all(ok) {
        return Err(Error::BadName { kind, text: text.chars().take(MAX_NAME_LEN).collect() });
    }
    Ok(SmolStr::new(text))
}

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident = $kind:literal;)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(SmolStr);

        impl $name {
            /// Validates `text` as a name.
            ///
            /// # Errors
            ///
            /// [`Error::BadName`] unless it consists of 1 to [`MAX_NAME_LEN`] ASCII letters,
            /// digits, dots, dashes or underscores.
            pub fn new(text: &str) -> Result<Self> {
                check_name($kind, text).map(Self)
            }

            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                self.0.as_str()
            }
        }

        impl TryFrom<String> for $name {
            type Error = Error;

            fn try_from(text: String) -> Result<Self> {
                Self::new(&text)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.into()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    )*};
}

names! {
    /// A machine that runs a model engine or a plain (non-model) service.
    InstanceId = "instance";
    /// An entry node: a process of this project that callers connect to.
    NodeId = "node";
    /// A data centre.
    DataCentre = "data centre";
    /// A fabric domain: instances that share a fast network. A group never spans two of them.
    FabricDomain = "fabric domain";
    /// A replica group: the instances that together serve one copy of a model.
    GroupId = "group";
    /// A model.
    ModelName = "model";
    /// A version of a model's weights.
    Version = "version";
    /// An adapter of a model.
    AdapterName = "adapter";
    /// A role: one of the sizes that a group of a model can have.
    RoleName = "role";
    /// A customer's team.
    TeamName = "team";
    /// A plain service: upstream instances without a model, such as a web API.
    ServiceName = "service";
    /// An operator: a person who may sign bundles.
    OperatorName = "operator";
}

macro_rules! numbers {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
        #[derive(Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }
    )*};
}

numbers! {
    /// Offset of a record in the platform's log; the first record has 0.
    Offset;
    /// A fencing token: the log offset of the record that formed a group or that an order carries
    /// out. An instance that checks tokens rejects an order whose token is lower than one it has
    /// seen.
    FencingToken;
    /// Incarnation of an instance or node: an id that changes each time its process starts.
    Incarnation;
}

impl Offset {
    /// Returns the offset after this one.
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl From<Offset> for FencingToken {
    fn from(offset: Offset) -> Self {
        Self(offset.0)
    }
}

macro_rules! digests {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(pub [u8; DIGEST_LEN]);

        impl $name {
            /// Computes the digest of `bytes`: BLAKE3, cut to [`DIGEST_LEN`] bytes.
            pub fn of(bytes: &[u8]) -> Self {
                let mut out = [0; DIGEST_LEN];
                out.copy_from_slice(&blake3::hash(bytes).as_bytes()[..DIGEST_LEN]);
                Self(out)
            }

            /// Returns the first hexadecimal digits, enough to tell two digests apart in output.
            pub fn short(&self) -> String {
                self.to_string()[..SHORT_DIGEST_LEN].to_owned()
            }
        }

        impl TryFrom<String> for $name {
            type Error = Error;

            fn try_from(text: String) -> Result<Self> {
                parse_digest(&text).map(Self)
            }
        }

        impl From<$name> for String {
            fn from(digest: $name) -> Self {
                digest.to_string()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
            }
        }
    )*};
}

/// Length of a digest, in bytes. At 128 bits, accidental collisions are negligible.
pub const DIGEST_LEN: usize = 16;
/// Number of hexadecimal digits in a digest's short form.
const SHORT_DIGEST_LEN: usize = 12;

fn parse_digest(text: &str) -> Result<[u8; DIGEST_LEN]> {
    let bad = || Error::BadDigest { text: text.chars().take(MAX_NAME_LEN).collect() };
    if text.len() != 2 * DIGEST_LEN || !text.is_ascii() {
        return Err(bad());
    }
    let mut out = [0; DIGEST_LEN];
    for (i, byte) in out.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * i..2 * i + 2], 16).map_err(|_| bad())?;
    }
    Ok(out)
}

digests! {
    /// Digest of a bundle's canonical text; identifies the bundle.
    BundleHash;
    /// Digest of an idempotency key and its team; identifies the key without revealing it.
    KeyDigest;
    /// Digest of a request's content; detects an idempotency key reused for another request.
    RequestDigest;
    /// Digest of all records that a node has replayed so far.
    StateDigest;
    /// Random id of a record. A record that was appended twice, because a reply was lost, has one
    /// id and counts once.
    RecordId;
}

impl RecordId {
    /// Generates a random id.
    pub fn random() -> Self {
        Self(rand::random())
    }
}
