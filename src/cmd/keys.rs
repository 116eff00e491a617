use error_stack::{Report, ResultExt};
use utils::HostId;

use crate::cli::KeysArgs;
use crate::exit::CommandError;

/// Generates a test certificate authority and keys for entry hosts.
pub(crate) fn keys(args: &KeysArgs) -> Result<(), Report<CommandError>> {
    let hosts: Vec<HostId> = args.hosts.iter().map(|host| host.as_str().into()).collect();
    peers::write_keys(&args.out, &hosts).change_context(CommandError::Failed)?;
    println!("{}: keys for {} hosts", args.out.display(), hosts.len());
    Ok(())
}
