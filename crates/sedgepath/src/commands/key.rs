use getopts::Options;
use sedgepath_core::hash::Digest;

use super::Command;
use crate::cli::Context;
use crate::error::CliError;

/// The command `sedgepath key`.
pub const COMMAND: Command = Command {
    name: "key",
    arguments: "KEY",
    about: "Print the digest of an organisation's key\n\nThe digest goes into `key_digests` of the \
            record of organisations; the key itself is given to the\norganisation and stands \
            nowhere else.",
    options,
    exec,
};

fn options(_: &mut Options) {}

fn exec(context: &mut Context<'_>) -> Result<(), CliError> {
    let key = context.single_argument("the key")?;
    writeln!(context.out, "{}", organisation_key_digest(&key).to_hex())?;
    Ok(())
}

/// Returns the digest of an organisation's key, as records store it.
pub fn organisation_key_digest(key: &str) -> Digest {
    Digest::of(&[b"organisation key", key.as_bytes()])
}
