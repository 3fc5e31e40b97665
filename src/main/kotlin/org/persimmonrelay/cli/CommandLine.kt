package org.persimmonrelay.cli

import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import org.kohsuke.args4j.ParserProperties
import java.io.PrintStream

/** Finds the command named by the first argument, fills its options and runs it. */
public class CommandLine(private val commands: List<CommandEntry> = CommandEntry.ALL) {
    public fun run(args: List<String>, out: PrintStream, err: PrintStream): Int {
        val name = args.firstOrNull()
        if (name == null || name in HELP_WORDS) return help(out)
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
        err.println("No command '$name'. Use one of: $known.")
        return ExitCode.USAGE
    }

    private companion object {
        const val NAME_WIDTH = 12
        val HELP_WORDS = setOf("--help", "-h", "help")
    }
}

/** Fills [command]'s options from [args] and runs it; prints the options when they are wrong or asked for. */
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
