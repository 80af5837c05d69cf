//! The one error type of the shared crates: what went wrong, where, and what helps.

use displaydoc::Display;

/// A result whose error is [`Error`].
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// What can be wrong with something that came from outside.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Error {
    /// "{text}" is not a name of a {kind}
    BadName {
        /// What the name was for.
        kind: &'static str,
        /// The text, cut to the longest name.
        text: String,
    },
    /// "{text}" is not a digest
    BadDigest {
        /// The text, cut short.
        text: String,
    },
    /// {what} cannot be read: {why}
    Unreadable {
        /// What was being read.
        what: String,
        /// What the reader said.
        why: String,
    },
    /// the bundle has {} fault(s)
    #[displaydoc("the bundle has {count} fault(s); the first: {first}")]
    BadBundle {
        /// How many.
        count: usize,
        /// The first of them.
        first: String,
    },
    /// the seal of a record or message does not fit its content
    BadSeal,
    /// the key "{key}" is not among the trusted operators
    UntrustedKey {
        /// The public key.
        key: String,
    },
    /// the signature does not fit the content
    BadSignature,
    /// {what} may not be written by {author}
    NotAllowed {
        /// The kind of record.
        what: &'static str,
        /// Who sealed it.
        author: String,
    },
    /// the idempotency key is not a UUID of version 7
    BadIdempotencyKey,
}

impl Error {
    /// One line on what to do about it.
    pub fn help(&self) -> &'static str {
        match self {
            Self::BadName { .. } => "use 1 to 64 letters, digits, dots, dashes or underscores",
            Self::BadDigest { .. } => "give the 32 hexadecimal digits that `bundle check` prints",
            Self::Unreadable { .. } => "check the path and the format of the file",
            Self::BadBundle { .. } => {
                "run `workshold bundle check` to see every fault with its place"
            }
            Self::BadSeal => "check that every node has the same cluster_key in its settings",
            Self::UntrustedKey { .. } => {
                "add the operator's public key to [operators] in the settings"
            }
            Self::BadSignature => "sign the bundle again; the content changed after signing",
            Self::NotAllowed { .. } => {
                "operators publish and sign off; nodes write everything else"
            }
            Self::BadIdempotencyKey => {
                "send a fresh UUID version 7; it carries the time it was made"
            }
        }
    }
}

impl std::error::Error for Error {}
