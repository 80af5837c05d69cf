//! `workshold-dev platform`: runs all stand-ins until it gets SIGINT or SIGTERM.

use std::path::PathBuf;

use crate::Layout;
use crate::Platform;

/// Reads a layout from a TOML file, or returns the default layout if there is no file.
///
/// # Errors
///
/// If the file cannot be read or is not a valid layout.
pub fn read_layout(file: Option<&PathBuf>) -> Result<Layout, String> {
    let Some(file) = file else { return Ok(Layout::default()) };
    let text = std::fs::read_to_string(file).map_err(|err| err.to_string())?;
    toml::from_str(&text).map_err(|err| err.to_string())
}

/// Runs the stand-ins until a signal arrives.
///
/// # Errors
///
/// If a port cannot be bound or the signal handler not installed.
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
