//! Rendezvous (highest-random-weight) hashing: nodes agree on who does what without
//! coordination.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The weight of `candidate` for `key`; the same in all processes and versions.
pub fn weight(key: &[u8], candidate: &[u8]) -> u64 {
    let seed = xxh3_64_with_seed(key, 0);
    xxh3_64_with_seed(candidate, seed)
}

/// The candidate with the highest weight; `None` if there are none.
pub fn first<T>(
    key: &[u8],
    candidates: impl Iterator<Item = T>,
    name: impl Fn(&T) -> &[u8],
) -> Option<T> {
    candidates.max_by_key(|candidate| weight(key, name(candidate)))
}

/// All candidates, highest weight first.
pub fn ranked<T>(
    key: &[u8],
    candidates: impl Iterator<Item = T>,
    name: impl Fn(&T) -> &[u8],
) -> Vec<T> {
    let mut ranked: Vec<_> =
        candidates.map(|candidate| (weight(key, name(&candidate)), candidate)).collect();
    ranked.sort_by_key(|(weight, _)| std::cmp::Reverse(*weight));
    ranked.into_iter().map(|(_, candidate)| candidate).collect()
}
