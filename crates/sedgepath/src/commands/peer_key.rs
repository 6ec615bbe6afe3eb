use std::net::SocketAddr;

use getopts::Options;

use super::Command;
use crate::cli::Context;
use crate::error::CliError;
use crate::operations::peer_keys;

/// The command `sedgepath peer-key`.
pub const COMMAND: Command = Command {
    name: "peer-key",
    arguments: "--store ADDRESS",
    about: "Replace the key of messages between VMs\n\nWrites a new key into the store, beside the \
            newest one so far. VMs accept it as soon as they have\nread it and use it for their own \
            messages after a minute and a half; older keys are not\naccepted any more. Leave that \
            time between two replacements. The first key is used at once.",
    options,
    exec,
};

fn options(options: &mut Options) {
    options.optopt("", "store", "the address of the platform's store", "ADDRESS");
}

fn exec(context: &mut Context<'_>) -> Result<(), CliError> {
    context.expect_no_arguments()?;
    let store = context.matches.opt_str("store");
    let store = store.ok_or_else(|| context.usage_error("missing option: --store"))?;
    let address: SocketAddr = store
        .parse()
        .map_err(|_error| context.usage_error(format!("{store:?} is not an address and port")))?;
    let keyring = peer_keys::rotate(address)?;
    for key in keyring.keys() {
        writeln!(
            context.out,
            "key {} is accepted, and used from {} ms since the epoch",
            key.id, key.sign_from_unix_ms
        )?;
    }
    Ok(())
}
