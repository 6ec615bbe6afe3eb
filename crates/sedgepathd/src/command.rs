//! The daemon's command line.

use std::path::PathBuf;
use std::process::ExitCode;

use getopts::{Matches, Options};
use sedgepath_core::direct::ablation::UnknownMechanism;
use sedgepath_core::direct::steering::SteeringConfig;
use sedgepath_wire::peer_seal::UnknownPeerAuthentication;

use crate::settings::Settings;
use crate::{daemon, direct};

/// The exit code for an invalid command line or invalid settings.
const EXIT_USAGE: u8 = 2;

/// The exit code of a daemon that fails to start.
const EXIT_FAILED: u8 = 1;

/// Runs the daemon with the given arguments, without the program's name, and returns its exit code.
pub fn main(arguments: Vec<String>) -> ExitCode {
    let options = options();
    let matches = match options.parse(arguments) {
        Ok(matches) => matches,
        Err(error) => {
            eprintln!("sedgepathd: {error}\n{}", usage(&options));
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if matches.opt_present("help") {
        println!("{}", usage(&options));
        return ExitCode::SUCCESS;
    }
    if matches.opt_present("version") {
        println!("sedgepathd {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    if matches.opt_present("direct") {
        let direct_options = match direct_options(&matches) {
            Ok(direct_options) => direct_options,
            Err(message) => {
                eprintln!("sedgepathd: {message}\n{}", usage(&options));
                return ExitCode::from(EXIT_USAGE);
            }
        };
        return match direct::run::run(direct_options) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("{:?}", miette::Report::new(error));
                ExitCode::from(EXIT_FAILED)
            }
        };
    }
    let Some(path) = matches.opt_str("settings").map(PathBuf::from) else {
        eprintln!("sedgepathd: the settings file is missing\n{}", usage(&options));
        return ExitCode::from(EXIT_USAGE);
    };
    let settings = match Settings::read(&path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{:?}", miette::Report::new(error));
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if matches.opt_present("check") {
        println!("{}: settings are in order", path.display());
        return ExitCode::SUCCESS;
    }
    match daemon::run(&settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{:?}", miette::Report::new(error));
            ExitCode::from(EXIT_FAILED)
        }
    }
}

/// The error of an invalid option of `--direct`.
#[derive(Debug, thiserror::Error)]
enum OptionError {
    #[error("invalid value for --metrics-port")]
    InvalidMetricsPort(#[from] std::num::ParseIntError),
    #[error("invalid address for --upstream-source")]
    InvalidUpstreamSource(#[from] std::net::AddrParseError),
    #[error(transparent)]
    UnknownMechanism(#[from] UnknownMechanism),
    #[error(transparent)]
    UnknownPeerAuthentication(#[from] UnknownPeerAuthentication),
}

/// Parses the options of `--direct`.
fn direct_options(matches: &Matches) -> Result<direct::run::Options, OptionError> {
    let metrics_port = matches.opt_str("metrics-port").map(|port| port.parse()).transpose()?;
    let upstream_source =
        matches.opt_str("upstream-source").map(|address| address.parse()).transpose()?;
    let mut policy = SteeringConfig::default();
    for name in matches.opt_strs("with") {
        policy = policy.with(name.parse()?);
    }
    for name in matches.opt_strs("without") {
        policy = policy.without(name.parse()?);
    }
    let peer_authentication =
        matches.opt_str("peer-authentication").map(|name| name.parse()).transpose()?;
    Ok(direct::run::Options {
        metrics_port,
        upstream_source,
        steering_config: policy,
        peer_authentication: peer_authentication.unwrap_or_default(),
    })
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("s", "settings", "read the settings from this YAML file", "FILE");
    options.optflag("c", "check", "check the settings and end");
    options.optflag(
        "d",
        "direct",
        "run on the platform and send to upstreams directly; the platform's settings file is named by the environment",
    );
    options.optopt("", "metrics-port", "with --direct: serve metrics on this port", "PORT");
    options.optopt(
        "",
        "upstream-source",
        "with --direct: connect to upstreams from this address of the VM",
        "IP",
    );
    options.optopt(
        "",
        "peer-authentication",
        "with --direct: off, sign messages to other VMs, or require that theirs are signed too",
        "off|sign|require",
    );
    options.optmulti(
        "",
        "with",
        "with --direct: use a mechanism that is off by default",
        "MECHANISM",
    );
    options.optmulti(
        "",
        "without",
        "with --direct: leave out a mechanism, to see what it is worth",
        "MECHANISM",
    );
    options.optflag("h", "help", "print this help");
    options.optflag("V", "version", "print the version");
    options
}

fn usage(options: &Options) -> String {
    options.usage("Usage: sedgepathd --settings FILE [--check]\n\nRuns an entry VM of sedgepath.")
}
