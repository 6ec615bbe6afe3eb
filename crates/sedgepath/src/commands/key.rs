use getopts::Options;
use sedgepath_core::hash::Digest;

use super::Command;
use crate::cli::Context;
use crate::error::CliError;

/// `sedgepath key`
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
    let key = context.argument("the key")?;
    writeln!(context.out, "{}", digest(&key).to_hex())?;
    Ok(())
}

/// Returns the digest of an organisation's key, as the records hold it.
pub fn digest(key: &str) -> Digest {
    Digest::of(&[b"organisation key", key.as_bytes()])
}
