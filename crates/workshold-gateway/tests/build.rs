//! What the deploy file builds, and how a built program tells what it is.

use std::collections::BTreeSet;
use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;

use rstest::rstest;
use toml::Table;
use toml::Value;

const BINARY: &str = env!("CARGO_BIN_EXE_workshold-gateway");
const ROOT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");

/// Standard output of a program that has to succeed.
fn output(command: &mut Command) -> String {
    let output = command.output().unwrap();
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    String::from_utf8(output.stdout).unwrap().trim().to_owned()
}

fn source_id() -> String {
    output(&mut Command::new(format!("{ROOT}/scripts/source-id")))
}

/// Guards against programs of which nobody can tell what they were built from.
#[test]
fn the_version_names_the_sources() {
    let version = output(Command::new(BINARY).arg("--version"));
    assert!(version.ends_with(&format!("(sources {})", source_id())), "{version}");
}

/// A target folder with a program of the given version, and a `cargo` that only notes its calls.
struct FakeBuild {
    folder: PathBuf,
}

impl Drop for FakeBuild {
    fn drop(&mut self) {
        fs::remove_dir_all(&self.folder).unwrap();
    }
}

impl FakeBuild {
    fn new(name: &str, version: Option<&str>) -> Self {
        let folder = std::env::temp_dir().join(format!("build-{name}-{}", std::process::id()));
        fs::create_dir_all(folder.join("target/release")).unwrap();
        fs::create_dir_all(folder.join("bin")).unwrap();
        let script = |path: &str, line: &str| {
            let path = folder.join(path);
            fs::write(&path, format!("#!/bin/sh\n{line}\n")).unwrap();
            fs::set_permissions(&path, fs::Permissions::from_mode(0o755)).unwrap();
        };
        script("bin/cargo", &format!("echo \"$1\" >> {}", folder.join("calls").display()));
        if let Some(version) = version {
            script("target/release/workshold-gateway", &format!("echo \"{version}\""));
        }
        Self { folder }
    }

    /// Runs the deploy file's build; returns the commands that it gave to cargo.
    fn run(&self) -> Vec<String> {
        let path = std::env::var("PATH").unwrap();
        output(
            Command::new("sh")
                .args(["-c", &deploy_build()])
                .current_dir(ROOT)
                .env("PATH", format!("{}:{path}", self.folder.join("bin").display()))
                .env("CARGO_TARGET_DIR", self.folder.join("target")),
        );
        let calls = fs::read_to_string(self.folder.join("calls")).unwrap();
        calls.lines().map(str::to_owned).collect()
    }
}

/// The build command of the deploy file.
fn deploy_build() -> String {
    let text = fs::read_to_string(format!("{ROOT}/deploy/system.toml")).unwrap();
    text.parse::<Table>().unwrap()["build"].as_str().unwrap().to_owned()
}

/// Guards against a program of old crates and new ones: cargo keeps what a target folder holds of
/// other sources if the files of the present ones are older.
#[rstest]
#[case::of_other_sources("other", Some("0.1.0 (sources 0123456789ab)".to_owned()), &["clean", "build"])]
#[case::that_does_not_tell("silent", Some("0.1.0".to_owned()), &["clean", "build"])]
#[case::of_these_sources("same", Some(format!("0.1.0 (sources {})", source_id())), &["build"])]
#[case::none("none", None, &["build"])]
fn the_build_keeps_only_crates_of_these_sources(
    #[case] name: &str,
    #[case] version: Option<String>,
    #[case] expected: &[&str],
) {
    assert_eq!(FakeBuild::new(name, version.as_deref()).run(), expected);
}

/// A package of a lock file, by name and version.
type Package = (String, String);

fn text(value: &Value) -> String {
    value.as_str().unwrap().to_owned()
}

/// The packages of a lock file that a package needs on any platform.
fn needed(lock: &Path, root: &str) -> BTreeSet<Package> {
    let lock: Table = fs::read_to_string(lock).unwrap().parse().unwrap();
    let packages = lock["package"].as_array().unwrap();
    let mut found = BTreeSet::new();
    let mut open = vec![root.to_owned()];
    while let Some(name) = open.pop() {
        // A dependency that exists in several versions is named with its version.
        let (name, version) = name.split_once(' ').unwrap_or((&name, ""));
        let is_named = |package: &&Value| {
            text(&package["name"]) == name && text(&package["version"]).starts_with(version)
        };
        let package = packages.iter().find(is_named).unwrap();
        if found.insert((text(&package["name"]), text(&package["version"]))) {
            let dependencies = package.get("dependencies").and_then(Value::as_array);
            open.extend(dependencies.into_iter().flatten().map(text));
        }
    }
    found
}

/// Guards against stand-ins of the review that no longer build: their scripts then end as if a
/// case had failed. They have lock files of their own and build without a network, after nothing
/// but the gateway.
#[rstest]
#[case::first("standins", "review-standins")]
#[case::second("standins-2", "workshold-review-2")]
fn the_review_builds_after_the_gateway(#[case] folder: &str, #[case] name: &str) {
    let folder = Path::new(ROOT).join("review").join(folder);
    let fetched = needed(&Path::new(ROOT).join("Cargo.lock"), "workshold-gateway");
    let of_review = needed(&folder.join("Cargo.lock"), name);
    let is_ours = |package: &&Package| package.0 == name || package.0.starts_with("workshold-");
    let missing: Vec<&Package> =
        of_review.difference(&fetched).filter(|package| !is_ours(package)).collect();
    assert!(missing.is_empty(), "not fetched for the gateway: {missing:?}");
    output(
        Command::new(env!("CARGO"))
            .args(["metadata", "--locked", "--offline", "--format-version", "1"])
            .arg("--filter-platform")
            .arg(format!("{}-unknown-linux-gnu", std::env::consts::ARCH))
            .arg("--manifest-path")
            .arg(folder.join("Cargo.toml")),
    );
}
