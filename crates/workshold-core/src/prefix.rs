//! Prompts as chains of blocks, so that a shared beginning can be recognised.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bytes of one block; engines cache prefixes in blocks too.
pub const BLOCK_LEN: usize = 64;
/// Blocks of a prompt that are looked at; what is longer shares its beginning.
pub const MAX_BLOCKS: usize = 64;

/// The hashes of a prompt's beginnings, shortest first.
///
/// Two prompts share their first `n` blocks if and only if (but for chance)
/// their first `n` hashes are equal.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PrefixChain {
    hashes: Vec<u64>,
}

impl PrefixChain {
    /// The chain of `prompt` for `model`; engines do not share between models.
    pub fn of(model: &str, prompt: &str) -> Self {
        let mut hash = xxh3_64_with_seed(model.as_bytes(), 0);
        let blocks = prompt.as_bytes().chunks_exact(BLOCK_LEN).take(MAX_BLOCKS);
        let hashes = blocks.map(|block| {
            hash = xxh3_64_with_seed(block, hash);
            hash
        });
        Self { hashes: hashes.collect() }
    }

    /// A chain out of hashes that were computed elsewhere.
    pub fn from_hashes(hashes: Vec<u64>) -> Self {
        Self { hashes }
    }

    /// The hashes, shortest beginning first.
    pub fn hashes(&self) -> &[u64] {
        &self.hashes
    }

    /// What requests of one conversation or template have in common.
    pub fn root(&self) -> u64 {
        self.hashes.first().copied().unwrap_or_default()
    }
}

impl PrefixChain {
    /// A chain for a prompt too short to have blocks: its conversation's name.
    pub fn of_session(model: &str, session: &str) -> Self {
        let model = xxh3_64_with_seed(model.as_bytes(), 0);
        Self { hashes: vec![xxh3_64_with_seed(session.as_bytes(), model)] }
    }
}
