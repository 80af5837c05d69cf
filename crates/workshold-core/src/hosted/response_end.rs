//! Whether a response is complete that ended with its connection, without a length or chunks.
//!
//! The kernel closes the connections of a process that has ended just as the process would have
//! closed them itself. So the end of such a response shows nothing, and neither does what was
//! known of the instance before. Only an answer of the same process to a question that was asked
//! after the end shows that the process ended the response and not the response with it.

use super::roster::MemberState;
use super::roster::Membership;

/// What was learned of the process that sent a response, by a question asked after the response
/// had ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessEvidence {
    /// The process still heads the same formation of its group and runs requests.
    HeadsSameGroup,
    /// The same process answers.
    Answers,
    /// Its group is not the one that ran the request, or does not run requests any more: the
    /// process may have dropped those that it had.
    LeftGroup,
    /// The process of another instance answers at its address.
    OtherInstance,
    /// Connections to its address are refused.
    Refused,
    /// Nothing that names an instance answered in time.
    NoAnswer,
    /// The response came through a peer that does not say how the instance's connection ended.
    UnmarkedTunnel,
}

/// Whether a response that ended with its connection is complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Completeness {
    /// The process that sent it has ended it.
    Complete,
    /// The process has ended, and it may have ended before the response was complete.
    ProcessEnded,
    /// Nothing shows who ended it.
    NotKnown,
}

impl ProcessEvidence {
    /// What the report of an instance shows: `reported` is the membership that it names, and
    /// `expected` the one that the instance had when the request was sent.
    pub fn of_report(reported: Option<&Membership>, expected: &Membership) -> Self {
        let Some(reported) = reported else { return Self::LeftGroup };
        let is_same = reported.group == expected.group
            && reported.epoch == expected.epoch
            && reported.rank == expected.rank;
        // A head that was told to drop its requests is ready again, and one that has lost a member
        // is broken.
        let runs_requests = matches!(reported.state, MemberState::Open | MemberState::Closing);
        if is_same && runs_requests { Self::HeadsSameGroup } else { Self::LeftGroup }
    }

    /// Whether a response of the process is complete.
    pub fn completeness(self) -> Completeness {
        match self {
            Self::HeadsSameGroup | Self::Answers => Completeness::Complete,
            Self::OtherInstance | Self::Refused => Completeness::ProcessEnded,
            Self::LeftGroup | Self::NoAnswer | Self::UnmarkedTunnel => Completeness::NotKnown,
        }
    }

    /// A few words for logs.
    pub fn text(self) -> &'static str {
        match self {
            Self::HeadsSameGroup => "it still heads the group",
            Self::Answers => "the same process answers",
            Self::LeftGroup => "its group has changed or does not run requests",
            Self::OtherInstance => "another instance answers",
            Self::Refused => "connections are refused",
            Self::NoAnswer => "no answer",
            Self::UnmarkedTunnel => "the peer does not mark the end",
        }
    }
}
