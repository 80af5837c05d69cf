//! What a request asks, apart from its id.
//!
//! Two requests with one fingerprint ask the same of the same upstreams for the same
//! caller. The caller belongs to it: what one of them sends can say nothing about the
//! requests of another.

use std::fmt;

/// A request's content as a number; so wide that nobody finds two that meet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(pub u128);

impl Fingerprint {
    /// Of what `caller`, if requests here have one, asks by `path` and `body`. Each part
    /// goes in behind its length, so that none can be taken for the beginning of the next.
    pub fn of(caller: Option<&str>, path: &str, body: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&[u8::from(caller.is_some())]);
        for part in [caller.unwrap_or_default().as_bytes(), path.as_bytes(), body] {
            hasher.update(&(part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        let mut bytes = [0; 16];
        hasher.finalize_xof().fill(&mut bytes);
        Self(u128::from_be_bytes(bytes))
    }

    /// Reads what [`fmt::Display`] wrote.
    ///
    /// # Errors
    ///
    /// If it is no number in base 16.
    pub fn parse(text: &str) -> Result<Self, std::num::ParseIntError> {
        u128::from_str_radix(text, 16).map(Self)
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}
