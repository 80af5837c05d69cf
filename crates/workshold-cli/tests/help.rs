//! Help texts and the suggestion for a misspelt command.

use workshold_cli::commands::command_line;

#[test]
fn the_help_shows_every_command() {
    let help = command_line().run_inner(&["--help"]).unwrap_err().unwrap_stdout();
    insta::assert_snapshot!(help);
}

#[test]
fn the_help_of_a_command_has_an_example() {
    let help = command_line().run_inner(&["stop", "--help"]).unwrap_err().unwrap_stdout();
    insta::assert_snapshot!(help);
}

#[test]
fn a_misspelt_command_is_answered_with_the_right_one() {
    let err = command_line().run_inner(&["statis"]).unwrap_err().unwrap_stderr();
    assert!(err.contains("status"), "{err}");
}
