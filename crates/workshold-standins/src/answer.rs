//! The one right answer to each prompt, which everybody can work out.

/// Letters of a prompt's fingerprint in each token.
const FINGERPRINT_LEN: usize = 10;

/// The token at `index` of the answer to `prompt`.
pub fn token(prompt: &str, index: u32) -> String {
    let hash = blake3::hash(prompt.as_bytes()).to_hex();
    format!("{}-{index} ", &hash.as_str()[..FINGERPRINT_LEN])
}

/// The whole answer of `tokens` tokens to `prompt`.
pub fn whole(prompt: &str, tokens: u32) -> String {
    (0..tokens).map(|index| token(prompt, index)).collect()
}
