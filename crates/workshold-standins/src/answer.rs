//! The deterministic answer to each prompt, which engines and callers compute independently.

/// Hexadecimal digits of the prompt's hash in each token.
const FINGERPRINT_LEN: usize = 10;

/// Returns the token at `index` of the answer to `prompt`.
pub fn token(prompt: &str, index: u32) -> String {
    let hash = blake3::hash(prompt.as_bytes()).to_hex();
    format!("{}-{index} ", &hash.as_str()[..FINGERPRINT_LEN])
}

/// Returns the complete answer of `tokens` tokens to `prompt`.
pub fn whole(prompt: &str, tokens: u32) -> String {
    (0..tokens).map(|index| token(prompt, index)).collect()
}
