//! Chained hashes of a prompt's blocks, by which prompts with a common prefix are
//! recognised.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bytes per block. Engines cache prefixes in blocks too.
pub const BLOCK_LEN: usize = 64;
/// Blocks of a prompt that are hashed; longer prompts are compared by these only.
pub const MAX_BLOCKS: usize = 64;

/// The hashes of a prompt's prefixes, shortest first.
///
/// Two prompts share their first `n` blocks if and only if their `n`th hashes are
/// equal, hash collisions aside.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PrefixChain {
    hashes: Vec<u64>,
}

impl PrefixChain {
    /// The chain of `prompt` for `model`; engines share no cache between models.
    pub fn of(model: &str, prompt: &str) -> Self {
        let mut hash = xxh3_64_with_seed(model.as_bytes(), 0);
        let blocks = prompt.as_bytes().chunks_exact(BLOCK_LEN).take(MAX_BLOCKS);
        let hashes = blocks.map(|block| {
            hash = xxh3_64_with_seed(block, hash);
            hash
        });
        Self { hashes: hashes.collect() }
    }

    /// A chain of hashes that were computed before.
    pub fn from_hashes(hashes: Vec<u64>) -> Self {
        Self { hashes }
    }

    /// The hashes, shortest prefix first.
    pub fn hashes(&self) -> &[u64] {
        &self.hashes
    }

    /// The hash of the first block, which requests of one conversation or template
    /// share; 0 for a prompt without a whole block.
    pub fn root(&self) -> u64 {
        self.hashes.first().copied().unwrap_or_default()
    }
}

impl PrefixChain {
    /// A chain of one hash, of a conversation's name, for prompts shorter than a block.
    pub fn of_session(model: &str, session: &str) -> Self {
        let model = xxh3_64_with_seed(model.as_bytes(), 0);
        Self { hashes: vec![xxh3_64_with_seed(session.as_bytes(), model)] }
    }
}
