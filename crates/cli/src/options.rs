//! Parsing of the command line and dispatch to the commands. The doc comments of the option types are
//! printed by `--help`.

use {
    crate::{
        apply::ApplyOptions,
        check::CheckOptions,
        client::Client,
        delete::DeleteOptions,
        drain::DrainOptions,
        error::CliError,
        evacuate::{EvacuateOptions, RestoreOptions},
        get::GetOptions,
        output::Format,
        replace_member::ReplaceMemberOptions,
        scarce::ScarceOptions,
        status::StatusOptions,
        trace::TraceOptions,
    },
    gumdrop::{Options, ParsingStyle},
};

/// Options that take a value and are accepted both before and after the command.
const GLOBAL_OPTIONS: [&str; 4] = ["--key-file", "--output", "--schema", "--server"];
const EXAMPLE: &str = "fuchsiatack --server 127.0.0.1:8081 --key-file operator.key status";

/// Command line for operators of a cell.
#[derive(Debug, Options)]
pub(crate) struct GlobalOptions {
    #[options(help = "print help")]
    pub(crate) help: bool,
    #[options(
        no_short,
        help = "file with the operator's key (default: the file that FUCHSIATACK_KEY_FILE names)",
        meta = "FILE"
    )]
    pub(crate) key_file: Option<String>,
    #[options(
        no_short,
        help = "output format: text or json",
        meta = "FORMAT",
        default = "text"
    )]
    pub(crate) output: Format,
    #[options(
        no_short,
        help = "schema version of the records that are shown: 1 or 2",
        meta = "N",
        default = "2"
    )]
    pub(crate) schema: u8,
    #[options(
        no_short,
        help = "operator address of a daemon; repeat it to try several in order (default 127.0.0.1:8081)",
        meta = "ADDRESS"
    )]
    pub(crate) server: Vec<String>,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "create or update the records in a file")]
    Apply(ApplyOptions),
    #[options(help = "validate a record file without a server")]
    Check(CheckOptions),
    #[options(help = "delete a record")]
    Delete(DeleteOptions),
    #[options(help = "take a worker out of service or return it to service")]
    Drain(DrainOptions),
    #[options(help = "take all workers of a data centre out of service")]
    Evacuate(EvacuateOptions),
    #[options(help = "show a record or all records of a kind")]
    Get(GetOptions),
    #[options(help = "replace a store member whose disk was lost")]
    ReplaceMember(ReplaceMemberOptions),
    #[options(help = "return the workers of an evacuated data centre to service")]
    Restore(RestoreOptions),
    #[options(help = "show the scarce resources of the cell, from logs")]
    Scarce(ScarceOptions),
    #[options(help = "show members, sessions, workers and tokens")]
    Status(StatusOptions),
    #[options(help = "show the log events of a job in order of time")]
    Trace(TraceOptions),
}

/// A parsed command line.
pub(crate) struct Invocation {
    options: GlobalOptions,
}

impl Invocation {
    /// Parses the arguments that follow the name of the program.
    pub(crate) fn parse(arguments: &[String]) -> Result<Self, CliError> {
        let ordered = globals_first(arguments);
        let options = GlobalOptions::parse_args(&ordered, ParsingStyle::AllOptions)
            .map_err(|error| CliError::usage(format!("{error}; see fuchsiatack --help")))?;
        if !(1..=2).contains(&options.schema) {
            return Err(CliError::usage(format!(
                "--schema {} is unknown; 1 and 2 are accepted",
                options.schema
            )));
        }
        Ok(Self { options })
    }

    /// Runs the command, or prints the help if it was requested.
    pub(crate) async fn run(self) -> Result<(), CliError> {
        let options = self.options;
        if options.help_requested() {
            print_help(&options);
            return Ok(());
        }
        match &options.command {
            None => Err(CliError::usage("no command given; see fuchsiatack --help")),
            Some(Command::Check(command)) => command.run(options.output),
            Some(Command::Scarce(command)) => command.run(options.output),
            Some(Command::Trace(command)) => command.run(),
            Some(command) => {
                let client = Client::new(&options)?;
                run_remote(command, &client, &options).await
            }
        }
    }
}

