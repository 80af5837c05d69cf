//! Numbered log events and the reference page that lists them.

use std::fmt::Write as _;

use log::Level;
use log::Record;

/// An event as a row of the reference page.
#[derive(Debug, Clone)]
pub struct EventRow {
    /// The event's code in log lines, such as `W101`.
    pub code: String,
    /// Log level of the event.
    pub level: Level,
    /// What happened; the text of the event's log lines.
    pub what: &'static str,
    /// What an operator should do about it.
    pub advice: &'static str,
}

/// Logs an event with its fields, unless its level is disabled. `code` becomes the record's target.
pub fn emit(code: &str, level: Level, what: &str, fields: &[(&'static str, &str)]) {
    if level > log::max_level() {
        return;
    }
    let source: Vec<(&str, &str)> = fields.to_vec();
    log::logger().log(
        &Record::builder()
            .level(level)
            .target(code)
            .args(format_args!("{what}"))
            .key_values(&source)
            .build(),
    );
}

/// Renders the Markdown reference page of a list of events.
pub fn reference_page(title: &str, rows: impl Iterator<Item = EventRow>) -> String {
    let mut text = format!(
        "# {title}\n\nEvery line that a node logs has a number. Fields follow the text.\n\n\
         | number | level | what happened | what to do |\n| --- | --- | --- | --- |\n",
    );
    for row in rows {
        let _ = writeln!(text, "| {} | {} | {} | {} |", row.code, row.level, row.what, row.advice);
    }
    text
}

/// Defines an enum `Event` of numbered log events, and functions `emit` and `rows` for it.
///
/// Each event has a name, a number, a log level, a text (what happened) and advice for operators.
#[macro_export]
macro_rules! events {
    ($($name:ident = $number:literal, $level:ident, $what:literal, $do:literal;)*) => {
        /// The events that this process logs.
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum Event {
            $(#[doc = $what] $name,)*
        }

        impl Event {
            /// All events, in the order of their numbers.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Number of the event. A number is never reused for another event, so that the logs
            /// of different versions can be compared.
            pub const fn number(self) -> u16 {
                match self { $(Self::$name => $number,)* }
            }

            /// Log level of the event.
            pub const fn level(self) -> $crate::log::Level {
                match self { $(Self::$name => $crate::log::Level::$level,)* }
            }

            /// What happened; the text of the event's log lines.
            pub const fn what(self) -> &'static str {
                match self { $(Self::$name => $what,)* }
            }

            /// What an operator should do about the event.
            pub const fn advice(self) -> &'static str {
                match self { $(Self::$name => $do,)* }
            }

            /// The event's code in log lines: `W` and the number.
            pub fn code(self) -> String {
                format!("W{:03}", self.number())
            }
        }

        /// Logs `event` with its fields, unless its level is disabled.
        pub fn emit(event: Event, fields: &[(&'static str, &str)]) {
            if event.level() > $crate::log::max_level() {
                return;
            }
            $crate::emit(&event.code(), event.level(), event.what(), fields);
        }

        /// Returns all events as rows of the reference page.
        pub fn rows() -> impl Iterator<Item = $crate::events::EventRow> {
            Event::ALL.iter().map(|event| $crate::events::EventRow {
                code: event.code(),
                level: event.level(),
                what: event.what(),
                advice: event.advice(),
            })
        }
    };
}
