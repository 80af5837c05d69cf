//! An operator's key file.

use std::path::PathBuf;

use workshold_protocol::signing::OperatorKey;

use crate::error::CliError;

/// Reads the key in `path`.
///
/// # Errors
///
/// [`CliError::File`] if it is not there or holds none.
pub fn read(path: &PathBuf) -> Result<OperatorKey, CliError> {
    let text = std::fs::read_to_string(path).map_err(|err| CliError::file(path, err))?;
    OperatorKey::from_text(&text).map_err(|err| CliError::file(path, err))
}
