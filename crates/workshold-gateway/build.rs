//! Names the sources that the gateway is built from, for `--version` and the log.

use std::process::Command;

/// The crates of this workspace that the gateway is built from.
const CRATES: [&str; 6] = [
    ".",
    "../workshold-core",
    "../workshold-http",
    "../workshold-protocol",
    "../workshold-telemetry",
    "../../platform",
];

fn main() {
    for path in ["build.rs", "../../Cargo.toml", "../../Cargo.lock", "../../scripts/source-id"] {
        println!("cargo::rerun-if-changed={path}");
    }
    for path in CRATES {
        println!("cargo::rerun-if-changed={path}/Cargo.toml");
        println!("cargo::rerun-if-changed={path}/src");
    }
    let id = source_id().unwrap_or_else(|| "unknown".to_owned());
    println!("cargo::rustc-env=WORKSHOLD_SOURCES={id}");
}

/// The output of `scripts/source-id`; `None` where it cannot run.
fn source_id() -> Option<String> {
    let output = Command::new("sh").arg("../../scripts/source-id").output().ok()?;
    let id = String::from_utf8(output.stdout).ok()?;
    output.status.success().then(|| id.trim().to_owned())
}
