//! `workshold-bench`: runs the policy benches and checks their figures against bounds.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Instant;

use bpaf::Parser;
use workshold_bench::RunLength;
use workshold_bench::bounds;
use workshold_bench::bounds::BoundsFile;
use workshold_bench::run_all;

#[expect(
    clippy::print_stdout,
    clippy::print_stderr,
    reason = "the command prints its tables and violated bounds"
)]
fn main() -> ExitCode {
    let short = bpaf::long("short").help("Run for seconds rather than minutes").switch();
    let seed = bpaf::long("seed").argument::<u64>("N").fallback(1);
    let check = bpaf::long("check").help("A file of bounds").argument::<PathBuf>("FILE").optional();
    let only =
        bpaf::long("only").help("Run only the bench of this name").argument::<String>("NAME");
    let only = only.fallback(String::new());
    let (short, seed, check, only) = bpaf::construct!(short, seed, check, only)
        .to_options()
        .descr("Runs the policy benches in virtual time and prints their tables.")
        .run();
    let length = if short { RunLength::Short } else { RunLength::Long };
    let started_at = Instant::now();
    let tables = run_all(length, seed, &only, |name, tables| {
        tables.iter().for_each(|table| println!("{}", table.to_markdown()));
        let secs = started_at.elapsed().as_secs_f64();
        println!("{name}: seed {seed}, {length:?}, after {secs:.1} s\n");
    });
    let Some(file) = check else { return ExitCode::SUCCESS };
    let read = std::fs::read_to_string(&file).map_err(|err| err.to_string());
    let parsed =
        read.and_then(|text| toml::from_str::<BoundsFile>(&text).map_err(|e| e.to_string()));
    match parsed.map(|file| bounds::violations(&tables, file.for_length(length))) {
        Ok(violations) if violations.is_empty() => ExitCode::SUCCESS,
        Ok(violations) => {
            violations.iter().for_each(|line| eprintln!("{line}"));
            ExitCode::FAILURE
        }
        Err(why) => {
            eprintln!("{}: {why}", file.display());
            ExitCode::FAILURE
        }
    }
}
