package org.persimmonrelay.cli

import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import org.kohsuke.args4j.ParserProperties
import java.io.PrintStream

/** Runs the command that the first argument names, with the remaining arguments. */
public class CommandLine(private val commands: List<CommandEntry> = CommandEntry.ALL) {
    public fun run(args: List<String>, out: PrintStream, err: PrintStream): Int {
        val name = args.firstOrNull()
        if (name == null || name in HELP_ARGUMENTS) return help(out)
        val entry = commands.firstOrNull { it.name == name } ?: return unknown(name, err)
        return entry.run(args.drop(1), out, err)
    }

    private fun help(out: PrintStream): Int {
        out.println("usage: persimmonrelay COMMAND [OPTIONS]")
        out.println()
        commands.forEach { out.println("  ${it.name.padEnd(NAME_WIDTH)} ${it.summary}") }
        out.println()
        out.println("persimmonrelay COMMAND --help lists a command's options.")
        return ExitCode.OK
    }

    private fun unknown(name: String, err: PrintStream): Int {
        val known = commands.joinToString { it.name }
        err.println("Unknown command '$name'. Use one of: $known.")
        return ExitCode.USAGE
    }

    private companion object {
        const val NAME_WIDTH = 12
        val HELP_ARGUMENTS = setOf("--help", "-h", "help")
    }
}

/** Parses [args] into [command] and runs it. Prints the usage for `--help`, or an error when [args] are invalid. */
internal fun runParsed(name: String, command: Command, args: List<String>, out: PrintStream, err: PrintStream): Int {
    val parser = CmdLineParser(command, ParserProperties.defaults().withUsageWidth(USAGE_WIDTH))
    if ("--help" in args) {
        out.println("usage: persimmonrelay $name [OPTIONS]")
        parser.printUsage(out)
        return ExitCode.OK
    }
    try {
        parser.parseArgument(args)
    } catch (e: CmdLineException) {
        err.println("${e.message}. persimmonrelay $name --help lists the options.")
        return ExitCode.USAGE
    }
    return command.run(out, err)
}

private const val USAGE_WIDTH = 110