async fn run_remote(command: &Command, client: &Client, options: &GlobalOptions) -> Result<(), CliError> {
    match command {
        Command::Apply(command) => command.run(client, options.output).await,
        Command::Check(command) => command.run(options.output),
        Command::Delete(command) => command.run(client, options.output).await,
        Command::Drain(command) => command.run(client, options.output).await,
        Command::Evacuate(command) => command.run(client, options.output).await,
        Command::Get(command) => command.run(client, options.output, options.schema).await,
        Command::ReplaceMember(command) => command.run(client, options.output).await,
        Command::Restore(command) => command.run(client, options.output).await,
        Command::Scarce(command) => command.run(options.output),
        Command::Status(command) => command.run(client, options.output).await,
        Command::Trace(command) => command.run(),
    }
}

fn print_help(options: &GlobalOptions) {
    let (line, example, usage) = match &options.command {
        None => ("[OPTIONS] COMMAND", EXAMPLE, GlobalOptions::usage()),
        Some(Command::Apply(_)) => ("apply -f FILE", crate::apply::EXAMPLE, ApplyOptions::usage()),
        Some(Command::Check(_)) => ("check -f FILE", crate::check::EXAMPLE, CheckOptions::usage()),
        Some(Command::Delete(_)) => (
            "delete KIND NAME [--version N]",
            crate::delete::EXAMPLE,
            DeleteOptions::usage(),
        ),
        Some(Command::Drain(_)) => (
            "drain WORKER [--reason TEXT] [--end]",
            crate::drain::EXAMPLE,
            DrainOptions::usage(),
        ),
        Some(Command::Evacuate(_)) => (
            "evacuate DATA_CENTRE",
            crate::evacuate::EVACUATE_EXAMPLE,
            EvacuateOptions::usage(),
        ),
        Some(Command::Get(_)) => ("get KIND [NAME]", crate::get::EXAMPLE, GetOptions::usage()),
        Some(Command::ReplaceMember(_)) => (
            "replace-member NAME [OPTIONS]",
            crate::replace_member::EXAMPLE,
            ReplaceMemberOptions::usage(),
        ),
        Some(Command::Restore(_)) => (
            "restore DATA_CENTRE",
            crate::evacuate::RESTORE_EXAMPLE,
            RestoreOptions::usage(),
        ),
        Some(Command::Scarce(_)) => ("scarce FILE...", crate::scarce::EXAMPLE, ScarceOptions::usage()),
        Some(Command::Status(_)) => ("status", crate::status::EXAMPLE, StatusOptions::usage()),
        Some(Command::Trace(_)) => ("trace JOB FILE...", crate::trace::EXAMPLE, TraceOptions::usage()),
    };
    println!("Usage: fuchsiatack {line}\n\n{usage}");
    if options.command.is_none() {
        println!(
            "\nCommands:\n{}",
            GlobalOptions::command_list().unwrap_or_default()
        );
    }
    println!("\nExample:\n  {example}");
}

/// Moves global options to the front of the command, where the parser expects them. Arguments after
/// `--` stay in place.
fn globals_first(arguments: &[String]) -> Vec<String> {
    let mut globals = Vec::new();
    let mut rest = Vec::new();
    let mut remaining = arguments.iter();
    while let Some(argument) = remaining.next() {
        let name = argument.split('=').next().unwrap_or(argument);
        if argument == "--" {
            rest.push(argument.clone());
            rest.extend(remaining.by_ref().cloned());
        } else if GLOBAL_OPTIONS.contains(&name) {
            globals.push(argument.clone());
            if !argument.contains('=') {
                globals.extend(remaining.next().cloned());
            }
        } else {
            rest.push(argument.clone());
        }
    }
    globals.extend(rest);
    globals
}
