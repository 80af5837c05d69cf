//! `workshold-dev load`: makes load and prints what became of it.

use crate::load;
use crate::load::Load;

/// Makes the load.
///
/// # Errors
///
/// If an answer was wrong or lost.
#[expect(clippy::print_stdout, reason = "this is where a command prints")]
pub async fn run(load: Load) -> Result<(), String> {
    let report = load::run(load).await;
    println!("{}", report.to_json());
    if report.is_clean() {
        Ok(())
    } else {
        Err(format!("{} wrong and {} lost answers", report.wrong, report.lost))
    }
}
