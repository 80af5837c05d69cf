//! `workshold-soak`: runs seeds of the fault-injection soak test and prints broken promises.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use bpaf::Parser;
use workshold_soak::fleet::Size;
use workshold_soak::run;
use workshold_soak::run::Options;
use workshold_soak::run::Verdict;

#[derive(Debug, Clone)]
struct Args {
    options: Options,
    first: u64,
    seeds: u64,
    jobs: usize,
}

const EXIT_PROMISE_BROKEN: u8 = 1;

fn number(name: &'static str, help: &'static str, usual: u64) -> impl Parser<u64> {
    bpaf::long(name).help(help).argument::<u64>("N").fallback(usual).display_fallback()
}

fn size() -> impl Parser<Size> {
    let nodes = number("nodes", "Nodes", 3).map(|n| n as usize);
    let domains = number("domains", "Fabric domains", 3).map(|n| n as usize);
    let engines = number("engines", "Engines in each domain", 6).map(|n| n as usize);
    let group = number("group", "Engines of a group", 2).map(|n| n as usize);
    let gates = number("gates", "Instances of the plain service", 3).map(|n| n as usize);
    bpaf::construct!(Size { nodes, domains, engines, group, gates })
}

fn args() -> bpaf::OptionParser<Args> {
    let binary = bpaf::long("gateway")
        .help("The nodes' program")
        .argument::<PathBuf>("FILE")
        .fallback(PathBuf::from("target/release/workshold-gateway"));
    let folder = bpaf::long("folder")
        .help("Where settings and logs go; those of seeds that broke nothing are removed")
        .argument::<PathBuf>("FOLDER")
        .fallback(std::env::temp_dir().join(format!("workshold-soak-{}", std::process::id())));
    let size = size();
    let callers = number("callers", "Callers at once", 12);
    let secs = |n: u64| Duration::from_secs(n);
    let length = number("secs", "Seconds in which faults come", 12).map(secs);
    let planned = number("planned", "Seconds in which planned work comes", 8).map(secs);
    let silences =
        number("silences", "Silences of the store after that, each with a new configuration", 2)
            .map(|n| n as usize);
    let limits = number("limits", "Limits that instances name after that, several at once", 4)
        .map(|n| n as usize);
    let retry_after_faults =
        number("rests", "Instances that ask for rest or leave beside those", 4).map(|n| n as usize);
    let path_losses = number("path-losses", "Times that nodes lose their paths to instances", 2)
        .map(|n| n as usize);
    let recovers_within =
        number("recovers-within", "Seconds until all is served again", 12).map(secs);
    let with_engine_restarts = bpaf::long("earlier-faults")
        .help("Without engines that start again under their ids, as seeds were played before")
        .switch()
        .map(|is_earlier| !is_earlier);
    let with_store_restores = bpaf::long("no-copies")
        .help("Without a store that comes back from copies")
        .switch()
        .map(|is_without| !is_without);
    let with_unframed_answers = bpaf::long("unframed")
        .help("With answers whose end only the end of the connection marks, and faults in them")
        .switch();
    let with_crashing_requests = bpaf::long("ending")
        .help("With a request that ends whoever begins to run it, asked again and again")
        .switch();
    let with_crashing_parts = bpaf::long("ending-part")
        .help("With ever new requests that share a prompt part which ends whoever begins to run it")
        .switch();
    let options = bpaf::construct!(Options {
        binary,
        folder,
        size,
        callers,
        length,
        with_engine_restarts,
        with_store_restores,
        with_unframed_answers,
        with_crashing_requests,
        with_crashing_parts,
        planned,
        silences,
        limits,
        retry_after_faults,
        path_losses,
        recovers_within
    });
    let first = number("first", "The first seed", 1);
    let seeds = number("seeds", "How many seeds", 50);
    let jobs = number("jobs", "Seeds at once", 3).map(|n| n as usize);
    bpaf::construct!(Args { options, first, seeds, jobs })
        .to_options()
        .descr("Plays seeds of the fault soak; ends with 1 if a promise broke.")
        .footer("Example: workshold-soak --first 1 --seeds 50")
}

#[tokio::main]
async fn main() -> ExitCode {
    let args = args().run();
    let mut pending_seeds: Vec<u64> = (args.first..args.first + args.seeds).rev().collect();
    let mut runs = tokio::task::JoinSet::new();
    let mut all_passed = true;
    loop {
        while runs.len() < args.jobs.max(1) {
            let Some(seed) = pending_seeds.pop() else { break };
            let options = args.options.clone();
            runs.spawn(async move { (seed, run::play(&options, seed).await) });
        }
        match runs.join_next().await {
            None => break,
            Some(Ok((seed, Ok(verdict)))) => {
                all_passed &= verdict.breaches.is_empty();
                print_verdict(&verdict);
                if verdict.breaches.is_empty() {
                    // Settings and logs are only of use if a promise was broken.
                    let _ =
                        std::fs::remove_dir_all(args.options.folder.join(format!("seed-{seed}")));
                }
            }
            Some(Ok((seed, Err(err)))) => {
                all_passed = false;
                print_line(&format!("seed {seed} was not played: {err}"));
            }
            Some(Err(err)) => {
                all_passed = false;
                print_line(&format!("a seed ended in a panic: {err}"));
            }
        }
    }
    if all_passed { ExitCode::SUCCESS } else { ExitCode::from(EXIT_PROMISE_BROKEN) }
}

fn print_verdict(verdict: &Verdict) {
    let after = verdict.recovered_after.map_or_else(|| "never".to_owned(), |d| format!("{d:.1?}"));
    print_line(&format!(
        "seed {}: {} broken; {} requests, {} served; recovered after {after}; largest node {} kB",
        verdict.seed,
        verdict.breaches.len(),
        verdict.requests,
        verdict.served,
        verdict.memory_kb,
    ));
    verdict.breaches.iter().for_each(|breach| print_line(&format!("  {breach}")));
}

#[expect(clippy::print_stdout, reason = "this is what it is run for")]
fn print_line(text: &str) {
    println!("{text}");
}
