//! Names of things. Every name is checked when it is made or read.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::error::Error;
use crate::error::Result;

/// The longest name of anything, in bytes.
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
            /// Checks `text` and makes a name of it.
            ///
            /// # Errors
            ///
            /// [`Error::BadName`] unless it has 1 to [`MAX_NAME_LEN`] letters,
            /// digits, dots, dashes or underscores.
            pub fn new(text: &str) -> Result<Self> {
                check_name($kind, text).map(Self)
            }

            /// The name as text.
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
    /// A machine that runs a model engine, or one machine of a plain service.
    InstanceId = "instance";
    /// An entry instance: a process of this project that callers connect to.
    NodeId = "node";
    /// A data centre.
    DataCentre = "data centre";
    /// A fabric domain: instances with a fast network among them.
    FabricDomain = "fabric domain";
    /// A replica group: the instances that serve one copy of a model together.
    GroupId = "group";
    /// A model.
    ModelName = "model";
    /// A version of a model's weights.
    Version = "version";
    /// An adapter of a model.
    AdapterName = "adapter";
    /// A role that a group of a certain size can take.
    RoleName = "role";
    /// A customer's team.
    TeamName = "team";
    /// A plain service beside the model engines.
    ServiceName = "service";
    /// A person who may sign bundles.
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
    /// A place in the platform's log; the first record has 0.
    Offset;
    /// A fencing number: the offset of the claim that an order was sent under.
    FencingToken;
    /// Which life of an instance or node this is; changes at every start.
    Incarnation;
}

impl Offset {
    /// The place after this one.
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
            /// The digest of `bytes`.
            pub fn of(bytes: &[u8]) -> Self {
                let mut out = [0; DIGEST_LEN];
                out.copy_from_slice(&blake3::hash(bytes).as_bytes()[..DIGEST_LEN]);
                Self(out)
            }

            /// The first characters, enough to tell two apart on a screen.
            pub fn short(&self) -> String {
                self.to_string()[..SHORT_DIGEST].to_owned()
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

/// Bytes of a digest; 128 bits make a collision by chance out of the question.
pub const DIGEST_LEN: usize = 16;
const SHORT_DIGEST: usize = 12;

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
    /// Names a bundle by its content.
    BundleHash;
    /// Names an idempotency key without telling it, bound to its team.
    KeyDigest;
    /// Names what a request asked for, to notice a key used for two things.
    RequestDigest;
    /// Names all that a node has replayed so far.
    StateDigest;
    /// Names a record, so that one appended twice counts once.
    RecordId;
}

impl RecordId {
    /// A new one that nobody else has.
    pub fn random() -> Self {
        Self(rand::random())
    }
}
