//! What can go wrong, and the exit code of each.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use miette::Diagnostic;
use sedgepath_core::configuration::change::ChangeRefusal;
use sedgepath_core::configuration::rows::LoggedChange;
use sedgepath_core::drain::DrainError;
use sedgepath_yaml::ErrorReport;

use crate::operations::losses::PlotError;
use crate::time;

/// How the program ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// It did what was asked.
    Success,
    /// It failed.
    Failed,
    /// The command line is wrong.
    Usage,
    /// Another change came first.
    Conflict,
    /// No node could be reached.
    Unreachable,
    /// The change may or may not have been accepted.
    Unknown,
    /// The check of the records, or the plan of the drain, said no.
    Refused,
}

impl Exit {
    /// Returns the code that the shell sees.
    pub fn code(self) -> u8 {
        match self {
            Self::Success => 0,
            Self::Failed => 1,
            Self::Usage => 2,
            Self::Conflict => 3,
            Self::Unreachable => 4,
            Self::Unknown => 5,
            Self::Refused => 6,
        }
    }
}

/// A node that could not be asked, and why.
#[derive(Debug)]
pub struct Tried {
    /// The node.
    pub node: SocketAddr,
    /// Why.
    pub reason: Box<str>,
}

impl fmt::Display for Tried {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.node, self.reason)
    }
}

/// What can go wrong.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub enum CliError {
    /// The command line is wrong.
    #[error("{message}")]
    #[diagnostic(help("`sedgepath {command} --help` shows the options"))]
    Usage {
        /// What is wrong.
        message: Box<str>,
        /// The command.
        command: Box<str>,
    },
    /// A plot can't be drawn.
    #[error("can't write {path}")]
    Plot {
        /// The file.
        path: PathBuf,
        /// Why.
        #[source]
        source: PlotError,
    },
    /// Collected logs can't be read.
    #[error("can't read logs at {path}")]
    ReadLogs {
        /// The directory or file.
        path: PathBuf,
        /// The system's error.
        #[source]
        source: io::Error,
    },
    /// No collected line tells of a request.
    #[error("no line of the logs tells of the request {request}")]
    #[diagnostic(help(
        "calm outcomes are sampled under load; a request that failed has a line unless \
         `event=lines_left_out` says otherwise"
    ))]
    NoSuchRequest {
        /// The request's id.
        request: Box<str>,
    },
    /// No node is named.
    #[error("no node to ask is named")]
    #[diagnostic(help(
        "name one or more with `--node ADDRESS`, or all in the variable SEDGEPATH_NODES"
    ))]
    NoNode,
    /// A VM does not tell its state.
    #[error("the VM at {address} does not tell its state")]
    #[diagnostic(help("the address should be that of its metrics, like 192.0.2.1:9464"))]
    NoStatus {
        /// The address.
        address: Box<str>,
        /// Why.
        #[source]
        source: attohttpc::Error,
    },
    /// There is no key to prove who asks.
    #[error("no key is given")]
    #[diagnostic(help("give it in a file by `--key-file FILE`, or in the variable SEDGEPATH_KEY"))]
    NoKey,
    /// A file can't be read.
    #[error("can't read {file}")]
    File {
        /// The file.
        file: Box<str>,
        /// The system's error.
        #[source]
        source: io::Error,
    },
    /// Records have mistakes.
    #[error("the records are not in order{}", broken_list(.broken))]
    Records {
        /// The files that have mistakes.
        #[related]
        files: Vec<ErrorReport>,
        /// What else would be out of order, such as records in force that the change would break.
        broken: Vec<Box<str>>,
    },
    /// No node could be reached.
    #[error("no node could be reached:{}", tried_list(.tried))]
    Unreachable {
        /// The nodes that were tried, and why each did not do.
        tried: Vec<Tried>,
    },
    /// A node answered with an error.
    #[error("the node at {node} could not answer: {reason}")]
    Node {
        /// The node.
        node: SocketAddr,
        /// What it said.
        reason: Box<str>,
    },
    /// Another change came first.
    #[error("another change came first; revision {revision} is in force{}", other_change(.other.as_deref()))]
    #[diagnostic(help("look at it with `sedgepath history`, then apply again"))]
    Conflict {
        /// The head revision as far as known.
        revision: u64,
        /// The other change.
        other: Option<Box<LoggedChange>>,
    },
    /// The change was not accepted.
    #[error("the change was not accepted and will not be")]
    NotAccepted(#[source] ChangeRefusal),
    /// The change may or may not have been accepted.
    #[error("whether the change was accepted is not known")]
    #[diagnostic(help("ask again with `--change-id {change_id}`; it is never made twice"))]
    Unknown {
        /// The number of the change.
        change_id: Box<str>,
    },
    /// The drain was refused by its plan.
    #[error("the drain is refused by its plan")]
    Drain(#[from] DrainError),
    /// The records know no such target.
    #[error("the records know no upstream or failure domain `{target}`")]
    #[diagnostic(help("`sedgepath get places` and `sedgepath get service` show what there is"))]
    NoTarget {
        /// The target.
        target: Box<str>,
    },
    /// A record is not in force.
    #[error("no record of kind `{kind}` and name `{name}` is in force")]
    NoRecord {
        /// The kind.
        kind: Box<str>,
        /// The name.
        name: Box<str>,
    },
    /// The output can't be written.
    #[error("can't write the output")]
    Output(#[from] io::Error),
    /// A value can't be written as text.
    #[error("can't write the value as JSON")]
    Json(#[from] serde_json::Error),
    /// A record can't be written as YAML.
    #[error("can't write the record as YAML")]
    Yaml(#[from] serde_saphyr::ser::Error),
}

impl CliError {
    /// Returns how the program ends with this error.
    pub fn exit(&self) -> Exit {
        match self {
            Self::Usage { .. } | Self::NoNode | Self::NoKey => Exit::Usage,
            Self::Conflict { .. } => Exit::Conflict,
            Self::Unreachable { .. } => Exit::Unreachable,
            Self::Unknown { .. } => Exit::Unknown,
            Self::Records { .. } | Self::Drain(_) | Self::NoTarget { .. } => Exit::Refused,
            Self::File { .. }
            | Self::ReadLogs { .. }
            | Self::Plot { .. }
            | Self::NoSuchRequest { .. }
            | Self::NoStatus { .. }
            | Self::Node { .. }
            | Self::NotAccepted(_)
            | Self::NoRecord { .. }
            | Self::Output(_)
            | Self::Json(_)
            | Self::Yaml(_) => Exit::Failed,
        }
    }
}

fn broken_list(broken: &[Box<str>]) -> String {
    lines(broken.iter())
}

fn tried_list(tried: &[Tried]) -> String {
    lines(tried.iter())
}

fn other_change(other: Option<&LoggedChange>) -> String {
    lines(other.map(ChangeLine).iter())
}

/// Writes each item on a line of its own, below the text that comes before.
fn lines<T: fmt::Display>(items: impl Iterator<Item = T>) -> String {
    items.fold(String::new(), |text, item| text + "\n" + &item.to_string())
}

/// A change in one line.
#[derive(Debug)]
pub struct ChangeLine<'a>(pub &'a LoggedChange);

impl fmt::Display for ChangeLine<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let change = self.0;
        let at = time::format(change.written_at_ms);
        write!(f, "revision {} at {at} by {}", change.revision, change.node)?;
        for record in &change.records {
            write!(f, ", {} {}", record.kind, record.name)?;
        }
        if !change.note.is_empty() {
            write!(f, ": {}", change.note)?;
        }
        Ok(())
    }
}
