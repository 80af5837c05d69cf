//! The error type that the crates of this project share for invalid input.

use displaydoc::Display;

/// A result whose error is [`Error`].
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why input from outside the process was rejected: settings, files, records, messages, headers.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Error {
    /// "{text}" is not a name of a {kind}
    BadName {
        /// What the text should name, such as `node`.
        kind: &'static str,
        /// The rejected text, cut to [`crate::ids::MAX_NAME_LEN`] characters.
        text: String,
    },
    /// "{text}" is not a digest
    BadDigest {
        /// The rejected text, cut to [`crate::ids::MAX_NAME_LEN`] characters.
        text: String,
    },
    /// {what} cannot be read: {why}
    Unreadable {
        /// What was being read, such as `the bundle`.
        what: String,
        /// The parser's error message.
        why: String,
    },
    /// the bundle has {} fault(s)
    #[displaydoc("the bundle has {count} fault(s); the first: {first}")]
    BadBundle {
        /// Number of faults.
        count: usize,
        /// The first fault, with its path.
        first: String,
    },
    /// the seal of a record or message does not match its content
    BadSeal,
    /// the key "{key}" is not among the trusted operators
    UntrustedKey {
        /// The public key, in base64.
        key: String,
    },
    /// the signature does not match the content
    BadSignature,
    /// {what} may not be written by {author}
    NotAllowed {
        /// The kind of fact, as [`crate::record::Fact::kind`] names it.
        what: &'static str,
        /// Who sealed the record: a node, or an operator by name.
        author: String,
    },
    /// the idempotency key is not a UUID of version 7
    BadIdempotencyKey,
}

impl Error {
    /// Returns one line of advice for the operator or caller who sees the error.
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
