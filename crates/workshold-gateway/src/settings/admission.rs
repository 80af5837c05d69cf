//! The section `admission` of the settings.

use serde::Deserialize;
use workshold_core::hosted::admission::room::RoomRules;
use workshold_protocol::Millis;

/// Admission under overload.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AdmissionSettings {
    /// Time over which the free slots of a group are filled, in milliseconds: longer than the
    /// counts of other nodes' requests are old.
    pub horizon_ms: u64,
    /// Fraction of a group's slots that are filled.
    pub target_fill: f64,
    /// What refused callers take when they return as told, before new requests of the same rank do,
    /// as a fraction of the capacity. Above 1, returns that exceed it are served all the same: a
    /// caller that did as told is not refused a second time, and new requests make up for it.
    pub returning_share: f64,
    /// How long the demand of past peaks is remembered, and its half-life, in seconds; 0 switches
    /// the memory off.
    pub demand_memory_s: f64,
}

/// Longest that demand may be remembered, in seconds: it bounds the memory's size, and an older
/// peak says little about the next one.
const DEMAND_MEMORY_MAX_S: f64 = 600.0;
/// Returning callers beyond twice the capacity would only queue.
const RETURNING_SHARE_MAX: f64 = 2.0;

impl Default for AdmissionSettings {
    fn default() -> Self {
        let RoomRules { horizon, target_fill } = RoomRules::DEFAULT;
        Self { horizon_ms: horizon.0, target_fill, returning_share: 1.5, demand_memory_s: 40.0 }
    }
}

impl AdmissionSettings {
    /// The rules by which groups accept requests.
    pub fn room_rules(&self) -> RoomRules {
        RoomRules { horizon: Millis(self.horizon_ms), target_fill: self.target_fill }
    }

    /// Checks that the values are in range.
    ///
    /// # Errors
    ///
    /// The first value that is not, as text.
    pub fn check(&self) -> Result<(), String> {
        if self.horizon_ms == 0 {
            return Err("admission.horizon_ms is zero".to_owned());
        }
        let in_range = [
            ("admission.target_fill", self.target_fill, f64::MIN_POSITIVE..=1.0),
            ("admission.returning_share", self.returning_share, 0.0..=RETURNING_SHARE_MAX),
            ("admission.demand_memory_s", self.demand_memory_s, 0.0..=DEMAND_MEMORY_MAX_S),
        ];
        match in_range.iter().find(|(_, value, range)| !range.contains(value)) {
            Some((name, value, range)) => Err(format!(
                "{name} is {value}, but must be from {:.1} to {:.1}",
                range.start(),
                range.end()
            )),
            None => Ok(()),
        }
    }
}
