//! What the deploy file builds, and how a built program tells what it is.

use std::collections::BTreeSet;
use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;

use rstest::rstest;
use toml::Table;

const BINARY: &str = env!("CARGO_BIN_EXE_workshold-gateway");
const ROOT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");

/// Standard output of a program that has to succeed.
fn output(command: &mut Command) -> String {
    let output = command.output().unwrap();
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    String::from_utf8(output.stdout).unwrap().trim().to_owned()
}

fn source_id() -> String {
    output(Command::new("sh").arg(format!("{ROOT}/scripts/source-id")))
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

/// The packages that building a crate takes on this platform, by name and version. Fails if its lock
/// file is out of date or a package was not fetched.
fn packages(folder: &Path, name: &str) -> BTreeSet<String> {
    let tree = output(
        Command::new(env!("CARGO"))
            .args(["tree", "--locked", "--offline", "--edges", "normal,build"])
            .args(["--prefix", "none", "--package", name, "--manifest-path"])
            .arg(folder.join("Cargo.toml")),
    );
    let name_and_version = |line: &str| line.split(' ').take(2).collect::<Vec<_>>().join(" ");
    tree.lines().map(name_and_version).collect()
}

/// Guards against a crate that the gateway is built from and that its identity leaves out.
#[rstest]
#[case::hash("scripts/source-id")]
#[case::compiled_anew("scripts/build-gateway")]
#[case::watched("crates/workshold-gateway/build.rs")]
fn every_crate_of_the_gateway_is_listed(#[case] list: &str) {
    let text = fs::read_to_string(Path::new(ROOT).join(list)).unwrap();
    let packages = packages(Path::new(ROOT), "workshold-gateway");
    let names = packages.iter().filter_map(|package| package.split(' ').next());
    for name in names.filter(|name| name.starts_with("workshold-")) {
        let folder = if name == "workshold-platform" { "platform" } else { name };
        let is_own = name == "workshold-gateway" && list.ends_with("build.rs");
        assert!(is_own || text.contains(folder), "{list} lacks {name}");
    }
}

/// Guards against stand-ins of the review that no longer build: their scripts then end as if a
/// case had failed. They have lock files of their own and build without a network, after nothing
/// but the gateway.
#[rstest]
#[case::first("standins", "review-standins")]
#[case::second("standins-2", "workshold-review-2")]
fn the_review_builds_after_the_gateway(#[case] folder: &str, #[case] name: &str) {
    let root = Path::new(ROOT);
    let of_review = packages(&root.join("review").join(folder), name);
    let fetched = packages(root, "workshold-gateway");
    let is_local = |package: &str| package.starts_with(name) || package.starts_with("workshold-");
    let missing: Vec<&String> =
        of_review.difference(&fetched).filter(|package| !is_local(package)).collect();
    assert!(missing.is_empty(), "not fetched for the gateway: {missing:?}");
}
