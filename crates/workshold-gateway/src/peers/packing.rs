//! Compression (LZ4) of records of the instance list: the entries of hundreds of instances are
//! nearly alike, and nodes with links of 20 Mbit/s forward them to several others.

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::Error as _;
use serde::ser::Error as _;

use crate::peers::ListRecord;

/// Most bytes that are accepted after decompression: ten times the list of a thousand instances.
const MAX_UNCOMPRESSED_BYTES: usize = 8 * 1024 * 1024;
/// Upper bound of LZ4's compression ratio; a longer claimed length is false.
const MAX_COMPRESSION_RATIO: usize = 255;

/// Compressed records, with the length that they have uncompressed.
#[derive(Serialize, Deserialize)]
struct Packed {
    unpacked_len: u32,
    bytes: Vec<u8>,
}

/// Serializes and compresses records.
fn pack(records: &[ListRecord]) -> Result<Packed, postcard::Error> {
    let bytes = postcard::to_stdvec(records)?;
    let unpacked_len = bytes.len() as u32;
    Ok(Packed { unpacked_len, bytes: lz4_flex::block::compress(&bytes) })
}

/// Compressed length of the records in bytes.
pub fn packed_len(records: &[ListRecord]) -> usize {
    pack(records).map_or(usize::MAX, |packed| packed.bytes.len())
}

/// Compresses and serializes records.
///
/// # Errors
///
/// Errors of the serializer.
pub fn serialize<S: Serializer>(records: &[ListRecord], to: S) -> Result<S::Ok, S::Error> {
    pack(records).map_err(S::Error::custom)?.serialize(to)
}

/// Deserializes and decompresses records.
///
/// # Errors
///
/// If the data are malformed, or claim a length beyond what any list has.
pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<ListRecord>, D::Error> {
    let packed = Packed::deserialize(from)?;
    let len = packed.unpacked_len as usize;
    if len > MAX_UNCOMPRESSED_BYTES.min(packed.bytes.len() * MAX_COMPRESSION_RATIO) {
        return Err(D::Error::custom("uncompressed length of the list records is too large"));
    }
    let bytes = lz4_flex::block::decompress(&packed.bytes, len).map_err(D::Error::custom)?;
    postcard::from_bytes(&bytes).map_err(D::Error::custom)
}
