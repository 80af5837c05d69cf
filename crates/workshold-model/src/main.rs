//! `workshold-model`: runs all searches and prints one result line for each.

use std::process::ExitCode;
use std::time::Instant;

use bpaf::Parser;
use workshold_model::Mutation;
use workshold_model::suite::Search;
use workshold_model::suite::Size;

#[expect(clippy::print_stdout, reason = "the results go to stdout")]
fn run(name: &str, search: Search, mutation: Option<Mutation>) -> bool {
    let begun = Instant::now();
    let verdict = search.run(mutation);
    let secs = begun.elapsed().as_secs_f64();
    let (states, depth) = (verdict.states, verdict.depth);
    let found = match &verdict.breach {
        None => "no breach".to_owned(),
        Some(breach) => format!("{:?} breaks: {}", breach.promise, breach.trace.join(" ")),
    };
    println!("{name} | {states} | {depth} | {secs:.1} s | {found}");
    verdict.breach.is_none()
}

fn main() -> ExitCode {
    let large = bpaf::long("large").help("Search further than the tests do").switch();
    let mutations = bpaf::long("mutations").help("Break each rule in turn instead").switch();
    let (large, mutations) = bpaf::construct!(large, mutations)
        .to_options()
        .descr("Searches all states of the protocol's small worlds for a broken promise.")
        .run();
    let good = if mutations {
        let caught = |m: &Mutation| !run(&format!("{m:?}"), Search::for_mutation(*m), Some(*m));
        Mutation::ALL.iter().filter(|m| !caught(m)).count() == 0
    } else {
        let size = if large { Size::Large } else { Size::Small };
        let searches = Search::all(size);
        searches.into_iter().filter(|(name, search)| !run(name, *search, None)).count() == 0
    };
    if good { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
