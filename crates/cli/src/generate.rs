//! Man pages and completions, made from the flags.

use crate::Exit;
use clap_complete::Shell;
use std::io::Write;

pub(crate) fn print(command: &mut clap::Command, what: &str) -> Exit {
    let mut out = Vec::new();
    if what == "man" {
        if page(command.clone(), &mut out).is_err() {
            return Exit::Error;
        }
    } else if let Ok(shell) = what.parse::<Shell>() {
        let name = command.get_name().to_owned();
        clap_complete::generate(shell, command, name, &mut out);
    } else {
        eprintln!("`{what}` is none of man, bash, zsh, fish, elvish, powershell");
        return Exit::Error;
    }
    let _ = std::io::stdout().write_all(&out);
    Exit::Success
}

/// The page of the program, and after it those of its sub-commands: who looks for a flag at night has one page to search.
fn page(command: clap::Command, out: &mut Vec<u8>) -> std::io::Result<()> {
    clap_mangen::Man::new(command.clone()).render(out)?;
    let parts: Vec<clap::Command> =
        command.get_subcommands().filter(|c| c.get_name() != "help").cloned().collect();
    for part in parts {
        let name = format!("{} {}", command.get_name(), part.get_name());
        writeln!(out, ".SH {}", name.to_uppercase())?;
        let man = clap_mangen::Man::new(part);
        man.render_description_section(out)?;
        man.render_options_section(out)?;
    }
    Ok(())
}
