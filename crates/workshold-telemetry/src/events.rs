//! Lists of numbered events.

use std::fmt::Write as _;

use log::Level;
use log::Record;

/// One row of a catalogue.
#[derive(Debug, Clone)]
pub struct Row {
    /// The number as it is written in logs.
    pub code: String,
    /// Its level.
    pub level: Level,
    /// What happened.
    pub what: &'static str,
    /// What an operator does about it.
    pub advice: &'static str,
}

/// Logs an event with its fields.
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

/// The text of a page that lists events.
pub fn reference_page(title: &str, rows: impl Iterator<Item = Row>) -> String {
    let mut text = format!(
        "# {title}\n\nEvery line that a node logs has a number. Fields follow the text.\n\n\
         | number | level | what happened | what to do |\n| --- | --- | --- | --- |\n",
    );
    for row in rows {
        let _ = writeln!(text, "| {} | {} | {} | {} |", row.code, row.level, row.what, row.advice);
    }
    text
}

/// Makes an enum `Event` of numbered events, with `emit` and `rows` beside it.
#[macro_export]
macro_rules! events {
    ($($name:ident = $number:literal, $level:ident, $what:literal, $do:literal;)*) => {
        /// Everything that is ever logged.
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum Event {
            $(#[doc = $what] $name,)*
        }

        impl Event {
            /// All of them, by number.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Its number; never used for another one.
            pub const fn number(self) -> u16 {
                match self { $(Self::$name => $number,)* }
            }

            /// Its level.
            pub const fn level(self) -> $crate::log::Level {
                match self { $(Self::$name => $crate::log::Level::$level,)* }
            }

            /// What happened.
            pub const fn what(self) -> &'static str {
                match self { $(Self::$name => $what,)* }
            }

            /// What an operator does about it.
            pub const fn advice(self) -> &'static str {
                match self { $(Self::$name => $do,)* }
            }

            /// The number as it is written in logs.
            pub fn code(self) -> String {
                format!("W{:03}", self.number())
            }
        }

        /// Logs `event` with its fields.
        pub fn emit(event: Event, fields: &[(&'static str, &str)]) {
            if event.level() > $crate::log::max_level() {
                return;
            }
            $crate::emit(&event.code(), event.level(), event.what(), fields);
        }

        /// All events, for their page.
        pub fn rows() -> impl Iterator<Item = $crate::events::Row> {
            Event::ALL.iter().map(|event| $crate::events::Row {
                code: event.code(),
                level: event.level(),
                what: event.what(),
                advice: event.advice(),
            })
        }
    };
}
