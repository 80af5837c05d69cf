//! Short runs of the fault soak: a fixed seed, and those that broke a promise once.

use std::path::PathBuf;
use std::time::Duration;

use rstest::rstest;
use workshold_soak::fleet::Size;
use workshold_soak::run;
use workshold_soak::run::Options;

/// How soon all is served again is measured by hand, on a machine that is not busy:
/// here it only has to come.
const RECOVERS_WITHIN: Duration = Duration::from_secs(60);

#[rstest]
#[case::always(1)]
#[case::a_part_taken_by_an_old_list(2)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_promise_breaks_whatever_befalls(#[case] seed: u64) {
    play("faults", seed, Duration::from_secs(8), Duration::ZERO, false).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_promise_breaks_while_engines_start_again_under_their_ids() {
    play("lives", 3, Duration::from_secs(8), Duration::ZERO, true).await;
}

/// What the store acknowledged last is gone, again and again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_promise_breaks_while_the_store_comes_back_from_copies() {
    let options = options("copies", Duration::from_secs(8), Duration::ZERO, true);
    play_with(Options { copies: true, ..options }, 21).await;
}

/// Members leave while the heads of their groups finish, and others refuse: a stream
/// whose attempts are used up stays where it is written.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn planned_work_alone_cuts_nothing() {
    play("planned", 302, Duration::ZERO, Duration::from_secs(8), false).await;
}

/// Nodes are killed, cut off and frozen beside it, and what they know with them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn what_ends_whoever_runs_it_is_soon_kept_from_all() {
    let options = options("ending", Duration::from_secs(8), Duration::ZERO, false);
    play_with(Options { ends_instances: true, ..options }, 11).await;
}

/// Three processes ask the store in step, so that none can tell the others sooner.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn what_is_written_after_a_silence_is_in_force_in_time() {
    let options = options("silences", Duration::ZERO, Duration::ZERO, false);
    play_with(Options { silences: 2, ..options }, 1).await;
}

/// Fails where a word of an earlier life in a copy outlives the next life's: a member is taken
/// while the head of its group serves.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn three_copies_in_a_row_take_no_member_from_a_head_that_serves() {
    let options = options("three-copies", Duration::from_secs(12), Duration::ZERO, true);
    let size = Size { nodes: 3, domains: 3, engines: 6, group: 2, gates: 3 };
    play_with(Options { copies: true, callers: 12, size, ..options }, 1121).await;
}

/// Three processes share limits of engines and plain instances, several at once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn instances_that_name_limits_get_no_more() {
    let options = options("limits", Duration::ZERO, Duration::ZERO, false);
    play_with(Options { limits: 8, callers: 24, ..options }, 42).await;
}

/// Beside limits: what an instance says in one way does not hide another.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn instances_that_ask_for_rest_or_leave_are_left_alone() {
    let options = options("rests", Duration::ZERO, Duration::ZERO, false);
    play_with(Options { limits: 2, rests: 8, callers: 24, ..options }, 42).await;
}

async fn play(name: &str, seed: u64, length: Duration, planned: Duration, new_lives: bool) {
    play_with(options(name, length, planned, new_lives), seed).await;
}

fn options(name: &str, length: Duration, planned: Duration, new_lives: bool) -> Options {
    let folder = format!("workshold-soak-test-{name}-{}", std::process::id());
    let folder = std::env::temp_dir().join(folder);
    Options {
        binary: PathBuf::from(env!("CARGO_BIN_EXE_workshold-gateway")),
        folder,
        size: Size { nodes: 3, domains: 2, engines: 5, group: 2, gates: 3 },
        callers: 6,
        length,
        new_lives,
        copies: false,
        ends_instances: false,
        planned,
        silences: 0,
        limits: 0,
        rests: 0,
        recovers_within: RECOVERS_WITHIN,
    }
}

async fn play_with(options: Options, seed: u64) {
    let folder = options.folder.clone();
    let verdict = run::play(&options, seed).await.unwrap();
    let told: Vec<String> = verdict.breaches.iter().map(ToString::to_string).collect();
    assert_eq!(told, Vec::<String>::new(), "logs are in {}", folder.display());
    assert!(verdict.served > 50, "{} of {} served", verdict.served, verdict.requests);
    // What stays behind is only in the way.
    let _ = std::fs::remove_dir_all(folder.join(format!("seed-{seed}")));
}
