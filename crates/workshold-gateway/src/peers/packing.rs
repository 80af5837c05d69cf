//! How records of the list are packed: entries of hundreds of instances say nearly the same,
//! and nodes with links of 20 Mbit/s pass them on to several others.

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::Error as _;
use serde::ser::Error as _;

use crate::peers::ListRecord;

/// The longest list that is unpacked, in bytes: ten times that of a thousand instances.
const MOST_UNPACKED: usize = 8 * 1024 * 1024;
/// No packed byte stands for more than this.
const MOST_OF_A_BYTE: usize = 255;

/// Records as they are sent.
#[derive(Serialize, Deserialize)]
struct Packed {
    unpacked_len: u32,
    bytes: Vec<u8>,
}

fn pack(records: &[ListRecord]) -> Result<Packed, postcard::Error> {
    let bytes = postcard::to_stdvec(records)?;
    let unpacked_len = bytes.len() as u32;
    Ok(Packed { unpacked_len, bytes: lz4_flex::block::compress(&bytes) })
}

/// Bytes that records take where they are sent.
pub fn packed_len(records: &[ListRecord]) -> usize {
    pack(records).map_or(usize::MAX, |packed| packed.bytes.len())
}

/// Packs records.
///
/// # Errors
///
/// What the serializer says.
pub fn serialize<S: Serializer>(records: &[ListRecord], to: S) -> Result<S::Ok, S::Error> {
    pack(records).map_err(S::Error::custom)?.serialize(to)
}

/// Unpacks records.
///
/// # Errors
///
/// If they are no such records, or more than any list has.
pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<ListRecord>, D::Error> {
    let packed = Packed::deserialize(from)?;
    let len = packed.unpacked_len as usize;
    if len > MOST_UNPACKED.min(packed.bytes.len() * MOST_OF_A_BYTE) {
        return Err(D::Error::custom("more than any list has"));
    }
    let bytes = lz4_flex::block::decompress(&packed.bytes, len).map_err(D::Error::custom)?;
    postcard::from_bytes(&bytes).map_err(D::Error::custom)
}
