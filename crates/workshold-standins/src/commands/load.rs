//! `workshold-dev load`: runs a load and prints its report.

use crate::load;
use crate::load::Load;

/// Runs the load and prints the report as JSON.
///
/// # Errors
///
/// If an answer is wrong or lost.
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
