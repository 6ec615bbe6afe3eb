//! The errors of the command line and their exit codes.

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
use crate::operations::peer_keys::PeerKeyRotationError;
use crate::time;

/// The exit status of the program.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitStatus {
    /// The command succeeded.
    Success,
    /// The command failed for a reason without a status of its own.
    Failed,
    /// The command line is invalid.
    Usage,
    /// Another change was accepted first.
    Conflict,
    /// No node could be reached.
    Unreachable,
    /// The change may or may not have been accepted.
    Unknown,
    /// The records or the drain were rejected by a check.
    Rejected,
}

impl ExitStatus {
    /// Returns the exit code of the process.
    pub fn code(self) -> u8 {
        match self {
            Self::Success => 0,
            Self::Failed => 1,
            Self::Usage => 2,
            Self::Conflict => 3,
            Self::Unreachable => 4,
            Self::Unknown => 5,
            Self::Rejected => 6,
        }
    }
}

/// A node whose call failed.
#[derive(Debug)]
pub struct NodeFailure {
    /// The node's address.
    pub node: SocketAddr,
    /// The cause of the failure.
    pub reason: Box<str>,
}

impl fmt::Display for NodeFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.node, self.reason)
    }
}

/// An error of a command.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub enum CliError {
    /// The command line is invalid.
    #[error("{message}")]
    #[diagnostic(help("`sedgepath {command} --help` shows the options"))]
    Usage {
        /// The problem, for the operator.
        message: Box<str>,
        /// The command whose help applies; empty if there is none.
        command: Box<str>,
    },
    /// A plot can't be written.
    #[error("failed to write plot `{path}`")]
    WritePlot {
        /// The output file.
        path: PathBuf,
        /// The cause.
        #[source]
        source: PlotError,
    },
    /// Collected logs can't be read.
    #[error("failed to read logs at `{path}`")]
    ReadLogs {
        /// The directory or file.
        path: PathBuf,
        /// The operating system's error.
        #[source]
        source: io::Error,
    },
    /// The collected logs have no line about a request.
    #[error("the logs have no line about request `{request}`")]
    #[diagnostic(help(
        "successful requests are sampled under load; a failed request has a line unless \
         `event=lines_left_out` reports omitted lines"
    ))]
    RequestNotFound {
        /// The request's id.
        request: Box<str>,
    },
    /// No node is named.
    #[error("no node is named")]
    #[diagnostic(help(
        "name one or more with `--node ADDRESS`, or all in the variable SEDGEPATH_NODES"
    ))]
    MissingNode,
    /// The state of a VM can't be read.
    #[error("failed to read the state of the VM at {address}")]
    #[diagnostic(help("use the address of the VM's metrics, like 192.0.2.1:9464"))]
    StatusUnavailable {
        /// The address of the VM's metrics.
        address: Box<str>,
        /// The HTTP client's error.
        #[source]
        source: attohttpc::Error,
    },
    /// There is no operator's key to sign calls with.
    #[error("no operator key is given")]
    #[diagnostic(help("give it in a file by `--key-file FILE`, or in the variable SEDGEPATH_KEY"))]
    MissingKey,
    /// A file can't be read.
    #[error("failed to read `{file}`")]
    ReadFile {
        /// The path as given on the command line.
        file: Box<str>,
        /// The operating system's error.
        #[source]
        source: io::Error,
    },
    /// Records are invalid.
    #[error("the records are invalid{}", problem_list(.other_problems))]
    InvalidRecords {
        /// The mistakes by file.
        #[related]
        reports: Vec<ErrorReport>,
        /// Problems outside the files, such as those of records in force that refer to a changed one.
        other_problems: Vec<Box<str>>,
    },
    /// No node could be reached.
    #[error("no node could be reached:{}", failure_list(.failures))]
    Unreachable {
        /// The nodes that were tried, each with the cause of its failure.
        failures: Vec<NodeFailure>,
    },
    /// A node responded with an error that other nodes would give too.
    #[error("the node at {node} responded with an error: {reason}")]
    NodeError {
        /// The node's address.
        node: SocketAddr,
        /// The message of the error response.
        reason: Box<str>,
    },
    /// Another change was accepted first.
    #[error("another change was accepted first; revision {revision} is in force{}", other_change(.other.as_deref()))]
    #[diagnostic(help("review it with `sedgepath history`, then apply again"))]
    Conflict {
        /// The newest revision that the node knows.
        revision: u64,
        /// The change that was accepted first, if the node knows it.
        other: Option<Box<LoggedChange>>,
    },
    /// The change was not accepted and won't be later.
    #[error("the change was rejected")]
    NotAccepted(#[source] ChangeRefusal),
    /// The change may or may not have been accepted.
    #[error("the outcome of the change is unknown")]
    #[diagnostic(help(
        "repeat the command with `--change-id {change_id}`; the change is never made twice"
    ))]
    OutcomeUnknown {
        /// The id that makes a repeated request idempotent.
        change_id: Box<str>,
    },
    /// The target can't be drained as requested.
    #[error("the drain is refused by its plan")]
    DrainRejected(#[from] DrainError),
    /// No record names the target of a drain.
    #[error("no upstream or failure domain `{target}` in the records")]
    #[diagnostic(help("`sedgepath get places` and `sedgepath get service` list the known names"))]
    TargetNotFound {
        /// The name as given on the command line.
        target: Box<str>,
    },
    /// A record is not in force.
    #[error("no record of kind `{kind}` and name `{name}` is in force")]
    RecordNotFound {
        /// The requested kind.
        kind: Box<str>,
        /// The requested name.
        name: Box<str>,
    },
    /// The key of messages between VMs was not replaced, or may not have been.
    #[error("failed to replace the key of messages between VMs")]
    PeerKeyNotReplaced(#[from] PeerKeyRotationError),
    /// The output can't be written.
    #[error("failed to write the output")]
    Output(#[from] io::Error),
    /// A value can't be converted to or from JSON.
    #[error("failed to read or write JSON")]
    Json(#[from] serde_json::Error),
    /// A record can't be serialized as YAML.
    #[error("failed to write the record as YAML")]
    Yaml(#[from] serde_saphyr::ser::Error),
}

impl CliError {
    /// Returns the exit status for this error.
    pub fn exit(&self) -> ExitStatus {
        match self {
            Self::Usage { .. } | Self::MissingNode | Self::MissingKey => ExitStatus::Usage,
            Self::Conflict { .. } | Self::PeerKeyNotReplaced(PeerKeyRotationError::Conflict) => {
                ExitStatus::Conflict
            }
            Self::Unreachable { .. }
            | Self::PeerKeyNotReplaced(PeerKeyRotationError::Unavailable) => {
                ExitStatus::Unreachable
            }
            Self::OutcomeUnknown { .. }
            | Self::PeerKeyNotReplaced(PeerKeyRotationError::Unknown) => ExitStatus::Unknown,
            Self::InvalidRecords { .. } | Self::DrainRejected(_) | Self::TargetNotFound { .. } => {
                ExitStatus::Rejected
            }
            Self::ReadFile { .. }
            | Self::ReadLogs { .. }
            | Self::WritePlot { .. }
            | Self::RequestNotFound { .. }
            | Self::StatusUnavailable { .. }
            | Self::NodeError { .. }
            | Self::NotAccepted(_)
            | Self::RecordNotFound { .. }
            | Self::PeerKeyNotReplaced(_)
            | Self::Output(_)
            | Self::Json(_)
            | Self::Yaml(_) => ExitStatus::Failed,
        }
    }
}

fn problem_list(other_problems: &[Box<str>]) -> String {
    newline_list(other_problems.iter())
}

fn failure_list(failures: &[NodeFailure]) -> String {
    newline_list(failures.iter())
}

fn other_change(other: Option<&LoggedChange>) -> String {
    newline_list(other.map(ChangeLine).iter())
}

/// Returns the items, each preceded by a newline.
fn newline_list<T: fmt::Display>(items: impl Iterator<Item = T>) -> String {
    items.fold(String::new(), |text, item| text + "\n" + &item.to_string())
}

/// Displays a change on one line.
#[derive(Debug)]
pub struct ChangeLine<'a>(pub &'a LoggedChange);

impl fmt::Display for ChangeLine<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let change = self.0;
        let at = time::format_utc(change.written_at_ms);
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
