//! `workshold-dev platform`: runs all stand-ins until it is stopped.

use std::path::PathBuf;

use crate::Layout;
use crate::Platform;

/// Reads a layout from TOML; without a file, the layout of the demonstration.
///
/// # Errors
///
/// What is wrong with the file.
pub fn read_layout(file: Option<&PathBuf>) -> Result<Layout, String> {
    let Some(file) = file else { return Ok(Layout::default()) };
    let text = std::fs::read_to_string(file).map_err(|err| err.to_string())?;
    toml::from_str(&text).map_err(|err| err.to_string())
}

/// Runs the stand-ins.
///
/// # Errors
///
/// What the machine says if a port cannot be had.
pub async fn run(layout: Layout) -> Result<(), String> {
    let platform = Platform::start(layout).await.map_err(|err| err.to_string())?;
    let stop = tokio::signal::ctrl_c();
    let mut terminate = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())
        .map_err(|err| err.to_string())?;
    tokio::select! {
        _ = stop => {}
        _ = terminate.recv() => {}
    }
    drop(platform);
    Ok(())
}
