//! A hash of a request's content without its id, or of a part of its prompt.
//!
//! Two requests with one fingerprint of their content ask the same of the same upstreams for the
//! same caller. The caller is part of it, so that what one caller sends can't count against
//! another's requests. A part of a prompt is the same for all callers.

use std::fmt;

/// A hash of a request's content or of a part of its prompt; 128 bits, so that nobody finds a
/// collision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(pub u128);

/// Begins what is hashed of a part of a prompt; a content begins with 0 or 1.
const PROMPT_PART_TAG: u8 = 2;

impl Fingerprint {
    /// The fingerprint of a request by `caller` (`None` if callers aren't identified) for `path`
    /// with `body`. Each part is hashed after its length, so that moving bytes from one part to
    /// the next gives another fingerprint.
    pub fn of(caller: Option<&str>, path: &str, body: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&[u8::from(caller.is_some())]);
        for part in [caller.unwrap_or_default().as_bytes(), path.as_bytes(), body] {
            hasher.update(&(part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        Self::from_hasher(&hasher)
    }

    /// The fingerprint of the part of a prompt with this id; none of a content is the same.
    pub fn of_prompt_part(id: &str) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&[PROMPT_PART_TAG]);
        hasher.update(id.as_bytes());
        Self::from_hasher(&hasher)
    }

    fn from_hasher(hasher: &blake3::Hasher) -> Self {
        let mut bytes = [0; 16];
        hasher.finalize_xof().fill(&mut bytes);
        Self(u128::from_be_bytes(bytes))
    }

    /// Half of its bits, where collisions only cost fairness.
    pub fn as_u64(self) -> u64 {
        self.0 as u64
    }

    /// Parses the text that [`fmt::Display`] writes.
    ///
    /// # Errors
    ///
    /// If it isn't a hexadecimal number of at most 128 bits.
    pub fn parse(text: &str) -> Result<Self, std::num::ParseIntError> {
        u128::from_str_radix(text, 16).map(Self)
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}
