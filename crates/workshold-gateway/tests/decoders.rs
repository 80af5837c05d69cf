//! Fuzzing of the decoders of what the store and peers send: no input ends the process or takes
//! memory beyond its own size, and one bad entry does not affect others.
//!
//! `FUZZ_SECONDS=600 cargo test -p workshold-gateway --test decoders` runs for longer.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::header::HeaderValue;
use proptest::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use serde_json::json;
use workshold_gateway::peers::Datagram;
use workshold_platform::config;
use workshold_platform::entries;
use workshold_platform::store;
use workshold_platform_standin::deployment;
use workshold_protocol::ids::InstanceId;

/// Seconds of random mutations unless `FUZZ_SECONDS` is set.
const DEFAULT_SECONDS: u64 = 2;

fn id() -> InstanceId {
    InstanceId::new("i-1").unwrap()
}

fn entry() -> Value {
    json!({
        "service": "llm", "address": "10.0.0.1:80", "zone": "a", "version": "v1", "slots": 14,
        "state": "ready", "born": 1_700_000_000_000_u64, "cold_left_ms": 0, "domain": "a-d0",
        "staged": ["m1"], "models": [{ "name": "m0", "version": 1, "adapters": [] }],
        "sequence": 4, "group": { "name": "m0.12", "epoch": 12, "rank": 0, "state": "open" },
    })
}

fn random_value(rng: &mut ChaCha8Rng) -> Value {
    match rng.random_range(0..12) {
        0 => Value::Null,
        1 => json!(rng.random::<bool>()),
        2 => json!(rng.random::<u64>()),
        3 => json!(rng.random::<i64>()),
        4 => json!(rng.random::<f64>() * 1e300),
        5 => json!(""),
        6 => json!("\u{0}\u{ffff}\u{202e}"),
        7 => json!("a".repeat(rng.random_range(0..5_000))),
        8 => json!([]),
        9 => json!({ "name": "m0.1", "epoch": -1 }),
        10 => json!(vec!["m1"; rng.random_range(0..3_000)]),
        _ => json!({}),
    }
}

/// Replaces or removes a random part of `value`.
fn mutate(value: &mut Value, rng: &mut ChaCha8Rng) {
    let descends = rng.random_bool(0.4);
    match value {
        Value::Object(fields) if !fields.is_empty() => {
            let at = rng.random_range(0..fields.len());
            let name = fields.keys().nth(at).cloned().unwrap_or_default();
            match fields.get_mut(&name) {
                Some(inner) if descends => mutate(inner, rng),
                _ if rng.random() => {
                    fields.remove(&name);
                }
                _ => {
                    fields.insert(name, random_value(rng));
                }
            }
        }
        Value::Array(items) if !items.is_empty() => {
            let at = rng.random_range(0..items.len());
            mutate(&mut items[at], rng);
        }
        other => *other = random_value(rng),
    }
}

/// Overwrites, cuts, inserts and repeats random bytes.
fn corrupt(bytes: &mut Vec<u8>, rng: &mut ChaCha8Rng) {
    for _ in 0..rng.random_range(0..6) {
        if bytes.is_empty() {
            return;
        }
        let at = rng.random_range(0..bytes.len());
        match rng.random_range(0..4) {
            0 => bytes[at] = rng.random(),
            1 => bytes.truncate(at),
            2 => bytes.insert(at, rng.random()),
            _ => bytes.extend_from_within(at..),
        }
    }
}

fn decode_all(bytes: &[u8]) {
    let _ = entries::decode(&id(), bytes);
    let _ = config::decode(bytes);
    let _ = store::decode_records(&Bytes::copy_from_slice(bytes), 3);
    let _ = store::decode_owners(bytes);
    let _ = postcard::from_bytes::<Datagram>(bytes);
}

#[test]
fn mutated_valid_records_do_not_panic() {
    let seconds = std::env::var("FUZZ_SECONDS").ok().and_then(|text| text.parse().ok());
    let duration = Duration::from_secs(seconds.unwrap_or(DEFAULT_SECONDS));
    let began = Instant::now();
    let config: Value = serde_json::from_str(&deployment::config(1, "k1")).unwrap();
    let (mut seed, mut valid) = (0, 0);
    while began.elapsed() < duration {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut value = if rng.random() { entry() } else { config.clone() };
        for _ in 0..rng.random_range(1..4) {
            mutate(&mut value, &mut rng);
        }
        let mut bytes = value.to_string().into_bytes();
        valid += u32::from(entries::decode(&id(), &bytes).is_ok());
        valid += u32::from(config::decode(&bytes).is_ok());
        corrupt(&mut bytes, &mut rng);
        decode_all(&bytes);
        seed += 1;
    }
    assert!(valid > 0, "none of {seed} inputs was valid, so the mutations are too coarse");
}

proptest! {
    #[test]
    fn random_bytes_do_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..2_000)) {
        decode_all(&bytes);
    }

    /// The header with the store's era is a number, or it is an error.
    #[test]
    fn an_invalid_era_header_is_an_error(
        header_values in
            proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..24), 0..3),
    ) {
        let mut headers = HeaderMap::new();
        let values = header_values.iter().filter_map(|value| HeaderValue::from_bytes(value).ok());
        values.for_each(|value| {
            headers.append(store::ERA_HEADER, value);
        });
        let numbers: Vec<Option<u64>> = headers
            .get_all(store::ERA_HEADER)
            .iter()
            .map(|value| value.to_str().ok().and_then(|text| text.trim().parse().ok()))
            .collect();
        match store::decode_era(&headers) {
            Ok(era) if numbers.is_empty() => prop_assert_eq!(era.0, 0),
            Ok(era) => prop_assert!(numbers.iter().all(|number| *number == Some(era.0))),
            Err(_) => prop_assert!(numbers.iter().any(|n| n.is_none() || *n != numbers[0])),
        }
    }

    #[test]
    fn a_numeric_era_header_is_that_era(era in any::<u64>()) {
        let mut headers = HeaderMap::new();
        headers.append(store::ERA_HEADER, era.into());
        prop_assert_eq!(store::decode_era(&headers).unwrap().0, era);
    }

    /// A length that a datagram claims must not make the decoder allocate that much.
    #[test]
    fn a_claimed_length_allocates_no_memory(
        mut bytes in proptest::collection::vec(any::<u8>(), 2..200),
        claimed in any::<u32>(),
    ) {
        bytes.splice(1..1, [claimed as u8 | 0x80, (claimed >> 7) as u8 | 0x80, 0xff, 0x7f]);
        let _ = postcard::from_bytes::<Datagram>(&bytes);
    }

    #[test]
    fn a_truncated_store_answer_is_an_error(cut in 1_usize..60) {
        let mut raw = Vec::new();
        raw.extend(9_u64.to_be_bytes());
        raw.extend(3_u64.to_be_bytes());
        let value = entry().to_string();
        raw.extend(((1 + 3 + value.len()) as u32).to_be_bytes());
        raw.push(3);
        raw.extend(b"i-1");
        raw.extend(value.as_bytes());
        let whole = store::decode_records(&Bytes::from(raw.clone()), 3).unwrap();
        prop_assert_eq!(whole.records.len(), 1);
        raw.truncate(raw.len() - cut);
        prop_assert!(store::decode_records(&Bytes::from(raw), 3).is_err());
    }
}
