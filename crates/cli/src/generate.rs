//! Man pages and shell completions, generated from the command-line definition.

use crate::Exit;
use clap_complete::Shell;
use std::io::Write;

pub(crate) fn print(command: &mut clap::Command, format: &str) -> Exit {
    let mut output = Vec::new();
    if format == "man" {
        if render_man_page(command.clone(), &mut output).is_err() {
            return Exit::Error;
        }
    } else if let Ok(shell) = format.parse::<Shell>() {
        let name = command.get_name().to_owned();
        clap_complete::generate(shell, command, name, &mut output);
    } else {
        eprintln!("--generate `{format}`: expected man, bash, zsh, fish, elvish or powershell");
        return Exit::Error;
    }
    let _ = std::io::stdout().write_all(&output);
    Exit::Success
}

/// Renders the man page of the program followed by sections for its subcommands, so that one page holds all
/// flags.
fn render_man_page(command: clap::Command, output: &mut Vec<u8>) -> std::io::Result<()> {
    clap_mangen::Man::new(command.clone()).render(output)?;
    let subcommands: Vec<clap::Command> =
        command.get_subcommands().filter(|c| c.get_name() != "help").cloned().collect();
    for subcommand in subcommands {
        let name = format!("{} {}", command.get_name(), subcommand.get_name());
        writeln!(output, ".SH {}", name.to_uppercase())?;
        let man = clap_mangen::Man::new(subcommand);
        man.render_description_section(output)?;
        man.render_options_section(output)?;
    }
    Ok(())
}
