use getopts::Options;
use serde_json::{Value, json};

use super::{Command, add_data_options};
use crate::cli::Context;
use crate::client::RecordsInForce;
use crate::error::CliError;
use crate::records;

/// The command `sedgepath get`.
pub const COMMAND: Command = Command {
    name: "get",
    arguments: "[KIND [NAME]] [OPTIONS]",
    about: "Show the records in force\n\nWithout arguments all records are listed; with a kind, or \
            a kind and a name, they are printed in\nthe form that `sedgepath apply` takes.",
    options,
    exec,
};

fn options(options: &mut Options) {
    add_data_options(options);
}

fn exec(context: &mut Context<'_>) -> Result<(), CliError> {
    let arguments = context.matches.free.clone();
    let (kind, name) = match &*arguments {
        [] => (None, None),
        [kind] => (Some(kind.as_str()), None),
        [kind, name] => (Some(kind.as_str()), Some(name.as_str())),
        _ => return Err(context.usage_error("expected at most a kind and a name")),
    };
    let mut in_force = context.client()?.records_in_force()?;
    in_force.rows.retain(|row| {
        kind.is_none_or(|kind| *row.record.kind == *kind)
            && name.is_none_or(|name| *row.record.name == *name)
    });
    if let (Some(kind), Some(name)) = (kind, name)
        && in_force.rows.is_empty()
    {
        return Err(CliError::RecordNotFound { kind: kind.into(), name: name.into() });
    }
    if context.wants_json() {
        return write_json(context, &in_force);
    }
    if kind.is_none() {
        return write_list(context, &in_force);
    }
    for (index, row) in in_force.rows.iter().enumerate() {
        let separator = if index == 0 { "" } else { "---\n" };
        write!(context.out, "{separator}{}", records::to_yaml(&row.record)?)?;
    }
    Ok(())
}

fn write_list(context: &mut Context<'_>, in_force: &RecordsInForce) -> Result<(), CliError> {
    writeln!(context.out, "revision {} is in force", in_force.revision)?;
    for row in &in_force.rows {
        let record = &row.record;
        let (kind, name) = (&record.kind, &record.name);
        let (schema, revision) = (record.schema, row.revision);
        writeln!(context.out, "{kind:<14} {name:<32} schema {schema}, of revision {revision}")?;
    }
    Ok(())
}

fn write_json(context: &mut Context<'_>, in_force: &RecordsInForce) -> Result<(), CliError> {
    let records: Result<Vec<Value>, CliError> = in_force
        .rows
        .iter()
        .map(|row| {
            Ok(json!({ "revision": row.revision, "record": records::to_json(&row.record)? }))
        })
        .collect();
    context.write_json(&json!({ "revision": in_force.revision, "records": records? }))
}
