//! Scripts of the second independent review: each case starts the gateway as separate processes,
//! plays clients, runners and the platform's store, and judges what the clients and runners saw.
//!
//! `review-2 CASE FOLDER` writes `FOLDER/record.txt` and exits with 1 if the rule was broken, 0 if
//! it held, and 2 if the case couldn't run. With `TROUBLE=0` in the environment the disruption is
//! left out. `review-2 runner ...` is a runner as a process of its own.

mod names;
mod node;
mod reborn;
mod record;
mod runner;
mod stop;
mod unread;
mod wire;

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use crate::record::Record;

/// How a case ended.
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
    /// The case couldn't run.
    NotRun(String),
}

/// Longest run of a case.
const TIME_LIMIT: Duration = Duration::from_secs(110);

#[tokio::main]
async fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    if args.first().is_some_and(|case| case == "runner") {
        runner::serve(&args[1..]).await;
        return ExitCode::SUCCESS;
    }
    let [case, folder] = args.as_slice() else {
        eprintln!("usage: review-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let record = Arc::new(Record::new(PathBuf::from(folder).join("record.txt")));
    record.line(&format!("case {case}, disruption: {has_trouble}"));
    let played = async {
        match case.as_str() {
            "names" => names::play(&record, has_trouble).await,
            "reborn" => reborn::play(&record, has_trouble).await,
            "unread" => unread::play(&record, has_trouble).await,
            "stop" => stop::play(&record, has_trouble).await,
            _ => Verdict::NotRun(format!("there is no case {case}")),
        }
    };
    let timed_out = Verdict::NotRun("it took too long".to_owned());
    let verdict = tokio::time::timeout(TIME_LIMIT, played).await.unwrap_or(timed_out);
    let _ = std::fs::remove_dir_all(node::folder());
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held".to_owned(), 0),
        Verdict::Broken => ("the rule was broken".to_owned(), 1),
        Verdict::NotRun(why) => (format!("not run: {why}"), 2),
    };
    record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}
