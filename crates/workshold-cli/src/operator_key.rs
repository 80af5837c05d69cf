//! Reads operators' key files.

use std::path::PathBuf;

use workshold_protocol::signing::OperatorKey;

use crate::error::CliError;

/// Reads the operator's signing key from `path`, as `workshold keygen` wrote it.
///
/// # Errors
///
/// [`CliError::File`] if the file cannot be read or holds no valid key.
pub fn read(path: &PathBuf) -> Result<OperatorKey, CliError> {
    let text = std::fs::read_to_string(path).map_err(|err| CliError::file(path, err))?;
    OperatorKey::from_text(&text).map_err(|err| CliError::file(path, err))
}
