//! Stand-ins of the review's cases: `runner` is one runner process, `case` drives one case.

mod cases;
mod consumer;
mod runner;
mod world;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use runner::Answers;
use runner::NewChannels;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = args.iter().map(String::as_str).collect();
    let number = |text: &str| text.parse::<u64>().expect("a number");
    match words.as_slice() {
        ["runner", id, kind, rest @ ..] => {
            let mut channels = NewChannels::default();
            let answers = match rest {
                ["after-work", ms] => Answers::AfterWork(Duration::from_millis(number(ms))),
                ["in-two-halves", ms, "new-channels", queue, channel_ms] => {
                    channels.queue = number(queue) as u32;
                    channels.time = Duration::from_millis(number(channel_ms));
                    Answers::InTwoHalves(Duration::from_millis(number(ms)))
                }
                ["events", count, ms] => {
                    Answers::Events(number(count), Duration::from_millis(number(ms)))
                }
                _ => panic!("unknown answers: {rest:?}"),
            };
            runner::run(id, *kind == "engine", answers, &channels);
            ExitCode::SUCCESS
        }
        ["case", name, gateway, folder, record] => {
            let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
            let paths = [*gateway, *folder, *record].map(PathBuf::from);
            let runtime = tokio::runtime::Runtime::new().expect("a runtime");
            let code = runtime.block_on(cases::run(name, &paths, has_trouble));
            runtime.shutdown_background();
            ExitCode::from(code)
        }
        _ => {
            eprintln!("usage: case NAME GATEWAY FOLDER RECORD");
            ExitCode::from(2)
        }
    }
}
